package protocol

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxTextBytes bounds a packed text once it is unpacked.
const MaxTextBytes = MaxFrameBytes

// Compress makes a text small for links and disks.
func Compress(text string) []byte {
	var packed bytes.Buffer
	// A map goes to hundreds of routers for one packing.
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		panic(err) // The level is one that there is.
	}
	_, _ = io.WriteString(w, text)
	_ = w.Close()
	return packed.Bytes()
}

// Decompress gives the text back.
func Decompress(packed []byte) (string, error) {
	var text strings.Builder
	n, err := io.Copy(&text, io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxTextBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "a packed text can't be read")
	}
	if n > MaxTextBytes {
		return "", errors.New("a packed text is too large")
	}
	return text.String(), nil
}
