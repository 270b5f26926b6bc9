package storage

import (
	"bytes"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
)

// recordStart is how each record begins in the file of buntdb: a list of three
// strings (set, key and value), each with its length before it.
var recordStart = []byte("*3\r\n$3\r\nset\r\n")

// lineEnd ends each line and each string of the file.
var lineEnd = []byte("\r\n")

// repairTail removes a damaged last record from a file. Records are written and
// synced one at a time, so a loss of power can damage only the last, and one
// whose sync did not end was acknowledged to nobody. Damage before a complete
// record means that synced data is gone: the file is left as it is, and reading
// it reports the damage.
func repairTail(path string, sync syncFunc) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	intact := intactBytes(text)
	isIntact := intact == len(text)
	hasNoSnapshot := intact == 0
	if isIntact || hasNoSnapshot || bytes.Contains(text[intact+1:], recordStart) {
		return nil
	}
	return truncate(path, intact, sync)
}

// intactBytes is the length of the intact records at the start of a file: the
// snapshot, and the changes that follow each other.
func intactBytes(text []byte) int {
	intact := recordSize(text, snapshotKey)
	if intact == 0 {
		return 0
	}
	for number := 0; intact < len(text); number++ {
		size := recordSize(text[intact:], changeKey(number))
		if size == 0 {
			break
		}
		intact += size
	}
	return intact
}

func truncate(path string, size int, sync syncFunc) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(int64(size)); err != nil {
		return errors.Wrap(err, "repair of a torn tail")
	}
	return errors.Wrap(sync(file), "repair of a torn tail")
}

// isCompleteSnapshot reports whether a file holds one intact snapshot and
// nothing else.
func isCompleteSnapshot(path string) bool {
	text, err := os.ReadFile(path)
	return err == nil && len(text) > 0 && recordSize(text, snapshotKey) == len(text)
}

// recordSize is the length of the record at the start of the text. It is 0 where
// the record is incomplete, has another key, or fails its checksum.
func recordSize(text []byte, wantKey string) int {
	rest, ok := bytes.CutPrefix(text, recordStart)
	if !ok {
		return 0
	}
	key, rest, ok := readString(rest)
	if !ok || string(key) != wantKey {
		return 0
	}
	value, rest, ok := readString(rest)
	if !ok {
		return 0
	}
	var content any
	if decodeRecord(string(value), &content) != nil {
		return 0
	}
	return len(text) - len(rest)
}

// readString reads one string of the file, "$LENGTH\r\nBYTES\r\n", and gives
// what follows it.
func readString(text []byte) (value, rest []byte, ok bool) {
	head, after, found := bytes.Cut(text, lineEnd)
	if !found || len(head) < 2 || head[0] != '$' {
		return nil, nil, false
	}
	length, err := strconv.Atoi(string(head[1:]))
	if err != nil || length < 0 || length+len(lineEnd) > len(after) {
		return nil, nil, false
	}
	value, rest = after[:length], after[length:]
	rest, ok = bytes.CutPrefix(rest, lineEnd)
	return value, rest, ok
}
