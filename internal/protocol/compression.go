package protocol

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxMessageBytes bounds one message between daemons.
const MaxMessageBytes = 8 << 20

// MaxTextBytes bounds a compressed text once it is decompressed.
const MaxTextBytes = MaxMessageBytes

// Compress makes a text small for links and disks.
func Compress(text string) []byte {
	var packed bytes.Buffer
	// The result is sent to hundreds of routers, so the effort is worth it.
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		panic(err) // Only an unknown level fails.
	}
	_, _ = io.WriteString(writer, text)
	_ = writer.Close()
	return packed.Bytes()
}

// Decompress gives the text of Compress back. It fails on damaged bytes and on a
// text of more than MaxTextBytes.
func Decompress(packed []byte) (string, error) {
	var text strings.Builder
	n, err := io.Copy(&text, io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxTextBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "decompress")
	}
	if n > MaxTextBytes {
		return "", errors.New("decompress: the text is too large")
	}
	return text.String(), nil
}
