package storage

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/buntdb"
)

// The log is replaced by a snapshot once it has this many changes or bytes, because it is
// read in full at each start and also kept in memory.
const (
	maxLogChanges = 4096
	maxLogBytes   = 2 << 20
)

// logSize has the sizes of the records in the file.
type logSize struct {
	// changes is the number of changes in the log, bytes the total length of their
	// records, and snapshotBytes the length of the snapshot's record.
	changes, bytes, snapshotBytes int
	// maxChanges bounds the changes in the log.
	maxChanges int
}

// isFull reports whether a further change of this length would exceed the bounds of the
// log. The bound in bytes is at least twice the length of the snapshot, so that a large
// snapshot is not rewritten after few changes.
func (l *logSize) isFull(addedBytes int) bool {
	maxBytes := max(maxLogBytes, 2*l.snapshotBytes)
	return l.changes >= l.maxChanges || l.bytes+addedBytes > maxBytes
}

func (l *logSize) add(bytes int) {
	l.changes++
	l.bytes += bytes
}

// appendChange adds a record to the log and syncs it.
func (s *Store) appendChange(text string) error {
	err := s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(changeKey(s.log.changes), text, nil)
		return err
	})
	if err != nil {
		return s.wrap(err)
	}
	if err := s.sync(s.file); err != nil {
		return s.wrapSync(err)
	}
	s.log.add(len(text))
	return nil
}

// replaceFile replaces the file by a new one that has only a snapshot of these rows. The
// new file is synced before it is renamed and the folder after that, so a power loss
// leaves either the old file or the new one.
func (s *Store) replaceFile(rows map[string]string) error {
	text, err := encodeRecord(rows)
	if err != nil {
		return err
	}
	if err := writeSnapshot(s.path(newStateFileName), text); err != nil {
		return s.wrap(err)
	}
	if err := s.syncPath(s.path(newStateFileName)); err != nil {
		return err
	}
	s.closeFile()
	if err := os.Rename(s.path(newStateFileName), s.path(stateFileName)); err != nil {
		return s.wrap(err)
	}
	if err := s.syncPath(s.folder); err != nil {
		return err
	}
	s.rows = rows
	s.log = logSize{snapshotBytes: len(text), maxChanges: s.log.maxChanges}
	return s.openFile()
}

// writeSnapshot writes a file with a snapshot as its only record and does not sync it.
func writeSnapshot(path, text string) error {
	db, err := buntdb.Open(path)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(snapshotKey, text, nil)
		return err
	})
	return errors.CombineErrors(err, db.Close())
}

// syncPath syncs a file or folder by its path.
func (s *Store) syncPath(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return s.wrap(err)
	}
	defer func() { _ = file.Close() }()
	return s.wrapSync(s.sync(file))
}
