package storage

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/buntdb"
)

// The log is replaced by a snapshot once it holds this many changes or bytes,
// since it is read as a whole at each start and kept in memory as well.
const (
	maxLogChanges = 4096
	maxLogBytes   = 2 << 20
)

// logSize counts the records of the file.
type logSize struct {
	// changes is the number of changes in the log, bytes the length of their
	// records' texts, and snapshotBytes that of the snapshot's.
	changes, bytes, snapshotBytes int
	// maxChanges is how many changes the log may hold.
	maxChanges int
}

// isFull reports whether a further change of this length is too much for the
// log. A large snapshot is not written for less than twice its own length of
// changes.
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

// replaceFile puts a new file in place that holds only a snapshot of these rows.
// The new file is synced before it is renamed and the folder after that, so a
// loss of power leaves the old file or the new one, never neither.
func (s *Store) replaceFile(rows map[string]string) error {
	text, err := encodeRecord(rows)
	if err != nil {
		return err
	}
	if err := writeSnapshot(s.path(nextName), text); err != nil {
		return s.wrap(err)
	}
	if err := s.syncPath(s.path(nextName)); err != nil {
		return err
	}
	s.closeFile()
	if err := os.Rename(s.path(nextName), s.path(fileName)); err != nil {
		return s.wrap(err)
	}
	if err := s.syncPath(s.folder); err != nil {
		return err
	}
	s.rows = rows
	s.log = logSize{snapshotBytes: len(text), maxChanges: s.log.maxChanges}
	return s.openFile()
}

// writeSnapshot writes a file with one record, without syncing it.
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
