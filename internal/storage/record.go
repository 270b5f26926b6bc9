package storage

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// sealed is how a record lies in the file: with a sum of its text.
type sealed struct {
	Sum  string          `json:"sum"`
	Text json.RawMessage `json:"text"`
}

func seal(value any) (string, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(text)
	out, err := json.Marshal(sealed{hex.EncodeToString(sum[:8]), text})
	return string(out), err
}

func unseal(text string, value any) error {
	var s sealed
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return err
	}
	sum := sha256.Sum256(s.Text)
	if hex.EncodeToString(sum[:8]) != s.Sum {
		return errors.New("its sum does not fit its text")
	}
	return json.Unmarshal(s.Text, value)
}

func changeName(number int) string { return fmt.Sprintf("%s%08d", changeKey, number) }
