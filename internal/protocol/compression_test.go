package protocol

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// What was packed comes back, and what is not whole or too large does not.
func TestPack(t *testing.T) {
	text := strings.Repeat(`{"name":"pubo309c7c","weights_mb":65099.9},`, 1000)
	packed := Compress(text)
	qt.Assert(t, len(packed) < len(text)/5, qt.IsTrue)
	cases := []struct {
		about  string
		packed []byte
		want   string
		ok     bool
	}{
		{"whole", packed, text, true},
		{"empty text", Compress(""), "", true},
		{"nothing", nil, "", false},
		{"torn", packed[:len(packed)/2], "", false},
		{"no packed text", []byte("version: 1"), "", false},
		{"too large", Compress(strings.Repeat(" ", MaxTextBytes+1)), "", false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			got, err := Decompress(test.packed)
			qt.Assert(t, err == nil, qt.Equals, test.ok)
			qt.Assert(t, got == test.want, qt.IsTrue)
		})
	}
}
