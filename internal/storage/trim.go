package storage

import (
	"bytes"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
)

// recordStart is how each record of the file begins.
var recordStart = []byte("*3\r\n$3\r\nset\r\n")

// trim cuts a damaged last record off. Changes are written and synced one at a
// time, so after a loss of power only the last can be missing in parts, and one
// that was not synced was answered to nobody. Damage before a whole record is
// another thing: then something that was trusted is gone, and the file is left
// as it is.
func trim(path string, sync func(*os.File) error) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	whole := 0
	for name, count := imageKey, 0; whole < len(text); count++ {
		size := recordSize(text[whole:], name)
		name = changeName(count)
		if size == 0 {
			break
		}
		whole += size
	}
	if whole == len(text) || whole == 0 || bytes.Contains(text[whole+1:], recordStart) {
		return nil
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(int64(whole)); err != nil {
		return errors.Wrap(err, "a torn tail")
	}
	return errors.Wrap(sync(file), "a torn tail")
}

// recordSize is how long the record at the start of the text is, or nought
// where it is not whole, has another name, or its value does not fit its sum.
func recordSize(text []byte, name string) int {
	rest, ok := bytes.CutPrefix(text, recordStart)
	if !ok {
		return 0
	}
	key, rest, ok := bulk(rest)
	if !ok || string(key) != name {
		return 0
	}
	value, rest, ok := bulk(rest)
	if !ok {
		return 0
	}
	var any any
	if unseal(string(value), &any) != nil {
		return 0
	}
	return len(text) - len(rest)
}

// bulk reads one string: its length, itself, and the ends of line.
func bulk(text []byte) (value, rest []byte, ok bool) {
	head, after, ok := bytes.Cut(text, []byte("\r\n"))
	if !ok || len(head) < 2 || head[0] != '$' {
		return nil, nil, false
	}
	length, err := strconv.Atoi(string(head[1:]))
	if err != nil || length < 0 || length+2 > len(after) || after[length] != '\r' || after[length+1] != '\n' {
		return nil, nil, false
	}
	return after[:length], after[length+2:], true
}
