package process

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

// writeText is the input that has the writer write this text.
type writeText string

// reportName is the input that has the writer report its name.
type reportName struct{}

// MachineInput marks the inputs of the writer.
func (writeText) MachineInput()  {}
func (reportName) MachineInput() {}

// writer is a machine that writes each text it gets and reports the outcome.
type writer struct {
	name  string
	ended chan string
}

func (w *writer) Step(_ int64, input protocol.Input) protocol.Effects {
	switch in := input.(type) {
	case reportName:
		w.ended <- w.name
	case writeText:
		return protocol.Effects{DiskWrites: []protocol.DiskWrite{{Number: 1, Write: storage.Write{Set: map[string]string{"key": string(in)}}}}}
	case protocol.DiskWriteDone:
		if in.Ok {
			w.ended <- w.name + " wrote"
		} else {
			w.ended <- w.name + " failed"
		}
	}
	return protocol.Effects{}
}

// startRuntime runs a machine on a store until stop is called.
func startRuntime(c *qt.C, options Options, machine Machine, store *storage.Store) (runtime *Runtime, stop func()) {
	c.Helper()
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		return listener
	}
	options.Site, options.Clock, options.Log, options.TickMs = "s", NewClock(), log.New(io.Discard), 1000
	runtime = New(options, machine, store, listen(), listen(), http.NotFoundHandler())
	done, ended := make(chan struct{}), make(chan struct{})
	var group threads.Group
	runtime.AddTasks(&group)
	group.StopWhen(done)
	threads.Go(func() { _ = group.Run(); close(ended) })
	return runtime, func() {
		close(done)
		<-ended
	}
}

// openStore opens the store of a new folder.
func openStore(c *qt.C) (store *storage.Store, folder string) {
	c.Helper()
	folder = c.TempDir()
	store, err := storage.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	return store, folder
}

// checkStored asserts the value that a closed folder holds.
func checkStored(c *qt.C, folder, want string) {
	c.Helper()
	store, err := storage.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	defer store.Close()
	c.Assert(store.Rows()["key"], qt.Equals, want)
}

// A process whose disk failed restarts its machine from the disk once that
// accepts writes again; otherwise it would be one loss more for good.
func TestMachineIsReopenedAfterItsDiskFailed(t *testing.T) {
	c := qt.New(t)
	store, folder := openStore(c)
	ended, reopened := make(chan string, 4), make(chan struct{})
	reopen := func() (Machine, *storage.Store, error) {
		defer close(reopened)
		again, err := storage.Reopen(folder, "s")
		return &writer{"second", ended}, again, err
	}
	runtime, stop := startRuntime(c, Options{Reopen: reopen}, &writer{"first", ended}, store)
	store.OverrideSync(func(*os.File) error { return os.ErrInvalid })
	c.Assert(runtime.Submit(writeText("one")), qt.IsTrue)
	c.Assert(<-ended, qt.Equals, "first failed")
	store.OverrideSync((*os.File).Sync)
	<-reopened
	for name := ""; name != "second"; name = <-ended {
		c.Assert(runtime.Submit(reportName{}), qt.IsTrue)
	}
	c.Assert(runtime.Submit(writeText("two")), qt.IsTrue)
	c.Assert(<-ended, qt.Equals, "second wrote")
	stop()
	checkStored(c, folder, "two")
}

// Writes that wait while the disk is busy share one sync, and each of them is
// acknowledged.
func TestWaitingWritesShareOneSync(t *testing.T) {
	c := qt.New(t)
	store, folder := openStore(c)
	ended := make(chan string, 16)
	runtime, stop := startRuntime(c, Options{}, &writer{"first", ended}, store)
	syncs, mayEnd := make(chan struct{}, 16), make(chan struct{})
	store.OverrideSync(func(file *os.File) error {
		syncs <- struct{}{}
		<-mayEnd
		return file.Sync()
	})
	c.Assert(runtime.Submit(writeText("one")), qt.IsTrue)
	<-syncs
	for _, text := range []string{"two", "three", "four", "five", "six"} {
		c.Assert(runtime.Submit(writeText(text)), qt.IsTrue)
	}
	// The machine has queued all of them once it answers this.
	c.Assert(runtime.Submit(reportName{}), qt.IsTrue)
	c.Assert(<-ended, qt.Equals, "first")
	close(mayEnd)
	for range 6 {
		c.Assert(<-ended, qt.Equals, "first wrote")
	}
	c.Assert(syncs, qt.HasLen, 1, qt.Commentf("one further sync for five writes"))
	stop()
	checkStored(c, folder, "six")
}

// Writes are saved together for one store alone, up to a bound and in order.
func TestNextWritesAreForOneStore(t *testing.T) {
	first, second := &storage.Store{}, &storage.Store{}
	for _, test := range []struct {
		name        string
		held        int
		first, then int
		batch, rest int
	}{
		{"one", 0, 1, 0, 1, 0},
		{"all that wait", 0, 5, 0, 5, 0},
		{"those of another store stay", 0, 5, 2, 5, 1},
		{"what was given back goes first", 1, 3, 0, 4, 0},
		{"the bound", 0, maxBatchWrites + 5, 0, maxBatchWrites, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &Runtime{writes: ringbuffer.New[diskWrite](maxInputs)}
			var held []diskWrite
			number := uint64(0)
			next := func(d *storage.Store) diskWrite { number++; return diskWrite{protocol.DiskWrite{Number: number}, d} }
			for range test.held {
				held = append(held, next(first))
			}
			for range test.first {
				r.writes.Push(next(first))
			}
			for range test.then {
				r.writes.Push(next(second))
			}
			batch, rest, ok := r.nextWrites(held)
			c.Assert(ok, qt.IsTrue)
			c.Assert(batch, qt.HasLen, test.batch)
			c.Assert(rest, qt.HasLen, test.rest)
			for i, one := range append(batch, rest...) {
				c.Assert(one.Number, qt.Equals, uint64(i+1))
			}
		})
	}
}
