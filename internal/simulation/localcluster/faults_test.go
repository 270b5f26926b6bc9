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
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// faultTrial is a real site under traffic whose daemons are hit one after another.
type faultTrial struct {
	c *qt.C
	*Cluster
	revision int
	// submitted makes each description another one.
	submitted int
	text      string
}

// primary waits for a controller that speaks for the site, other than some.
func (s *faultTrial) primary(but ...*Daemon) *Daemon {
	var found *Daemon
	s.c.Assert(s.retryFor(patience, func() error {
		for _, daemon := range s.Controllers {
			var status consensus.Status
			if !slices.Contains(but, daemon) && readStatus(daemon, &status) == nil && status.Active {
				found = daemon
				return nil
			}
		}
		return errors.New("no controller speaks for the site")
	}), qt.IsNil)
	return found
}

// submitNext hands the next description over until it is in force. Where the
// outcome was unknown, what is in force tells.
func (s *faultTrial) submitNext() {
	s.submitted++
	next := strings.Replace(s.text, `"secondGoes": 10`, fmt.Sprintf(`"secondGoes": %d`, 1+s.submitted%9), 1)
	s.c.Assert(s.retryFor(patience, func() error {
		err := errors.New("no controller takes it")
		for _, daemon := range s.Controllers {
			var status consensus.Status
			if readStatus(daemon, &status) != nil || !status.Active {
				continue
			}
			code, text, asked := Call(http.MethodGet, daemon.Settings.HTTP, "/description", "", nil)
			if asked == nil && code == http.StatusOK && string(text) == next {
				s.revision = int(status.Revision)
				return nil
			}
			code, text, asked = Call(http.MethodPut, daemon.Settings.HTTP, "/description", fmt.Sprint(status.Revision), []byte(next))
			err = errors.Newf("%d %s %v", code, text, asked)
		}
		return err
	}), qt.IsNil)
}

// waitHealthy waits until the pair is whole and every controller follows.
func (s *faultTrial) waitHealthy() {
	s.primary()
	s.c.Assert(s.retryFor(patience, func() error {
		for _, daemon := range s.Controllers {
			var status consensus.Status
			if err := readStatus(daemon, &status); err != nil {
				return err
			}
			if status.Revision != uint64(s.revision) || status.WitnessBlank || status.DiskBroken {
				return errors.Newf("%s does not follow yet", daemon.Settings.Name)
			}
		}
		return nil
	}), qt.IsNil)
	s.c.Assert(s.WaitReady(patience), qt.IsNil)
}

// TestDaemonsSurviveFaultsUnderTraffic hits the shells round the state machines, on real streams
// and disks and under traffic. Verdicts speak of what must hold at the end of
// each step, however long it took; the rules are checked all the time.
func TestDaemonsSurviveFaultsUnderTraffic(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	s := &faultTrial{c: c, Cluster: cluster, revision: 1, text: string(cluster.options.Text)}
	client, stop := startTraffic(c, cluster)
	steps := []struct {
		about string
		do    func(c *qt.C)
	}{
		{"the primary's disk is full", func(c *qt.C) {
			p := s.primary()
			p.InjectDiskFault(func(*os.File) error { return syscall.ENOSPC })
			s.submitNext()
			c.Assert(s.primary() != p, qt.IsTrue)
			p.Kill()
			c.Assert(s.Restart(p), qt.IsNil)
		}},
		{"the backup's disk fails to sync", func(c *qt.C) {
			var status consensus.Status
			c.Assert(readStatus(s.primary(), &status), qt.IsNil)
			peer, _ := status.Record.OtherReplica(status.Name)
			at := slices.IndexFunc(s.Controllers, func(p *Daemon) bool { return p.Settings.Name == peer.Name })
			s.Controllers[at].InjectDiskFault(func(*os.File) error { return syscall.EIO })
			s.submitNext()
			s.Controllers[at].Kill()
			c.Assert(s.Restart(s.Controllers[at]), qt.IsNil)
		}},
		{"the primary's disk stalls and goes on", func(c *qt.C) {
			p, free := s.primary(), make(chan struct{})
			var once sync.Once
			p.InjectDiskFault(func(file *os.File) error { <-free; return file.Sync() })
			s.submitNext()
			c.Assert(s.primary(p) != p, qt.IsTrue)
			once.Do(func() { close(free) })
		}},
		{"the primary stands still past its holds and goes on", func(c *qt.C) {
			p := s.primary()
			release := p.Pause()
			next := s.primary(p)
			s.submitNext()
			release()
			// It finds that it was replaced, and follows.
			c.Assert(s.retryFor(patience, func() error {
				var status consensus.Status
				if err := readStatus(p, &status); err != nil {
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
			release := s.Routers[0].Pause()
			s.submitNext()
			release()
			c.Assert(s.retryFor(patience, func() error {
				var status router.Status
				if err := readStatus(s.Routers[0], &status); err != nil {
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
			threads.Go(func() {
				status, _, err := Call(http.MethodPut, p.Settings.HTTP, "/description", fmt.Sprint(s.revision), []byte(next))
				if err != nil {
					status = 0
				}
				said <- status
			})
			all := append(append([]*Daemon{}, s.Controllers...), s.Routers...)
			for _, daemon := range all {
				daemon.Kill()
			}
			for _, daemon := range all {
				c.Assert(s.Restart(daemon), qt.IsNil)
			}
			status := <-said
			_, text, err := Call(http.MethodGet, s.primary().Settings.HTTP, "/history", "", nil)
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
			s.waitHealthy()
		})
	}
	stop()
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
	c.Assert(client.Outcomes()["page"][testbackend.OutcomeAnswered] > 0, qt.IsTrue)
}
