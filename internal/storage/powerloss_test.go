package storage

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// syncRecorder records the changes of a data folder between syncs. A power loss may undo the
// changes of names and contents since each was last synced.
type syncRecorder struct {
	folder string
	// names holds, for each name, the inodes of the files it referred to since the folder
	// was last synced, the synced one first; 0 means that there was no such file.
	names map[string][]uint64
	// contents holds, for each inode, the contents since it was last synced, the synced one
	// first.
	contents map[uint64][][]byte
	// openFiles holds open files by inode, so that no inode is reused.
	openFiles map[uint64]*os.File
	// acknowledged is the number of the last change whose Save returned. begun is the number
	// of the last change whose Save was called.
	acknowledged, begun int
	// incarnation is the folder's incarnation once peers may know it, empty before.
	incarnation string
	// skip reports whether a broken disk ignores the sync of a file; nil ignores none.
	skip func(file *os.File) bool
	// onState is called with each state that a power loss at this time may leave.
	onState func(folderState)
	// coarse is true if only some of the bytes at which a write may be torn are tried.
	coarse bool
}

// folderState is the content of a folder after a power loss. The folder has to open with a
// last change from minChange to maxChange, and with the incarnation unless that is empty.
type folderState struct {
	files                map[string][]byte
	minChange, maxChange int
	incarnation          string
}

func newSyncRecorder(folder string, onState func(folderState)) *syncRecorder {
	r := &syncRecorder{folder: folder, names: map[string][]uint64{}, contents: map[uint64][][]byte{}, openFiles: map[uint64]*os.File{}, onState: onState}
	r.observe()
	// The initial files count as synced.
	for inode, versions := range r.contents {
		r.contents[inode] = versions[len(versions)-1:]
	}
	for name, files := range r.names {
		r.names[name] = files[len(files)-1:]
	}
	return r
}

func (r *syncRecorder) close() {
	for _, file := range r.openFiles {
		_ = file.Close()
	}
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func inodeOf(info os.FileInfo) uint64 { return info.Sys().(*syscall.Stat_t).Ino }

// observe records the changes since it was last called.
func (r *syncRecorder) observe() {
	now := map[string]uint64{}
	for _, entry := range must(os.ReadDir(r.folder)) {
		if entry.Name() == lockFileName {
			continue
		}
		path := filepath.Join(r.folder, entry.Name())
		file := inodeOf(must(os.Stat(path)))
		now[entry.Name()] = file
		if r.openFiles[file] == nil {
			r.openFiles[file] = must(os.Open(path))
			r.contents[file] = [][]byte{nil}
		}
		versions := r.contents[file]
		if text := must(os.ReadFile(path)); !bytes.Equal(versions[len(versions)-1], text) {
			r.contents[file] = append(versions, text)
		}
		if r.names[entry.Name()] == nil {
			r.names[entry.Name()] = []uint64{0}
		}
	}
	for name, files := range r.names {
		if files[len(files)-1] != now[name] {
			r.names[name] = append(files, now[name])
		}
	}
}

// sync replaces File.Sync. It tries a power loss before and after the sync.
func (r *syncRecorder) sync(file *os.File) error {
	r.observe()
	r.reportStates()
	info := must(file.Stat())
	if r.skip != nil && r.skip(file) {
		return nil
	}
	if info.IsDir() {
		if file.Name() == r.folder {
			for name, files := range r.names {
				r.names[name] = files[len(files)-1:]
			}
		}
	} else if versions := r.contents[inodeOf(info)]; versions != nil {
		r.contents[inodeOf(info)] = versions[len(versions)-1:]
	}
	r.reportStates()
	return nil
}

// reportStates calls onState with each state that a power loss at this time may leave.
func (r *syncRecorder) reportStates() {
	r.enumerateStates(slices.Sorted(maps.Keys(r.names)), map[string][]byte{})
}

func (r *syncRecorder) enumerateStates(names []string, files map[string][]byte) {
	if len(names) == 0 {
		// After a rename the file exists under at least one of the two names. File systems
		// that may lose both are not considered.
		if files[stateFileName] == nil && files[newStateFileName] == nil && (r.wasSynced(stateFileName) || r.wasSynced(newStateFileName)) {
			return
		}
		r.onState(folderState{files: maps.Clone(files), minChange: r.acknowledged, maxChange: r.begun, incarnation: r.incarnation})
		return
	}
	name := names[0]
	candidates := r.names[name]
	// A rename over an existing file may remove that file although the new entry is lost:
	// then the name refers to no file.
	if len(candidates) > 1 && !slices.Contains(candidates, 0) {
		candidates = append([]uint64{0}, candidates...)
	}
	for _, file := range candidates {
		if file == 0 {
			delete(files, name)
			r.enumerateStates(names[1:], files)
			continue
		}
		for _, content := range r.possibleContents(r.contents[file]) {
			files[name] = content
			r.enumerateStates(names[1:], files)
		}
		delete(files, name)
	}
}

// wasSynced reports whether the name referred to a file when the folder was last synced.
func (r *syncRecorder) wasSynced(name string) bool {
	return len(r.names[name]) > 0 && r.names[name][0] != 0
}

// possibleContents lists the contents that a file may have: the synced one, each later one,
// and those that a write may leave if it is torn at any byte.
func (r *syncRecorder) possibleContents(versions [][]byte) [][]byte {
	possible := slices.Clone(versions)
	for i := 1; i < len(versions); i++ {
		before, after := versions[i-1], versions[i]
		if !bytes.HasPrefix(after, before) {
			continue
		}
		step := 1
		if r.coarse {
			step = max(1, (len(after)-len(before))/5)
		}
		for at := len(before); at < len(after); at += step {
			possible = append(possible, after[:at], zeroed(after, at, len(after)), zeroed(after, len(before), at+1), flipped(after, at))
		}
	}
	return possible
}

func zeroed(text []byte, from, to int) []byte {
	out := bytes.Clone(text)
	clear(out[from:to])
	return out
}

func flipped(text []byte, at int) []byte {
	out := bytes.Clone(text)
	out[at] ^= 0x20
	return out
}

func noSync(*os.File) error { return nil }

// numberedWrite returns the write with number n. Its rows show which writes were applied.
func numberedWrite(n int) Write {
	return Write{Set: map[string]string{"state/a": fmt.Sprint(n), "state/b": fmt.Sprint(n), fmt.Sprintf("order/%d", n): "x"}}
}

// checkState opens a folder in the state that a power loss left and returns the number of
// the last change. All changes must be complete, and no acknowledged one may be missing.
func checkState(folder string, s folderState) (n int, err error) {
	if err := os.RemoveAll(folder); err != nil {
		return 0, err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return 0, err
	}
	for name, content := range s.files {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o644); err != nil {
			return 0, err
		}
	}
	store, err := openWith(folder, "zagreb", nil, noSync)
	if err != nil {
		return 0, errors.Wrap(err, "opening failed")
	}
	defer store.Close()
	return checkRows(store.Rows(), s)
}

func checkRows(rows map[string]string, s folderState) (int, error) {
	n := 0
	_, _ = fmt.Sscan(rows["state/a"], &n)
	orders := 0
	for key := range rows {
		if len(key) > 6 && key[:6] == "order/" {
			orders++
		}
	}
	switch {
	case rows["state/a"] != rows["state/b"] || orders != n:
		return n, errors.Newf("changes applied in part: a %q, b %q, %d orders", rows["state/a"], rows["state/b"], orders)
	case n < s.minChange:
		return n, errors.Newf("acknowledged change lost: the last change is %d, but %d was acknowledged", n, s.minChange)
	case n > s.maxChange:
		return n, errors.Newf("the last change is %d, but only %d were made", n, s.maxChange)
	case s.incarnation != "" && rows["incarnation"] != s.incarnation:
		return n, errors.Newf("the incarnation changed to %q", rows["incarnation"])
	}
	return n, nil
}

// runChanges saves a number of changes and calls reportStates after each. The log is
// bounded to 3 changes, so that the file is replaced after a few of them. Between some
// changes the store is closed and opened again, as after a kill of the process.
func (r *syncRecorder) runChanges(c *qt.C, changes int) {
	store, err := openWith(r.folder, "zagreb", nil, r.sync)
	c.Assert(err, qt.IsNil)
	store.log.maxChanges = 3
	// From now on peers may know the state that was read and synced, so it must not be lost.
	n, err := checkRows(store.Rows(), folderState{minChange: r.acknowledged, maxChange: r.begun, incarnation: r.incarnation})
	c.Assert(err, qt.IsNil)
	r.incarnation = store.Rows()["incarnation"]
	r.acknowledged, r.begun = n, n
	for range changes {
		if r.begun%5 == 4 {
			store.Close()
			store, err = openWith(r.folder, "zagreb", nil, r.sync)
			c.Assert(err, qt.IsNil)
			store.log.maxChanges = 3
		}
		writes := []Write{numberedWrite(r.begun + 1)}
		if r.begun%4 == 2 {
			writes = append(writes, numberedWrite(r.begun+2))
		}
		r.begun += len(writes)
		c.Assert(store.Save(writes...), qt.IsNil)
		r.acknowledged = r.begun
		r.observe()
		r.reportStates()
	}
	store.Close()
}

// runAndCheck saves changes to a disk that may be broken. It returns the states that a
// power loss may leave, and a description of each that violates the guarantees of Store.
func runAndCheck(c *qt.C, changes int, coarse bool, skip func(*os.File) bool) (states []folderState, broken []string) {
	seen := map[string]bool{}
	scratch := c.TempDir()
	r := newSyncRecorder(c.TempDir(), func(s folderState) {
		key := fmt.Sprint(s)
		if seen[key] {
			return
		}
		seen[key] = true
		states = append(states, s)
		if _, err := checkState(scratch, s); err != nil {
			broken = append(broken, fmt.Sprintf("%v; files %v", err, slices.Sorted(maps.Keys(s.files))))
		}
	})
	defer r.close()
	r.skip, r.coarse = skip, coarse
	r.runChanges(c, changes)
	return states, broken
}

// A power loss at any time may leave any part of the operations on files and names that
// were not synced. The folder then opens with complete changes only, and with every one
// that was acknowledged.
func TestPowerLossAtEachMoment(t *testing.T) {
	c := qt.New(t)
	states, broken := runAndCheck(c, 9, false, nil)
	t.Logf("%d states", len(states))
	c.Assert(len(states) > 1000, qt.IsTrue, qt.Commentf("only %d states", len(states)))
	c.Assert(broken, qt.HasLen, 0)
}

// A second power loss may happen while the folder is opened after the first.
func TestPowerLossTwice(t *testing.T) {
	c := qt.New(t)
	states, _ := runAndCheck(c, 5, true, nil)
	scratch, count := c.TempDir(), 0
	for _, first := range states {
		folder := c.TempDir()
		for name, content := range first.files {
			c.Assert(os.WriteFile(filepath.Join(folder, name), content, 0o644), qt.IsNil)
		}
		r := newSyncRecorder(folder, func(s folderState) {
			count++
			_, err := checkState(scratch, s)
			c.Assert(err, qt.IsNil, qt.Commentf("after %v, minChange %d", slices.Sorted(maps.Keys(first.files)), first.minChange))
		})
		r.coarse, r.incarnation, r.acknowledged, r.begun = true, first.incarnation, first.minChange, first.maxChange
		r.runChanges(c, 2)
		r.close()
	}
	t.Logf("%d states after one power loss, %d after a second one", len(states), count)
}

// The directory entry of a new folder is synced.
func TestNewFolderIsSyncedInItsParent(t *testing.T) {
	c := qt.New(t)
	parent := c.TempDir()
	var synced []string
	store, err := openWith(filepath.Join(parent, "data"), "zagreb", nil, func(file *os.File) error {
		synced = append(synced, file.Name())
		return nil
	})
	c.Assert(err, qt.IsNil)
	store.Close()
	c.Assert(synced[0], qt.Equals, parent)
}

// The checks of the tests above detect a disk that ignores syncs.
func TestPowerLossOnBrokenDisks(t *testing.T) {
	isFolder := func(file *os.File) bool { return must(file.Stat()).IsDir() }
	for _, test := range []struct {
		name  string
		skip  func(*os.File) bool
		fault string
	}{
		{"the folder is never synced", isFolder, "acknowledged change lost"},
		{"a change is acknowledged before it is synced", func(f *os.File) bool { return filepath.Base(f.Name()) == stateFileName }, "acknowledged change lost"},
		{"a new file is renamed before it is synced", func(f *os.File) bool { return filepath.Base(f.Name()) == newStateFileName }, "opening failed"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, broken := runAndCheck(c, 4, true, test.skip)
			t.Logf("%d broken states", len(broken))
			c.Assert(slices.ContainsFunc(broken, func(text string) bool { return strings.Contains(text, test.fault) }), qt.IsTrue, qt.Commentf("%d broken", len(broken)))
		})
	}
}
