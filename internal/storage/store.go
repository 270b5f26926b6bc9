// Package storage keeps the durable state of one daemon: a table of rows, each a
// string under a key, in one data folder.
//
// The folder holds one file of state in the format of buntdb. It begins with a
// snapshot of all rows, and a log of numbered changes follows it. Each of them
// is one record with a checksum. Once the log is large, a new file with only a
// snapshot replaces the old one.
//
// What is durable when: Save returns once its changes are synced, so a change
// that it acknowledged is never lost, and changes are durable in their order. A
// change whose Save failed, or did not return, may be found after a restart or
// not, but always as a whole. A file that replaces another is synced before it
// is renamed, and the folder is synced after that.
//
// A sync that failed says nothing about which pages reached the disk, and the
// next sync may report success for pages that were dropped. A Store that failed
// once therefore refuses all further changes; Reopen starts over from the file.
//
// The parts of buntdb that promise less than this are not used. It ignores the
// errors of its own syncs, so it is set never to sync. A transaction over several
// keys may be torn in its file, so each change is a single key. Its shrinking
// replaces the file without syncing the folder, so it is disabled. It panics
// after a failed write, which Save turns into an error.
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
	fileName = "state.db"
	// nextName is a new file of state until it is renamed to fileName.
	nextName = "state.next"
	// lockName is the file whose lock shows that a process has the folder open.
	lockName = "lock"
	// probeName is the file that CheckWritable writes and removes.
	probeName = "probe"
)

// The rows that each data folder holds from the start.
const (
	siteRow = "site"
	// incarnationRow is random, so that an emptied folder is not mistaken for
	// the one that was there before.
	incarnationRow   = "incarnation"
	incarnationBytes = 8
)

// probeBytes is more than one change usually takes.
const probeBytes = 64 << 10

// The causes of a folder that can't be opened.
var (
	// ErrInUse says that another process has the folder open.
	ErrInUse = errors.New("the data folder is in use")
	// ErrWrongSite says that the folder belongs to another site.
	ErrWrongSite = errors.New("the data folder belongs to another site")
	// ErrCorrupt says that records are damaged that were synced. The file is
	// left as it was.
	ErrCorrupt = errors.New("the data folder is corrupt")
)

// syncFunc brings what was written to a file, or a folder's names, to the disk.
type syncFunc func(*os.File) error

// Store is one open data folder. Its methods are for one goroutine, apart from
// CheckWritable and OverrideSync.
type Store struct {
	folder string
	lock   *os.File
	db     *buntdb.DB
	// file is a second handle of the file that db writes to, for syncing it.
	file *os.File
	rows map[string]string
	// log counts what the file holds.
	log logSize
	// failure is the error of the first Save that failed, nil until then.
	failure error
	sync    syncFunc
	// syncOverride replaces sync from the next Save on; nil leaves it.
	syncOverride atomic.Pointer[syncFunc]
}

// Open opens a folder for this process alone and makes it where there is none.
// An empty folder gets the site's name and a new random incarnation. A folder
// that belongs to another site, or is damaged, is refused and left as it was.
func Open(folder, site string) (*Store, error) {
	return openWith(folder, site, (*os.File).Sync)
}

// openWith is Open with another way to sync.
func openWith(folder, site string, sync syncFunc) (*Store, error) {
	if err := makeFolder(folder, sync); err != nil {
		return nil, errors.Wrapf(err, "data folder %s", folder)
	}
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrapf(err, "data folder %s", folder)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Mark(errors.Newf("data folder %s is in use by another process", folder), ErrInUse)
	}
	s := &Store{folder: folder, lock: lock, rows: map[string]string{}, log: logSize{maxChanges: maxLogChanges}, sync: sync}
	if err := s.load(site); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// makeFolder makes the folder where there is none, and syncs its parent so that
// its name is durable.
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

// Reopen opens a folder after a Store on it failed. The system may hold pages as
// clean that never reached the disk, so all rows are written to a new file
// before any of them is trusted.
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

// Save applies changes in their order and returns once they are durable. Writes
// that can be merged share one sync. After an error the Store accepts nothing
// more: whether the changes of that call are on the disk is unknown until the
// folder is opened again.
func (s *Store) Save(writes ...Write) (err error) {
	if s.failure != nil {
		return s.failure
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("data folder %s: %v", s.folder, cause)
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

// saveOne makes one change durable: in the log, or with all other rows in a new
// file.
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

// CheckWritable reports whether the folder accepts writes and syncs them, by a
// file of its own beside the state. It works on a Store that failed, and may be
// called from any goroutine.
func (s *Store) CheckWritable() error {
	file, err := os.OpenFile(s.path(probeName), os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o644)
	if err != nil {
		return s.wrap(err)
	}
	defer func() {
		_ = file.Close()
		_ = os.Remove(s.path(probeName))
	}()
	if _, err := file.Write(make([]byte, probeBytes)); err != nil {
		return s.wrap(err)
	}
	return s.wrapSync(s.currentSync()(file))
}

// currentSync is the way to sync that the next Save uses.
func (s *Store) currentSync() syncFunc {
	if override := s.syncOverride.Load(); override != nil {
		return *override
	}
	return (*os.File).Sync
}

// OverrideSync makes the disk behave as a full, failing or stalling one does
// from the next Save on. It is for fault injection in tests, and may be called
// from any goroutine.
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

// wrap names the folder in an error; nil stays nil.
func (s *Store) wrap(err error) error { return errors.Wrapf(err, "data folder %s", s.folder) }

// wrapSync names the folder in the error of a sync; nil stays nil.
func (s *Store) wrapSync(err error) error {
	return errors.Wrapf(err, "data folder %s: sync", s.folder)
}

// corrupt is an error about damaged records.
func (s *Store) corrupt(format string, args ...any) error {
	return errors.Mark(s.wrap(errors.Newf(format, args...)), ErrCorrupt)
}
