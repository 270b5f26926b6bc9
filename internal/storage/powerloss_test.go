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

// recording follows a data folder from sync to sync. What happened to names
// and contents since each was last synced is what a loss of power may undo.
type recording struct {
	folder string
	// names holds, for each name, the files that it stood for since the folder
	// was last synced, the synced one first; nought stands for none.
	names map[string][]uint64
	// contents holds, for each file, what it held since it was last synced.
	contents map[uint64][][]byte
	// pinned keeps the numbers of files from being given out again.
	pinned map[uint64]*os.File
	// acknowledged and begun are the last change that was answered and asked.
	acknowledged, begun int
	// incarnation is the disk's, once it was told to anyone.
	incarnation string
	// skip names what a broken disk leaves out of its syncs.
	skip func(file *os.File) bool
	// lost gets each state that may be found after a loss of power now.
	lost func(state)
	// coarse leaves most places of a tear out.
	coarse bool
}

// state is what a folder holds after a loss of power, and what must be there.
type state struct {
	files       map[string][]byte
	least, top  int
	incarnation string
}

func newRecording(folder string, lost func(state)) *recording {
	r := &recording{folder: folder, names: map[string][]uint64{}, contents: map[uint64][][]byte{}, pinned: map[uint64]*os.File{}, lost: lost}
	r.observe()
	// What lies there at the beginning has lain there for long.
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

// observe notes what changed since it last looked.
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

// sync is the seam of the disk. Power may be lost before it and after it.
func (r *recording) sync(file *os.File) error {
	r.observe()
	r.lose()
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
	r.lose()
	return nil
}

// lose brings about each state that a loss of power may leave now.
func (r *recording) lose() {
	r.choose(slices.Sorted(maps.Keys(r.names)), map[string][]byte{})
}

func (r *recording) choose(names []string, files map[string][]byte) {
	if len(names) == 0 {
		// A rename leaves its file under one of the two names; on a disk that
		// loses both nothing can be kept.
		if files[fileName] == nil && files[nextName] == nil && (r.lay(fileName) || r.lay(nextName)) {
			return
		}
		r.lost(state{files: maps.Clone(files), least: r.acknowledged, top: r.begun, incarnation: r.incarnation})
		return
	}
	name := names[0]
	stood := r.names[name]
	// A rename over a file removes that file: what is lost of the two may be
	// the new name alone.
	if len(stood) > 1 && !slices.Contains(stood, 0) {
		stood = append([]uint64{0}, stood...)
	}
	for _, file := range stood {
		if file == 0 {
			delete(files, name)
			r.choose(names[1:], files)
			continue
		}
		for _, content := range r.leftOf(r.contents[file]) {
			files[name] = content
			r.choose(names[1:], files)
		}
		delete(files, name)
	}
}

// lay says whether the name stood for a file when the folder was last synced.
func (r *recording) lay(name string) bool { return len(r.names[name]) > 0 && r.names[name][0] != 0 }

// leftOf lists what may be left of a file: what was synced, each later content,
// and each tear of a later write.
func (r *recording) leftOf(held [][]byte) [][]byte {
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

// numbered is the change of a number: all its keys say the number.
func numbered(n int) Write {
	return Write{Set: map[string]string{"state/a": fmt.Sprint(n), "state/b": fmt.Sprint(n), fmt.Sprintf("order/%d", n): "x"}}
}

// check opens what a loss of power left: it must open, hold one of the changes
// whole, and none older than the last that was acknowledged.
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
	d, err := openWith(folder, "zagreb", noSync)
	if err != nil {
		return 0, errors.Wrap(err, "does not open")
	}
	defer d.Close()
	return holds(d.Rows(), s)
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

// play makes changes until the disk has been rewritten more than once, with a
// process killed between two of them.
func (r *recording) play(c *qt.C, changes int) {
	d, err := openWith(r.folder, "zagreb", r.sync)
	c.Assert(err, qt.IsNil)
	d.log.maxChanges = 3
	// What it read and synced may be told to others from now on.
	n, err := holds(d.Rows(), state{least: r.acknowledged, top: r.begun, incarnation: r.incarnation})
	c.Assert(err, qt.IsNil)
	r.incarnation = d.Rows()["incarnation"]
	r.acknowledged, r.begun = n, n
	for range changes {
		if r.begun%5 == 4 {
			d.Close()
			d, err = openWith(r.folder, "zagreb", r.sync)
			c.Assert(err, qt.IsNil)
			d.log.maxChanges = 3
		}
		writes := []Write{numbered(r.begun + 1)}
		if r.begun%4 == 2 {
			writes = append(writes, numbered(r.begun+2))
		}
		r.begun += len(writes)
		c.Assert(d.Save(writes...), qt.IsNil)
		r.acknowledged = r.begun
		r.observe()
		r.lose()
	}
	d.Close()
}

// faults plays a disk, broken or not, and counts the states that a loss of
// power may leave and those of them that break what the disk promises.
func faults(c *qt.C, changes int, coarse bool, skip func(*os.File) bool) (states []state, broken []string) {
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

// Whatever a loss of power leaves at any moment, of any operation on files or
// names that was not synced: the folder opens, to one whole change, none older
// than the last that was acknowledged.
func TestPowerLossAtEachMoment(t *testing.T) {
	c := qt.New(t)
	states, broken := faults(c, 9, false, nil)
	t.Logf("%d states", len(states))
	c.Assert(len(states) > 1000, qt.IsTrue, qt.Commentf("only %d states", len(states)))
	c.Assert(broken, qt.HasLen, 0)
}

// Power may be lost again while what an earlier loss left is taken up.
func TestPowerLossTwice(t *testing.T) {
	c := qt.New(t)
	states, _ := faults(c, 5, true, nil)
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

// A folder that was not there lasts under its name.
func TestNewFolderIsSyncedInItsParent(t *testing.T) {
	c := qt.New(t)
	parent := c.TempDir()
	var synced []string
	d, err := openWith(filepath.Join(parent, "data"), "zagreb", func(file *os.File) error {
		synced = append(synced, file.Name())
		return nil
	})
	c.Assert(err, qt.IsNil)
	d.Close()
	c.Assert(synced[0], qt.Equals, parent)
}

// The check fires on a disk that breaks its promises.
func TestPowerLossOnBrokenDisks(t *testing.T) {
	isFolder := func(file *os.File) bool { return must(file.Stat()).IsDir() }
	for _, test := range []struct {
		name  string
		skip  func(*os.File) bool
		fault string
	}{
		{"the folder is never synced", isFolder, "goes back"},
		{"a change is answered before it is synced", func(f *os.File) bool { return filepath.Base(f.Name()) == fileName }, "goes back"},
		{"a new file is put in place unsynced", func(f *os.File) bool { return filepath.Base(f.Name()) == nextName }, "does not open"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, broken := faults(c, 4, true, test.skip)
			t.Logf("%d broken states", len(broken))
			c.Assert(slices.ContainsFunc(broken, func(text string) bool { return strings.Contains(text, test.fault) }), qt.IsTrue, qt.Commentf("%d broken", len(broken)))
		})
	}
}
