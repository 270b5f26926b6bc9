package storage

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// After a loss of power the last change, if it was not acknowledged, may be
// complete, missing or torn at any byte in any manner; the folder still opens.
func TestOpenRepairsATornLastRecord(t *testing.T) {
	c := qt.New(t)
	store, folder := openNew(c)
	c.Assert(store.Save(set("state/a", "first")), qt.IsNil)
	path := filepath.Join(folder, fileName)
	before, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(set("state/a", "second")), qt.IsNil)
	store.Close()
	after, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for _, manner := range []struct {
		about  string
		damage func(tail []byte, at int) []byte
	}{
		{"cut", func(tail []byte, at int) []byte { return tail[:at] }},
		{"zeroes from there on", func(tail []byte, at int) []byte { clear(tail[at:]); return tail }},
		{"zeroes up to there", func(tail []byte, at int) []byte { clear(tail[:at+1]); return tail }},
		{"one byte off", func(tail []byte, at int) []byte { tail[at] ^= 0x20; return tail }},
	} {
		for at := range len(after) - len(before) {
			tail := manner.damage(append([]byte{}, after[len(before):]...), at)
			c.Assert(os.WriteFile(path, append(append([]byte{}, before...), tail...), 0o644), qt.IsNil)
			store, err := Open(folder, "zagreb")
			c.Assert(err, qt.IsNil, qt.Commentf("%s at %d", manner.about, at))
			c.Assert(store.Rows()["state/a"] == "first" || store.Rows()["state/a"] == "second", qt.IsTrue)
			c.Assert(store.Save(set("state/b", "third")), qt.IsNil)
			store.Close()
			c.Assert(reopen(c, folder)["state/b"], qt.Equals, "third")
		}
	}
}

// After a failure all rows are written to a new file before they are trusted.
func TestReopenAfterAFailureWritesANewFile(t *testing.T) {
	c := qt.New(t)
	store, folder := openNew(c)
	c.Assert(store.Save(set("state/a", "1")), qt.IsNil)
	store.OverrideSync(func(*os.File) error { return os.ErrInvalid })
	c.Assert(store.Save(set("state/a", "2")), qt.IsNotNil)
	c.Assert(store.CheckWritable(), qt.IsNotNil)
	store.OverrideSync((*os.File).Sync)
	c.Assert(store.CheckWritable(), qt.IsNil)
	c.Assert(store.Save(set("state/a", "3")), qt.IsNotNil)
	store.Close()
	again, err := Reopen(folder, "zagreb")
	c.Assert(err, qt.IsNil)
	defer again.Close()
	// The change that failed may be there or not; the file holds just a snapshot.
	c.Assert(again.log.changes, qt.Equals, 0)
	c.Assert(again.Rows()["state/a"] == "1" || again.Rows()["state/a"] == "2", qt.IsTrue)
	entries, err := os.ReadDir(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(len(entries), qt.Equals, 2, qt.Commentf("the state and the lock"))
}
