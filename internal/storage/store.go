// Package storage keeps a daemon's own state in one data folder, through buntdb.
//
// What buntdb leaves open is closed here. It ignores errors of its syncs, so
// it is told never to sync and each change is synced by this package. A
// transaction of several keys can be torn in its file, so a change is always
// one key. Its shrink replaces the file without syncing the folder, so it is
// never used; a fresh file is written, synced and put in place here. It
// panics after a failed write, so a defect closes the disk for good.
package storage

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/buntdb"
)

const (
	fileName  = "state.db"
	nextName  = "state.next"
	lockName  = "lock"
	probeName = "probe"
	// probeBytes is more than one change usually takes.
	probeBytes = 64 << 10
	imageKey   = "image"
	changeKey  = "change/"
	// The log of changes is replaced by a snapshot once it holds so many, or so
	// many bytes: it is read whole at each start, and it lies in memory as well
	// as on the disk.
	logCountMost = 4096
	logBytesMost = 2 << 20
)

// Store is one open data folder.
type Store struct {
	folder string
	lock   *os.File
	db     *buntdb.DB
	file   *os.File
	keys   map[string]string
	// count is how many changes the log holds; logBytes and snapshotBytes are the
	// lengths of their texts and of the snapshot's.
	count, logBytes, snapshotBytes int
	// countMost is how many changes the log may hold.
	countMost int
	defect    error
	// sync is how a file is brought to the platter; Spoil makes it fail.
	sync func(*os.File) error
	// spoil replaces sync from the next save on.
	spoil atomic.Pointer[func(*os.File) error]
}

// OverrideSync makes the disk behave as a full, failing or stalling one does, for
// trying how the daemon takes it.
func (d *Store) OverrideSync(sync func(*os.File) error) { d.spoil.Store(&sync) }

// Open takes the folder for this process. An empty folder gets a new random
// incarnation; one of another site or one that can't be read is refused and
// left as it was.
func Open(folder, site string) (*Store, error) {
	return openWith(folder, site, (*os.File).Sync)
}

// openWith is Open with another way to bring a file to the platter.
func openWith(folder, site string, sync func(*os.File) error) (*Store, error) {
	if err := makeFolder(folder, sync); err != nil {
		return nil, errors.Wrapf(err, "data folder %s", folder)
	}
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrapf(err, "data folder %s", folder)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Newf("data folder %s is in use by another process", folder)
	}
	d := &Store{folder: folder, lock: lock, keys: map[string]string{}, countMost: logCountMost, sync: sync}
	if err := d.load(site); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// makeFolder makes the folder where there is none, so that its name lasts.
func makeFolder(folder string, sync func(*os.File) error) error {
	absent, err := isAbsent(folder)
	if err != nil || !absent {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	parent, err := os.Open(filepath.Dir(folder))
	if err != nil {
		return err
	}
	defer parent.Close()
	return sync(parent)
}

// Reopen opens a folder whose disk failed before. After a sync that failed the
// system may hold as clean what never reached the platter, so all of it is
// written anew before anything of it is trusted.
func Reopen(folder, site string) (*Store, error) {
	d, err := Open(folder, site)
	if err != nil {
		return nil, err
	}
	if err := d.rewrite(d.keys); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Store) path(name string) string { return filepath.Join(d.folder, name) }

func (d *Store) load(site string) error {
	blank, err := d.settleNames()
	if err != nil {
		return err
	}
	if !blank {
		if err := d.open(); err != nil {
			return err
		}
		if err := d.replay(); err != nil {
			return err
		}
		if d.keys["site"] != site {
			return errors.Newf("data folder %s belongs to site %q, not to %q", d.folder, d.keys["site"], site)
		}
		// What a process wrote and did not sync before it was killed is read
		// back, but a loss of power would still take it.
		if err := d.syncPath(d.path(fileName)); err != nil {
			return err
		}
		return d.syncPath(d.folder)
	}
	token := make([]byte, 8)
	if _, err := rand.Read(token); err != nil {
		return err
	}
	d.keys["site"] = site
	d.keys["incarnation"] = hex.EncodeToString(token)
	return d.rewrite(d.keys)
}

// settleNames says whether the folder holds no state yet. A next file was
// synced whole before its rename was tried, so where a loss of power left no
// file under the name proper, it is the state; otherwise it holds nothing that
// counts.
func (d *Store) settleNames() (blank bool, err error) {
	blank, err = isAbsent(d.path(fileName))
	if err != nil {
		return false, errors.Wrapf(err, "data folder %s", d.folder)
	}
	if blank && isSnapshot(d.path(nextName)) {
		err = os.Rename(d.path(nextName), d.path(fileName))
		return false, errors.Wrapf(err, "data folder %s", d.folder)
	}
	if err := os.Remove(d.path(nextName)); err != nil && !os.IsNotExist(err) {
		return false, errors.Wrapf(err, "data folder %s", d.folder)
	}
	return blank, nil
}

func isAbsent(path string) (bool, error) {
	_, err := os.Stat(path)
	if os.IsNotExist(err) {
		return true, nil
	}
	return false, err
}

// isSnapshot says whether a file holds one whole snapshot and nothing else.
func isSnapshot(path string) bool {
	text, err := os.ReadFile(path)
	return err == nil && len(text) > 0 && recordSize(text, imageKey) == len(text)
}

// open opens a file that a process or a loss of power may have left torn.
func (d *Store) open() error {
	if err := trim(d.path(fileName), d.sync); err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	return d.attach()
}

// attach opens a file that is whole.
func (d *Store) attach() error {
	db, err := buntdb.Open(d.path(fileName))
	if err != nil {
		return errors.Wrapf(err, "data folder %s holds a torn %s; it is left as it is", d.folder, fileName)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		return err
	}
	file, err := os.OpenFile(d.path(fileName), os.O_RDWR, 0)
	if err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	d.db, d.file = db, file
	return nil
}

func (d *Store) replay() error {
	var fault error
	err := d.db.View(func(tx *buntdb.Tx) error {
		text, err := tx.Get(imageKey)
		if err != nil {
			return errors.Newf("data folder %s holds no image; it is left as it is", d.folder)
		}
		if err := unseal(text, &d.keys); err != nil {
			return errors.Wrapf(err, "data folder %s: torn image", d.folder)
		}
		d.snapshotBytes = len(text)
		return tx.AscendKeys(changeKey+"*", func(key, text string) bool {
			var w Write
			if fault = unseal(text, &w); fault != nil {
				fault = errors.Wrapf(fault, "data folder %s: torn %s", d.folder, key)
				return false
			}
			// A gap means that a change was lost under a later one.
			if key != changeName(d.count) {
				fault = errors.Newf("data folder %s: %s is missing", d.folder, changeName(d.count))
				return false
			}
			w.Apply(d.keys)
			d.count++
			d.logBytes += len(text)
			return true
		})
	})
	return errors.CombineErrors(fault, err)
}

// Rows gives a copy of what the disk holds.
func (d *Store) Rows() map[string]string { return maps.Clone(d.keys) }

// Save brings changes to the platter before it returns, in their order; those
// that belong together take one sync for all. After a defect the disk takes
// nothing more: what was written then is unknown until the folder is opened
// anew.
func (d *Store) Save(writes ...Write) (err error) {
	if d.defect != nil {
		return d.defect
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("data folder %s: %v", d.folder, cause)
		}
		if err != nil {
			d.defect = err
		}
	}()
	if spoilt := d.spoil.Load(); spoilt != nil {
		d.sync = *spoilt
	}
	for _, w := range merge(writes) {
		if err := d.saveOne(w); err != nil {
			return err
		}
	}
	return nil
}

func (d *Store) saveOne(w Write) error {
	text, err := seal(w)
	if err != nil {
		return err
	}
	if d.logFull(len(text)) {
		keys := maps.Clone(d.keys)
		w.Apply(keys)
		return d.rewrite(keys)
	}
	if err := d.append(text); err != nil {
		return err
	}
	w.Apply(d.keys)
	return nil
}

// logFull says whether a change of so many bytes is too much for the log. A
// large snapshot is not written for less than twice its own length of changes.
func (d *Store) logFull(more int) bool {
	return d.count >= d.countMost || d.logBytes+more > max(logBytesMost, 2*d.snapshotBytes)
}

// append adds a change to the log and syncs it.
func (d *Store) append(text string) error {
	if err := d.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(changeName(d.count), text, nil)
		return err
	}); err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	if err := d.sync(d.file); err != nil {
		return errors.Wrapf(err, "data folder %s: sync", d.folder)
	}
	d.count++
	d.logBytes += len(text)
	return nil
}

// rewrite puts a fresh file with only a snapshot of these keys in place:
// written, synced, renamed, and the folder synced.
func (d *Store) rewrite(keys map[string]string) error {
	text, err := seal(keys)
	if err != nil {
		return err
	}
	next, err := buntdb.Open(d.path(nextName))
	if err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	err = next.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(imageKey, text, nil)
		return err
	})
	if closing := next.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	if err := d.syncPath(d.path(nextName)); err != nil {
		return err
	}
	d.closeFile()
	if err := os.Rename(d.path(nextName), d.path(fileName)); err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	if err := d.syncPath(d.folder); err != nil {
		return err
	}
	d.keys, d.count, d.logBytes, d.snapshotBytes = keys, 0, 0, len(text)
	return d.attach()
}

func (d *Store) syncPath(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	defer file.Close()
	return errors.Wrapf(d.sync(file), "data folder %s: sync", d.folder)
}

func (d *Store) closeFile() {
	if d.db != nil {
		_ = d.db.Close()
		_ = d.file.Close()
		d.db, d.file = nil, nil
	}
}

// CheckWritable says whether the folder takes and syncs writes, apart from the state's
// own file. It may be called after a defect, on any thread.
func (d *Store) CheckWritable() error {
	file, err := os.OpenFile(d.path(probeName), os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o644)
	if err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	defer func() {
		_ = file.Close()
		_ = os.Remove(d.path(probeName))
	}()
	if _, err := file.Write(make([]byte, probeBytes)); err != nil {
		return errors.Wrapf(err, "data folder %s", d.folder)
	}
	return errors.Wrapf(d.syncer()(file), "data folder %s: sync", d.folder)
}

// syncer is how a file is brought to the platter now.
func (d *Store) syncer() func(*os.File) error {
	if spoilt := d.spoil.Load(); spoilt != nil {
		return *spoilt
	}
	return (*os.File).Sync
}

// Close lets the folder go.
func (d *Store) Close() {
	d.closeFile()
	_ = d.lock.Close()
}
