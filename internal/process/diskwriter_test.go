package process

import (
	"io"
	"net/http"
	"os"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
	"myrtlewinch/internal/storage"
)

// writeText is an input that makes a writer write the text.
type writeText string

// reportName is an input that makes a writer report its name.
type reportName struct{}

// MachineInput marks the inputs of a writer.
func (writeText) MachineInput()  {}
func (reportName) MachineInput() {}

// writer is a state machine that writes each text it receives and reports the results.
type writer struct {
	name    string
	reports chan string
}

func (w *writer) Step(_ int64, input protocol.Input) protocol.Effects {
	switch in := input.(type) {
	case reportName:
		w.reports <- w.name
	case writeText:
		return protocol.Effects{DiskWrites: []protocol.DiskWrite{{Number: 1, Write: storage.Write{Set: map[string]string{"key": string(in)}}}}}
	case protocol.DiskWriteDone:
		if in.Ok {
			w.reports <- w.name + " wrote"
		} else {
			w.reports <- w.name + " failed"
		}
	}
	return protocol.Effects{}
}

// startRuntime runs a state machine with a store until stop is called.
func startRuntime(c *qt.C, options Options, machine Machine, store *storage.Store) (runtime *Runtime, stop func()) {
	c.Helper()
	options.Site, options.Clock, options.Log, options.TickMs = "s", NewClock(), log.New(io.Discard), 1000
	runtime = New(options, machine, store, listenLocally(c), listenLocally(c), http.NotFoundHandler())
	return runtime, runTasks(runtime)
}

// openStore opens a store in a new folder.
func openStore(c *qt.C) (store *storage.Store, folder string) {
	c.Helper()
	folder = c.TempDir()
	store, err := storage.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	return store, folder
}

// checkStored asserts which value is stored in a folder that no process has open.
func checkStored(c *qt.C, folder, want string) {
	c.Helper()
	store, err := storage.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	defer store.Close()
	c.Assert(store.Rows()["key"], qt.Equals, want)
}

// After a disk failure the process restarts its state machine from the disk once the disk
// accepts writes again. Otherwise the site would lack a working daemon permanently.
func TestMachineIsReopenedAfterItsDiskFailed(t *testing.T) {
	c := qt.New(t)
	store, folder := openStore(c)
	reports, reopened := make(chan string, 4), make(chan struct{})
	reopen := func() (Machine, *storage.Store, error) {
		defer close(reopened)
		again, err := storage.Reopen(folder, "s")
		return &writer{"second", reports}, again, err
	}
	runtime, stop := startRuntime(c, Options{Reopen: reopen}, &writer{"first", reports}, store)
	store.OverrideSync(func(*os.File) error { return os.ErrInvalid })
	c.Assert(runtime.Submit(writeText("one")), qt.IsTrue)
	c.Assert(<-reports, qt.Equals, "first failed")
	store.OverrideSync((*os.File).Sync)
	<-reopened
	for name := ""; name != "second"; name = <-reports {
		c.Assert(runtime.Submit(reportName{}), qt.IsTrue)
	}
	c.Assert(runtime.Submit(writeText("two")), qt.IsTrue)
	c.Assert(<-reports, qt.Equals, "second wrote")
	stop()
	checkStored(c, folder, "two")
}

// Writes that are queued while the disk is busy share one sync, and each of them is
// acknowledged.
func TestWaitingWritesShareOneSync(t *testing.T) {
	c := qt.New(t)
	store, folder := openStore(c)
	reports := make(chan string, 16)
	runtime, stop := startRuntime(c, Options{}, &writer{"first", reports}, store)
	syncs, release := make(chan struct{}, 16), make(chan struct{})
	store.OverrideSync(func(file *os.File) error {
		syncs <- struct{}{}
		<-release
		return file.Sync()
	})
	c.Assert(runtime.Submit(writeText("one")), qt.IsTrue)
	<-syncs
	for _, text := range []string{"two", "three", "four", "five", "six"} {
		c.Assert(runtime.Submit(writeText(text)), qt.IsTrue)
	}
	// Once the machine has handled this input, it has queued all the writes.
	c.Assert(runtime.Submit(reportName{}), qt.IsTrue)
	c.Assert(<-reports, qt.Equals, "first")
	close(release)
	for range 6 {
		c.Assert(<-reports, qt.Equals, "first wrote")
	}
	c.Assert(syncs, qt.HasLen, 1, qt.Commentf("the five queued writes must share one sync"))
	stop()
	checkStored(c, folder, "six")
}

// A batch has writes for one store only, in order and up to a bound.
func TestNextWritesAreForOneStore(t *testing.T) {
	first, second := &storage.Store{}, &storage.Store{}
	for _, test := range []struct {
		name                string
		carriedOver         int
		forFirst, forSecond int
		batch, rest         int
	}{
		{"one write", 0, 1, 0, 1, 0},
		{"all queued writes", 0, 5, 0, 5, 0},
		{"a write for another store ends the batch", 0, 5, 2, 5, 1},
		{"a write carried over goes first", 1, 3, 0, 4, 0},
		{"at most maxBatchWrites", 0, maxBatchWrites + 5, 0, maxBatchWrites, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &Runtime{writes: ringbuffer.New[diskWrite](maxInputs)}
			var carriedOver []diskWrite
			number := uint64(0)
			next := func(d *storage.Store) diskWrite { number++; return diskWrite{protocol.DiskWrite{Number: number}, d} }
			for range test.carriedOver {
				carriedOver = append(carriedOver, next(first))
			}
			for range test.forFirst {
				r.writes.Push(next(first))
			}
			for range test.forSecond {
				r.writes.Push(next(second))
			}
			batch, rest, ok := r.nextWrites(carriedOver)
			c.Assert(ok, qt.IsTrue)
			c.Assert(batch, qt.HasLen, test.batch)
			c.Assert(rest, qt.HasLen, test.rest)
			for i, one := range append(batch, rest...) {
				c.Assert(one.Number, qt.Equals, uint64(i+1))
			}
		})
	}
}
