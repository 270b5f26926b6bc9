package localcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/threads"
)

// trial is a real site under traffic whose daemons are hit one after another.
type trial struct {
	c *qt.C
	*Fleet
	revision int
	// count makes each description another one.
	count int
	text  string
}

// primary waits for a controller that speaks for the site, other than some.
func (s *trial) primary(but ...*Part) *Part {
	var found *Part
	s.c.Assert(s.until(patience, func() error {
		for _, part := range s.Controllers {
			var status consensus.Status
			if !slices.Contains(but, part) && read(part, &status) == nil && status.Active {
				found = part
				return nil
			}
		}
		return errors.New("no controller speaks for the site")
	}), qt.IsNil)
	return found
}

// describe hands the next description over until it is in force. Where the
// outcome was unknown, what is in force tells.
func (s *trial) describe() {
	s.count++
	next := strings.Replace(s.text, `"secondGoes": 10`, fmt.Sprintf(`"secondGoes": %d`, 1+s.count%9), 1)
	s.c.Assert(s.until(patience, func() error {
		err := errors.New("no controller takes it")
		for _, part := range s.Controllers {
			var status consensus.Status
			if read(part, &status) != nil || !status.Active {
				continue
			}
			code, text, asked := Ask(http.MethodGet, part.Settings.HTTP, "/description", "", nil)
			if asked == nil && code == http.StatusOK && string(text) == next {
				s.revision = int(status.Revision)
				return nil
			}
			code, text, asked = Ask(http.MethodPut, part.Settings.HTTP, "/description", fmt.Sprint(status.Revision), []byte(next))
			err = errors.Newf("%d %s %v", code, text, asked)
		}
		return err
	}), qt.IsNil)
}

// whole waits until the pair is whole and every controller follows.
func (s *trial) whole() {
	s.primary()
	s.c.Assert(s.until(patience, func() error {
		for _, part := range s.Controllers {
			var status consensus.Status
			if err := read(part, &status); err != nil {
				return err
			}
			if status.Revision != uint64(s.revision) || status.WitnessBlank || status.DiskBroken {
				return errors.Newf("%s does not follow yet", part.Settings.Name)
			}
		}
		return nil
	}), qt.IsNil)
	s.c.Assert(s.Ready(patience), qt.IsNil)
}

// TestShellsForReal hits the shells round the state machines, on real streams
// and disks and under traffic. Verdicts speak of what must hold at the end of
// each step, however long it took; the rules are checked all the time.
func TestShellsForReal(t *testing.T) {
	c := qt.New(t)
	f := up(c, "alexandria.json")
	s := &trial{c: c, Fleet: f, revision: 1, text: string(f.options.Text)}
	sender, stop := asking(c, f)
	steps := []struct {
		about string
		do    func(c *qt.C)
	}{
		{"the primary's disk is full", func(c *qt.C) {
			p := s.primary()
			p.Spoil(func(*os.File) error { return syscall.ENOSPC })
			s.describe()
			c.Assert(s.primary() != p, qt.IsTrue)
			p.Kill()
			c.Assert(s.Restart(p), qt.IsNil)
		}},
		{"the backup's disk fails to sync", func(c *qt.C) {
			var status consensus.Status
			c.Assert(read(s.primary(), &status), qt.IsNil)
			peer, _ := status.Record.Peer(status.Name)
			at := slices.IndexFunc(s.Controllers, func(p *Part) bool { return p.Settings.Name == peer.Name })
			s.Controllers[at].Spoil(func(*os.File) error { return syscall.EIO })
			s.describe()
			s.Controllers[at].Kill()
			c.Assert(s.Restart(s.Controllers[at]), qt.IsNil)
		}},
		{"the primary's disk stalls and goes on", func(c *qt.C) {
			p, free := s.primary(), make(chan struct{})
			var once sync.Once
			p.Spoil(func(file *os.File) error { <-free; return file.Sync() })
			s.describe()
			c.Assert(s.primary(p) != p, qt.IsTrue)
			once.Do(func() { close(free) })
		}},
		{"the primary stands still past its holds and goes on", func(c *qt.C) {
			p := s.primary()
			release := p.Halt()
			next := s.primary(p)
			s.describe()
			release()
			// It finds that it was replaced, and follows.
			c.Assert(s.until(patience, func() error {
				var status consensus.Status
				if err := read(p, &status); err != nil {
					return err
				}
				if status.Active || status.Revision != uint64(s.revision) {
					return errors.New("the old primary does not follow yet")
				}
				return nil
			}), qt.IsNil)
			c.Assert(s.primary(p), qt.Equals, next)
		}},
		{"a router stands still while a description is taken", func(c *qt.C) {
			release := s.Routers[0].Halt()
			s.describe()
			release()
			c.Assert(s.until(patience, func() error {
				var status router.Status
				if err := read(s.Routers[0], &status); err != nil {
					return err
				}
				if status.Revision != uint64(s.revision) {
					return errors.New("the router has not the new revision yet")
				}
				return nil
			}), qt.IsNil)
		}},
		{"everything is lost while a description is handed over", func(c *qt.C) {
			p := s.primary()
			said := make(chan int, 1)
			next := strings.Replace(s.text, `"secondGoes": 10`, `"secondGoes": 1`, 1)
			threads.Side(func() {
				status, _, err := Ask(http.MethodPut, p.Settings.HTTP, "/description", fmt.Sprint(s.revision), []byte(next))
				if err != nil {
					status = 0
				}
				said <- status
			})
			all := append(append([]*Part{}, s.Controllers...), s.Routers...)
			for _, part := range all {
				part.Kill()
			}
			for _, part := range all {
				c.Assert(s.Restart(part), qt.IsNil)
			}
			status := <-said
			_, text, err := Ask(http.MethodGet, s.primary().Settings.HTTP, "/history", "", nil)
			c.Assert(err, qt.IsNil)
			var history struct {
				Revisions []struct{ Number int }
			}
			c.Assert(json.Unmarshal(text, &history), qt.IsNil)
			now := history.Revisions[len(history.Revisions)-1].Number
			c.Assert(now == s.revision || now == s.revision+1, qt.IsTrue)
			if status == http.StatusOK {
				c.Assert(now, qt.Equals, s.revision+1, qt.Commentf("what was accepted is there"))
			}
			if status >= 400 && status != http.StatusGatewayTimeout {
				c.Assert(now, qt.Equals, s.revision, qt.Commentf("what was refused has no effect"))
			}
			s.revision = now
		}},
	}
	for _, step := range steps {
		t.Run(step.about, func(t *testing.T) {
			s.c = qt.New(t)
			step.do(s.c)
			s.whole()
		})
	}
	stop()
	c.Assert(f.Book.Breaches(), qt.HasLen, 0)
	c.Assert(sender.Kinds()["page"]["answered"] > 0, qt.IsTrue)
}
