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

// writer is a machine that writes when it is told to and tells how it ended.
type writer struct {
	name  string
	ended chan string
}

func (w *writer) Step(_ int64, input any) protocol.Effects {
	switch in := input.(type) {
	case string:
		if in == "who" {
			w.ended <- w.name
			return protocol.Effects{}
		}
		return protocol.Effects{DiskWrites: []protocol.DiskWrite{{Number: 1, Write: storage.Write{Set: map[string]string{"key": in}}}}}
	case protocol.DiskWriteDone:
		if in.Ok {
			w.ended <- w.name + " wrote"
		} else {
			w.ended <- w.name + " failed"
		}
	}
	return protocol.Effects{}
}

// A daemon whose disk failed begins anew from it once it takes writes again;
// without that it would be one loss more for good.
func TestADiskThatFailedIsTakenUpAgain(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	d, err := storage.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	ended := make(chan string, 4)
	listen := func() net.Listener {
		at, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		return at
	}
	made := make(chan struct{})
	s := New(Options{Site: "s", Clock: NewClock(), Log: log.New(io.Discard), TickMs: 1000, Reopen: func() (Machine, *storage.Store, error) {
		defer close(made)
		again, err := storage.Reopen(folder, "s")
		return &writer{"second", ended}, again, err
	}}, &writer{"first", ended}, d, listen(), listen(), http.NotFoundHandler())
	done, over := make(chan struct{}), make(chan struct{})
	var group threads.Group
	s.AddTasks(&group)
	group.StopWhen(done)
	threads.Go(func() { _ = group.Run(); close(over) })
	d.OverrideSync(func(*os.File) error { return os.ErrInvalid })
	c.Assert(s.Submit("one"), qt.IsTrue)
	c.Assert(<-ended, qt.Equals, "first failed")
	d.OverrideSync((*os.File).Sync)
	<-made
	for said := ""; said != "second"; said = <-ended {
		c.Assert(s.Submit("who"), qt.IsTrue)
	}
	c.Assert(s.Submit("two"), qt.IsTrue)
	c.Assert(<-ended, qt.Equals, "second wrote")
	close(done)
	<-over
	again, err := storage.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	defer again.Close()
	c.Assert(again.Rows()["key"], qt.Equals, "two")
}

// What waits while the disk is at work goes to the platter with one sync, and
// each write is answered; a slow disk would else fall behind by a sync for each.
func TestWritesThatWaitAreSyncedTogether(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	d, err := storage.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	listen := func() net.Listener {
		at, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		return at
	}
	ended := make(chan string, 16)
	s := New(Options{Site: "s", Clock: NewClock(), Log: log.New(io.Discard), TickMs: 1000}, &writer{"first", ended}, d, listen(), listen(), http.NotFoundHandler())
	done, over := make(chan struct{}), make(chan struct{})
	var group threads.Group
	s.AddTasks(&group)
	group.StopWhen(done)
	threads.Go(func() { _ = group.Run(); close(over) })
	begun, gate := make(chan struct{}, 16), make(chan struct{})
	d.OverrideSync(func(file *os.File) error {
		begun <- struct{}{}
		<-gate
		return file.Sync()
	})
	c.Assert(s.Submit("one"), qt.IsTrue)
	<-begun
	for _, text := range []string{"two", "three", "four", "five", "six"} {
		c.Assert(s.Submit(text), qt.IsTrue)
	}
	// The machine has asked for all of them once it answers this.
	c.Assert(s.Submit("who"), qt.IsTrue)
	c.Assert(<-ended, qt.Equals, "first")
	close(gate)
	for range 6 {
		c.Assert(<-ended, qt.Equals, "first wrote")
	}
	c.Assert(begun, qt.HasLen, 1, qt.Commentf("one further sync for five writes"))
	close(done)
	<-over
	again, err := storage.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	defer again.Close()
	c.Assert(again.Rows()["key"], qt.Equals, "six")
}

// Writes are taken together for one disk alone, up to a bound and in order.
func TestTakeSaves(t *testing.T) {
	first, second := &storage.Store{}, &storage.Store{}
	for _, test := range []struct {
		name        string
		held        int
		first, then int
		batch, rest int
	}{
		{"one", 0, 1, 0, 1, 0},
		{"all that wait", 0, 5, 0, 5, 0},
		{"another disk's stay", 0, 5, 2, 5, 1},
		{"what was held goes first", 1, 3, 0, 4, 0},
		{"the bound", 0, savesMost + 5, 0, savesMost, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &Runtime{saves: ringbuffer.New[saving](inputsMost)}
			var held []saving
			number := uint64(0)
			next := func(d *storage.Store) saving { number++; return saving{protocol.DiskWrite{Number: number}, d} }
			for range test.held {
				held = append(held, next(first))
			}
			for range test.first {
				s.saves.Push(next(first))
			}
			for range test.then {
				s.saves.Push(next(second))
			}
			batch, rest, ok := s.takeSaves(held)
			c.Assert(ok, qt.IsTrue)
			c.Assert(batch, qt.HasLen, test.batch)
			c.Assert(rest, qt.HasLen, test.rest)
			for i, one := range append(batch, rest...) {
				c.Assert(one.Number, qt.Equals, uint64(i+1))
			}
		})
	}
}
