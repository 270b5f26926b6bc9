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

// recording follows a data folder from sync to sync. A loss of power may undo what
// happened to names and contents since each was last synced.
type recording struct {
	folder string
	// names holds, for each name, the inodes of the files that it stood for since
	// the folder was last synced, the synced one first; 0 stands for none.
	names map[string][]uint64
	// contents holds, for each file, what it held since it was last synced.
	contents map[uint64][][]byte
	// pinned keeps files open, so that their inodes are not reused.
	pinned map[uint64]*os.File
	// acknowledged is the last change whose Save returned, begun the last one
	// whose Save was called.
	acknowledged, begun int
	// incarnation is that of the folder, once anyone may have learned it.
	incarnation string
	// skip says which syncs a broken disk ignores; nil ignores none.
	skip func(file *os.File) bool
	// lost is called with each state that a loss of power may leave now.
	lost func(state)
	// coarse leaves out most of the bytes at which a write may be torn.
	coarse bool
}

// state is what a folder holds after a loss of power. It has to open to a change
// from least to top, and to the incarnation where that is not empty.
type state struct {
	files       map[string][]byte
	least, top  int
	incarnation string
}

func newRecording(folder string, lost func(state)) *recording {
	r := &recording{folder: folder, names: map[string][]uint64{}, contents: map[uint64][][]byte{}, pinned: map[uint64]*os.File{}, lost: lost}
	r.observe()
	// What is there at the beginning counts as synced.
	for number, held := range r.contents {
		r.contents[number] = held[len(held)-1:]
	}
	for name, files := range r.names {
		r.names[name] = files[len(files)-1:]
	}
	return r
}

func (r *recording) close() {
	for _, file := range r.pinned {
		_ = file.Close()
	}
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func number(info os.FileInfo) uint64 { return info.Sys().(*syscall.Stat_t).Ino }

// observe records what changed since it was last called.
func (r *recording) observe() {
	now := map[string]uint64{}
	for _, entry := range must(os.ReadDir(r.folder)) {
		if entry.Name() == lockName {
			continue
		}
		path := filepath.Join(r.folder, entry.Name())
		file := number(must(os.Stat(path)))
		now[entry.Name()] = file
		if r.pinned[file] == nil {
			r.pinned[file] = must(os.Open(path))
			r.contents[file] = [][]byte{nil}
		}
		held := r.contents[file]
		if text := must(os.ReadFile(path)); !bytes.Equal(held[len(held)-1], text) {
			r.contents[file] = append(held, text)
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

// sync stands in for the sync of files. Power may be lost before it and after it.
func (r *recording) sync(file *os.File) error {
	r.observe()
	r.tryLosses()
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
	} else if held := r.contents[number(info)]; held != nil {
		r.contents[number(info)] = held[len(held)-1:]
	}
	r.tryLosses()
	return nil
}

// tryLosses tries each state that a loss of power may leave now.
func (r *recording) tryLosses() {
	r.choose(slices.Sorted(maps.Keys(r.names)), map[string][]byte{})
}

func (r *recording) choose(names []string, files map[string][]byte) {
	if len(names) == 0 {
		// A rename leaves its file under one of the two names. A disk that loses
		// both is not considered.
		if files[fileName] == nil && files[nextName] == nil && (r.wasSynced(fileName) || r.wasSynced(nextName)) {
			return
		}
		r.lost(state{files: maps.Clone(files), least: r.acknowledged, top: r.begun, incarnation: r.incarnation})
		return
	}
	name := names[0]
	stood := r.names[name]
	// A rename over a file removes that file, and only the new name may be lost.
	if len(stood) > 1 && !slices.Contains(stood, 0) {
		stood = append([]uint64{0}, stood...)
	}
	for _, file := range stood {
		if file == 0 {
			delete(files, name)
			r.choose(names[1:], files)
			continue
		}
		for _, content := range r.possibleContents(r.contents[file]) {
			files[name] = content
			r.choose(names[1:], files)
		}
		delete(files, name)
	}
}

// wasSynced reports whether the name stood for a file when the folder was last
// synced.
func (r *recording) wasSynced(name string) bool {
	return len(r.names[name]) > 0 && r.names[name][0] != 0
}

// possibleContents lists what a file may contain: what was synced, each later
// content, and each tear of a later write.
func (r *recording) possibleContents(held [][]byte) [][]byte {
	left := slices.Clone(held)
	for i := 1; i < len(held); i++ {
		before, after := held[i-1], held[i]
		if !bytes.HasPrefix(after, before) {
			continue
		}
		step := 1
		if r.coarse {
			step = max(1, (len(after)-len(before))/5)
		}
		for at := len(before); at < len(after); at += step {
			left = append(left, after[:at], zeroed(after, at, len(after)), zeroed(after, len(before), at+1), flipped(after, at))
		}
	}
	return left
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

// numbered is a write whose rows all show its number.
func numbered(n int) Write {
	return Write{Set: map[string]string{"state/a": fmt.Sprint(n), "state/b": fmt.Sprint(n), fmt.Sprintf("order/%d", n): "x"}}
}

// check opens what a loss of power left: it must open to one complete change, and
// to none older than the last that was acknowledged.
func check(folder string, s state) (n int, err error) {
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
	store, err := openWith(folder, "zagreb", noSync)
	if err != nil {
		return 0, errors.Wrap(err, "does not open")
	}
	defer store.Close()
	return holds(store.Rows(), s)
}

func holds(rows map[string]string, s state) (int, error) {
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
		return n, errors.Newf("a mixture: a %q, b %q, %d orders", rows["state/a"], rows["state/b"], orders)
	case n < s.least:
		return n, errors.Newf("goes back: change %d, though %d was acknowledged", n, s.least)
	case n > s.top:
		return n, errors.Newf("change %d, though only %d was asked for", n, s.top)
	case s.incarnation != "" && rows["incarnation"] != s.incarnation:
		return n, errors.Newf("another incarnation: %q", rows["incarnation"])
	}
	return n, nil
}

// play makes changes until the file has been replaced more than once, with a
// process killed between two of them.
func (r *recording) play(c *qt.C, changes int) {
	store, err := openWith(r.folder, "zagreb", r.sync)
	c.Assert(err, qt.IsNil)
	store.log.maxChanges = 3
	// Others may learn from now on what was read and synced.
	n, err := holds(store.Rows(), state{least: r.acknowledged, top: r.begun, incarnation: r.incarnation})
	c.Assert(err, qt.IsNil)
	r.incarnation = store.Rows()["incarnation"]
	r.acknowledged, r.begun = n, n
	for range changes {
		if r.begun%5 == 4 {
			store.Close()
			store, err = openWith(r.folder, "zagreb", r.sync)
			c.Assert(err, qt.IsNil)
			store.log.maxChanges = 3
		}
		writes := []Write{numbered(r.begun + 1)}
		if r.begun%4 == 2 {
			writes = append(writes, numbered(r.begun+2))
		}
		r.begun += len(writes)
		c.Assert(store.Save(writes...), qt.IsNil)
		r.acknowledged = r.begun
		r.observe()
		r.tryLosses()
	}
	store.Close()
}

// playAndCheck plays changes on a disk, broken or not. It lists the states that a loss of
// power may leave, and what is wrong with those that break a promise.
func playAndCheck(c *qt.C, changes int, coarse bool, skip func(*os.File) bool) (states []state, broken []string) {
	seen := map[string]bool{}
	scratch := c.TempDir()
	r := newRecording(c.TempDir(), func(s state) {
		key := fmt.Sprint(s)
		if seen[key] {
			return
		}
		seen[key] = true
		states = append(states, s)
		if _, err := check(scratch, s); err != nil {
			broken = append(broken, fmt.Sprintf("%v; files %v", err, slices.Sorted(maps.Keys(s.files))))
		}
	})
	defer r.close()
	r.skip, r.coarse = skip, coarse
	r.play(c, changes)
	return states, broken
}

// Whatever a loss of power at any moment leaves of operations on files or names
// that were not synced, the folder opens to one complete change, none older than
// the last that was acknowledged.
func TestPowerLossAtEachMoment(t *testing.T) {
	c := qt.New(t)
	states, broken := playAndCheck(c, 9, false, nil)
	t.Logf("%d states", len(states))
	c.Assert(len(states) > 1000, qt.IsTrue, qt.Commentf("only %d states", len(states)))
	c.Assert(broken, qt.HasLen, 0)
}

// Power may be lost again while the folder is opened after an earlier loss.
func TestPowerLossTwice(t *testing.T) {
	c := qt.New(t)
	states, _ := playAndCheck(c, 5, true, nil)
	scratch, count := c.TempDir(), 0
	for _, first := range states {
		folder := c.TempDir()
		for name, content := range first.files {
			c.Assert(os.WriteFile(filepath.Join(folder, name), content, 0o644), qt.IsNil)
		}
		r := newRecording(folder, func(s state) {
			count++
			_, err := check(scratch, s)
			c.Assert(err, qt.IsNil, qt.Commentf("after %v, least %d", slices.Sorted(maps.Keys(first.files)), first.least))
		})
		r.coarse, r.incarnation, r.acknowledged, r.begun = true, first.incarnation, first.least, first.top
		r.play(c, 2)
		r.close()
	}
	t.Logf("%d states after a loss, %d after a second one", len(states), count)
}

// The name of a new folder is durable.
func TestNewFolderIsSyncedInItsParent(t *testing.T) {
	c := qt.New(t)
	parent := c.TempDir()
	var synced []string
	store, err := openWith(filepath.Join(parent, "data"), "zagreb", func(file *os.File) error {
		synced = append(synced, file.Name())
		return nil
	})
	c.Assert(err, qt.IsNil)
	store.Close()
	c.Assert(synced[0], qt.Equals, parent)
}

// The check finds the faults of a disk that ignores syncs.
func TestPowerLossOnBrokenDisks(t *testing.T) {
	isFolder := func(file *os.File) bool { return must(file.Stat()).IsDir() }
	for _, test := range []struct {
		name  string
		skip  func(*os.File) bool
		fault string
	}{
		{"the folder is never synced", isFolder, "goes back"},
		{"a change is acknowledged before it is synced", func(f *os.File) bool { return filepath.Base(f.Name()) == fileName }, "goes back"},
		{"a new file is renamed before it is synced", func(f *os.File) bool { return filepath.Base(f.Name()) == nextName }, "does not open"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, broken := playAndCheck(c, 4, true, test.skip)
			t.Logf("%d broken states", len(broken))
			c.Assert(slices.ContainsFunc(broken, func(text string) bool { return strings.Contains(text, test.fault) }), qt.IsTrue, qt.Commentf("%d broken", len(broken)))
		})
	}
}
