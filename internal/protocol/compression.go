package protocol

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Compress compresses a text for the network and for storage.
func Compress(text string) []byte {
	var compressed bytes.Buffer
	// The result is sent to hundreds of routers, so size matters more than CPU time.
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		panic(err) // NewWriter fails only for an invalid level.
	}
	_, _ = io.WriteString(writer, text)
	_ = writer.Close()
	return compressed.Bytes()
}

// Decompress returns the text that was given to Compress. It fails if the bytes are
// damaged or the text is larger than MaxTextBytes.
func Decompress(compressed []byte) (string, error) {
	var text strings.Builder
	n, err := io.Copy(&text, io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxTextBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "decompress")
	}
	if n > MaxTextBytes {
		return "", errors.New("decompress: the text is too large")
	}
	return text.String(), nil
}
