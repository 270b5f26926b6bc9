package storage

import (
	"bytes"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
)

// recordStart is the start of each record in buntdb's file format: a list of three strings
// (set, key and value), each with a length prefix.
var recordStart = []byte("*3\r\n$3\r\nset\r\n")

// lineEnd terminates each line and each string of the file.
var lineEnd = []byte("\r\n")

// repairTail removes a damaged last record from a file. Records are written and synced one
// at a time, so a power loss can damage only the last one, and a record whose sync did not
// complete was never acknowledged. Damage before another record means that synced data is
// lost: then the file is left unchanged, and reading it reports the damage.
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

// intactBytes returns the total length of the intact records at the start of a file: the
// snapshot and the consecutive changes after it.
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
		return errors.Wrap(err, "truncating a damaged last record failed")
	}
	return errors.Wrap(sync(file), "syncing after truncating a damaged last record failed")
}

// isCompleteSnapshot reports whether a file consists of exactly one intact snapshot.
func isCompleteSnapshot(path string) bool {
	text, err := os.ReadFile(path)
	return err == nil && len(text) > 0 && recordSize(text, snapshotKey) == len(text)
}

// recordSize returns the length of the record at the start of the text. It returns 0 if
// the record is incomplete, has another key, or does not match its checksum.
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

// readString reads one string of the file, "$LENGTH\r\nBYTES\r\n", and also returns the
// rest after it.
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
