// Package storage keeps the durable state of one daemon in one data folder: a table of
// rows, each of which is a string stored under a key.
//
// The folder holds one state file in the format of buntdb. The file begins with a snapshot
// of all rows, followed by a log of numbered changes. The snapshot is one record and each
// change is one; records have checksums. Once the log is large, a new file that has only a
// snapshot replaces the old one.
//
// Durability: Save returns once its changes are synced, so a change that it acknowledged
// is never lost, and changes become durable in order. A change whose Save failed or did not
// return may or may not exist after a restart, but it is never there in part. A file that
// replaces another is synced before it is renamed, and the folder is synced after that.
//
// After a failed sync it is unknown which pages reached the disk, and the next sync may
// report success for pages that were dropped. Therefore a Store that failed once rejects
// all further changes; Reopen starts again from the file.
//
// The features of buntdb with weaker guarantees are not used. It ignores the errors of its
// own syncs, so it is configured never to sync. A transaction over several keys may be
// written to its file in part, so each change is a single key. Its shrinking replaces the
// file without syncing the folder, so it is disabled. It panics after a failed write; Save
// turns that into an error.
package storage

import (
	"maps"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/buntdb"
)

// The files of a data folder.
const (
	stateFileName = "state.db"
	// newStateFileName is the new state file until it is renamed to stateFileName.
	newStateFileName = "state.next"
	// lockFileName is the file that a process locks while it has the folder open.
	lockFileName = "lock"
	// probeFileName is the file that CheckWritable writes and removes.
	probeFileName = "probe"
)

// The rows that each data folder has from its creation.
const (
	siteRow = "site"
	// incarnationRow is random, so that a folder that was emptied is not mistaken for the
	// earlier one.
	incarnationRow   = "incarnation"
	incarnationBytes = 8
)

// probeBytes is the size of the file probeFileName, more than one change usually takes.
const probeBytes = 64 << 10

// The errors of Open, besides those of the file system.
var (
	// ErrInUse means that another process has the folder open.
	ErrInUse = errors.New("the data folder is in use")
	// ErrWrongSite means that the folder belongs to another site.
	ErrWrongSite = errors.New("the data folder belongs to another site")
	// ErrCorrupt means that synced records are damaged. The file is left unchanged.
	ErrCorrupt = errors.New("the data folder is corrupt")
)

// syncFunc syncs the content of a file, or the directory entries of a folder, to the disk.
type syncFunc func(*os.File) error

// Store is one open data folder. It must be used by one goroutine at a time, except for
// CheckWritable and OverrideSync.
type Store struct {
	folder string
	lock   *os.File
	db     *buntdb.DB
	// file is a second handle of the file to which db writes, used to sync it.
	file *os.File
	rows map[string]string
	// log has the sizes of the records in the file.
	log logSize
	// failure is the error of the first failed Save, nil until then.
	failure error
	sync    syncFunc
	// syncOverride replaces sync from the next Save on, unless it is nil.
	syncOverride atomic.Pointer[syncFunc]
}

// Open opens a folder exclusively and creates it if it does not exist. An empty folder
// gets the site's name and a new random incarnation. A folder that belongs to another
// site, or is corrupt, is left unchanged, and Open returns an error.
func Open(folder, site string) (*Store, error) {
	return OpenInitial(folder, site, nil)
}

// OpenInitial is Open for a folder that gets these rows as well if it is empty.
func OpenInitial(folder, site string, initialRows map[string]string) (*Store, error) {
	return openWith(folder, site, initialRows, (*os.File).Sync)
}

// openWith is OpenInitial with a replacement for File.Sync.
func openWith(folder, site string, initialRows map[string]string, sync syncFunc) (*Store, error) {
	if err := makeFolder(folder, sync); err != nil {
		return nil, errors.Wrapf(err, "data folder %s", folder)
	}
	lock, err := os.OpenFile(filepath.Join(folder, lockFileName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrapf(err, "data folder %s", folder)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Mark(errors.Newf("data folder %s is in use by another process", folder), ErrInUse)
	}
	s := &Store{folder: folder, lock: lock, rows: map[string]string{}, log: logSize{maxChanges: maxLogChanges}, sync: sync}
	if err := s.load(site, initialRows); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// makeFolder creates the folder if it does not exist, and syncs the parent folder so that
// the new entry is durable.
func makeFolder(folder string, sync syncFunc) error {
	exists, err := fileExists(folder)
	if err != nil || exists {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	parent, err := os.Open(filepath.Dir(folder))
	if err != nil {
		return err
	}
	defer func() { _ = parent.Close() }()
	return sync(parent)
}

// Reopen opens a folder after a Store on it failed. The page cache may hold pages marked
// as clean that never reached the disk, so all rows are written to a new file before any
// of them is used.
func Reopen(folder, site string) (*Store, error) {
	s, err := Open(folder, site)
	if err != nil {
		return nil, err
	}
	if err := s.replaceFile(s.rows); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Rows returns a copy of all rows.
func (s *Store) Rows() map[string]string { return maps.Clone(s.rows) }

// Save applies changes in order and returns once they are durable. Writes that can be merged
// share one sync. After an error the Store accepts no more changes. Until the folder is
// opened again, it is unknown whether the changes of the failed call are on the disk.
func (s *Store) Save(writes ...Write) (err error) {
	if s.failure != nil {
		return s.failure
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("data folder %s: panic while saving: %v", s.folder, cause)
		}
		if err != nil {
			s.failure = err
		}
	}()
	if override := s.syncOverride.Load(); override != nil {
		s.sync = *override
	}
	for _, write := range mergeAll(writes) {
		if err := s.saveOne(write); err != nil {
			return err
		}
	}
	return nil
}

// saveOne makes one change durable, either in the log or in the snapshot of a new file.
func (s *Store) saveOne(write Write) error {
	text, err := encodeRecord(write)
	if err != nil {
		return err
	}
	if s.log.isFull(len(text)) {
		rows := maps.Clone(s.rows)
		write.Apply(rows)
		return s.replaceFile(rows)
	}
	if err := s.appendChange(text); err != nil {
		return err
	}
	write.Apply(s.rows)
	return nil
}

// CheckWritable writes and syncs a separate file in the folder and returns an error if
// that fails. It can be used on a Store that failed, and may be called from any goroutine.
func (s *Store) CheckWritable() error {
	file, err := os.OpenFile(s.path(probeFileName), os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o644)
	if err != nil {
		return s.wrap(err)
	}
	defer func() {
		_ = file.Close()
		_ = os.Remove(s.path(probeFileName))
	}()
	if _, err := file.Write(make([]byte, probeBytes)); err != nil {
		return s.wrap(err)
	}
	return s.wrapSync(s.currentSync()(file))
}

// currentSync returns the sync function for CheckWritable: the override, or File.Sync if
// there is none. It does not read the field sync, which Save may set concurrently.
func (s *Store) currentSync() syncFunc {
	if override := s.syncOverride.Load(); override != nil {
		return *override
	}
	return (*os.File).Sync
}

// OverrideSync replaces the sync function from the next Save on, to simulate a full,
// failing or stalling disk. It is for fault injection in tests, and may be called from any
// goroutine.
func (s *Store) OverrideSync(sync func(*os.File) error) {
	override := syncFunc(sync)
	s.syncOverride.Store(&override)
}

// Close closes the folder, so that another Store can open it.
func (s *Store) Close() {
	s.closeFile()
	_ = s.lock.Close()
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// wrap adds the folder to an error; nil stays nil.
func (s *Store) wrap(err error) error { return errors.Wrapf(err, "data folder %s", s.folder) }

// wrapSync adds the folder to the error of a sync; nil stays nil.
func (s *Store) wrapSync(err error) error {
	return errors.Wrapf(err, "data folder %s: sync failed", s.folder)
}

// corruptError returns an error about damaged records, marked as ErrCorrupt.
func (s *Store) corruptError(format string, args ...any) error {
	return errors.Mark(s.wrap(errors.Newf(format, args...)), ErrCorrupt)
}
