package storage

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/buntdb"
)

// load reads the state of the folder, or writes the initial state if the folder is empty.
func (s *Store) load(site string, initialRows map[string]string) error {
	empty, err := s.finishReplacement()
	if err != nil {
		return err
	}
	if empty {
		return s.initialize(site, initialRows)
	}
	if err := s.repairAndOpenFile(); err != nil {
		return err
	}
	if err := s.replay(); err != nil {
		return err
	}
	if s.rows[siteRow] != site {
		return errors.Mark(errors.Newf("data folder %s belongs to site %q, not to %q", s.folder, s.rows[siteRow], site), ErrWrongSite)
	}
	// A process may have been killed between a write and its sync. The write is visible
	// now, but a power loss would undo it unless it is synced here.
	if err := s.syncPath(s.path(stateFileName)); err != nil {
		return err
	}
	return s.syncPath(s.folder)
}

// initialize writes the initial state of an empty folder. It becomes durable as a whole.
func (s *Store) initialize(site string, initialRows map[string]string) error {
	token := make([]byte, incarnationBytes)
	if _, err := rand.Read(token); err != nil {
		return err
	}
	maps.Copy(s.rows, initialRows)
	s.rows[siteRow] = site
	s.rows[incarnationRow] = hex.EncodeToString(token)
	return s.replaceFile(s.rows)
}

// finishReplacement completes or undoes a replacement of the file that a power loss or a
// kill interrupted, and reports whether the folder holds no state. The new file was synced
// before its rename was tried. So if there is no file named stateFileName, a complete file
// named newStateFileName is the state. Otherwise that file is a leftover and is removed.
func (s *Store) finishReplacement() (empty bool, err error) {
	exists, err := fileExists(s.path(stateFileName))
	if err != nil {
		return false, s.wrap(err)
	}
	if !exists && isCompleteSnapshot(s.path(newStateFileName)) {
		return false, s.wrap(os.Rename(s.path(newStateFileName), s.path(stateFileName)))
	}
	if err := os.Remove(s.path(newStateFileName)); err != nil && !os.IsNotExist(err) {
		return false, s.wrap(err)
	}
	return !exists, nil
}

func fileExists(path string) (bool, error) {
	_, err := os.Stat(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	return err == nil, err
}

// repairAndOpenFile opens a file whose last record may have been damaged by a kill or a
// power loss.
func (s *Store) repairAndOpenFile() error {
	if err := repairTail(s.path(stateFileName), s.sync); err != nil {
		return s.wrap(err)
	}
	return s.openFile()
}

// openFile opens a file of complete records.
func (s *Store) openFile() error {
	db, err := buntdb.Open(s.path(stateFileName))
	if err != nil {
		err = errors.Wrapf(err, "data folder %s: opening %s failed; the file was left unchanged", s.folder, stateFileName)
		return errors.Mark(err, ErrCorrupt)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		return err
	}
	file, err := os.OpenFile(s.path(stateFileName), os.O_RDWR, 0)
	if err != nil {
		return s.wrap(err)
	}
	s.db, s.file = db, file
	return nil
}

func (s *Store) closeFile() {
	if s.db != nil {
		_ = s.db.Close()
		_ = s.file.Close()
		s.db, s.file = nil, nil
	}
}

// replay reads the snapshot and applies the changes of the log to its rows.
func (s *Store) replay() error {
	var changeErr error
	err := s.db.View(func(tx *buntdb.Tx) error {
		if err := s.replaySnapshot(tx); err != nil {
			return err
		}
		return tx.AscendKeys(changePrefix+"*", func(key, text string) bool {
			changeErr = s.replayChange(key, text)
			return changeErr == nil
		})
	})
	return errors.CombineErrors(changeErr, err)
}

func (s *Store) replaySnapshot(tx *buntdb.Tx) error {
	text, err := tx.Get(snapshotKey)
	if err != nil {
		return errors.Mark(errors.Newf("data folder %s holds no snapshot; it was left unchanged", s.folder), ErrCorrupt)
	}
	if err := decodeRecord(text, &s.rows); err != nil {
		return s.corruptError("corrupt snapshot: %w", err)
	}
	s.log.snapshotBytes = len(text)
	return nil
}

func (s *Store) replayChange(key, text string) error {
	var write Write
	if err := decodeRecord(text, &write); err != nil {
		return s.corruptError("corrupt record %s: %w", key, err)
	}
	// A gap means that a change was lost although a later one was synced.
	if key != changeKey(s.log.changes) {
		return s.corruptError("record %s is missing", changeKey(s.log.changes))
	}
	write.Apply(s.rows)
	s.log.add(len(text))
	return nil
}
