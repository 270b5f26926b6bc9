package storage

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// The keys of records in the file, part of the stored format. Changes have keys with
// changePrefix.
const (
	snapshotKey  = "image"
	changePrefix = "change/"
)

// changeKey returns the key of a change in the log. Numbers start at 0.
func changeKey(number int) string { return fmt.Sprintf("%s%08d", changePrefix, number) }

// checksumBytes is the length of a checksum: the first bytes of the SHA-256 of the text.
const checksumBytes = 8

// errChecksum means that a record's text differs from the one that was written.
var errChecksum = errors.New("the checksum does not match the text")

// record is the stored form of a snapshot or a change.
type record struct {
	Checksum string          `json:"sum"`
	Text     json.RawMessage `json:"text"`
}

func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:checksumBytes])
}

// encodeRecord returns the stored form of a value.
func encodeRecord(value any) (string, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	out, err := json.Marshal(record{Checksum: checksum(text), Text: text})
	return string(out), err
}

// decodeRecord verifies the checksum of a record and decodes its text into value.
func decodeRecord(text string, value any) error {
	var stored record
	if err := json.Unmarshal([]byte(text), &stored); err != nil {
		return err
	}
	if checksum(stored.Text) != stored.Checksum {
		return errChecksum
	}
	return json.Unmarshal(stored.Text, value)
}
