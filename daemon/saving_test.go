package daemon

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/crew"
	"myrtlewinch/disk"
	"myrtlewinch/wire"
)

// writer is a machine that writes when it is told to and tells how it ended.
type writer struct {
	name  string
	ended chan string
}

func (w *writer) Step(_ int64, input any) wire.Effects {
	switch in := input.(type) {
	case string:
		if in == "who" {
			w.ended <- w.name
			return wire.Effects{}
		}
		return wire.Effects{Saves: []wire.Save{{Number: 1, Write: disk.Write{Sets: map[string]string{"key": in}}}}}
	case wire.Saved:
		if in.Ok {
			w.ended <- w.name + " wrote"
		} else {
			w.ended <- w.name + " failed"
		}
	}
	return wire.Effects{}
}

// A daemon whose disk failed begins anew from it once it takes writes again;
// without that it would be one loss more for good.
func TestADiskThatFailedIsTakenUpAgain(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	d, err := disk.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	ended := make(chan string, 4)
	listen := func() net.Listener {
		at, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		return at
	}
	made := make(chan struct{})
	s := New(Settings{Site: "s", Clock: NewClock(), Log: log.New(io.Discard), TickMs: 1000, Renew: func() (Machine, *disk.Disk, error) {
		defer close(made)
		again, err := disk.Reopen(folder, "s")
		return &writer{"second", ended}, again, err
	}}, &writer{"first", ended}, d, listen(), listen(), http.NotFoundHandler())
	done, over := make(chan struct{}), make(chan struct{})
	var group crew.Crew
	s.Join(&group)
	group.Until(done)
	crew.Side(func() { _ = group.Run(); close(over) })
	d.Spoil(func(*os.File) error { return os.ErrInvalid })
	c.Assert(s.Put("one"), qt.IsTrue)
	c.Assert(<-ended, qt.Equals, "first failed")
	d.Spoil((*os.File).Sync)
	<-made
	for said := ""; said != "second"; said = <-ended {
		c.Assert(s.Put("who"), qt.IsTrue)
	}
	c.Assert(s.Put("two"), qt.IsTrue)
	c.Assert(<-ended, qt.Equals, "second wrote")
	close(done)
	<-over
	again, err := disk.Open(folder, "s")
	c.Assert(err, qt.IsNil)
	defer again.Close()
	c.Assert(again.Keys()["key"], qt.Equals, "two")
}
