package localcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/operatorclient"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// faultTrial is a site under traffic whose daemons get one fault after another.
type faultTrial struct {
	*Cluster
	c *qt.C
	// revision is the one in force.
	revision uint64
	// submitted counts the descriptions, so that each differs from the last.
	submitted int
	// text is the description that the site began with.
	text string
}

// retry tries again until there is no error, and fails the test if there always
// is one.
func (s *faultTrial) retry(try func() error) {
	s.c.Helper()
	s.c.Assert(retryFor(patience, try), qt.IsNil)
}

// primary waits for an active controller other than some.
func (s *faultTrial) primary(except ...*Daemon) *Daemon {
	s.c.Helper()
	var found *Daemon
	s.retry(func() error {
		for _, daemon := range s.Controllers {
			var status controller.Status
			if !slices.Contains(except, daemon) && readStatus(daemon, &status) == nil && status.Active {
				found = daemon
				return nil
			}
		}
		return errors.New("no controller is active")
	})
	return found
}

// backup is the controller that has a replica besides the primary.
func (s *faultTrial) backup() *Daemon {
	s.c.Helper()
	var status controller.Status
	s.c.Assert(readStatus(s.primary(), &status), qt.IsNil)
	replica, _ := status.Record.OtherReplica(status.Name)
	at := slices.IndexFunc(s.Controllers, func(d *Daemon) bool { return d.Settings.Name == replica.Name })
	return s.Controllers[at]
}

// killAndRestart kills a daemon and starts it again.
func (s *faultTrial) killAndRestart(daemon *Daemon) {
	s.c.Helper()
	daemon.Kill()
	s.c.Assert(s.Restart(daemon), qt.IsNil)
}

// withRetryAllowance is the description with another allowance of retries.
func (s *faultTrial) withRetryAllowance(allowance int) string {
	return strings.Replace(s.text, `"secondGoes": 10`, fmt.Sprintf(`"secondGoes": %d`, allowance), 1)
}

// submitNext submits the next description until it is in force. Where the
// outcome was unknown, it reads what is in force.
func (s *faultTrial) submitNext() {
	s.c.Helper()
	s.submitted++
	next := s.withRetryAllowance(1 + s.submitted%9)
	s.retry(func() error {
		err := errors.New("no controller accepts it")
		for _, daemon := range s.Controllers {
			var status controller.Status
			if readStatus(daemon, &status) != nil || !status.Active {
				continue
			}
			code, text, callErr := operatorclient.Call(http.MethodGet, daemon.Settings.HTTP, "/description", "", nil)
			if callErr == nil && code == http.StatusOK && string(text) == next {
				s.revision = status.Revision
				return nil
			}
			code, text, callErr = operatorclient.Call(http.MethodPut, daemon.Settings.HTTP, "/description", fmt.Sprint(status.Revision), []byte(next))
			err = errors.Newf("%d %s %v", code, text, callErr)
		}
		return err
	})
}

// waitHealthy waits until there is a primary, every controller follows it, and
// every router is ready.
func (s *faultTrial) waitHealthy() {
	s.c.Helper()
	s.primary()
	s.retry(func() error {
		for _, daemon := range s.Controllers {
			var status controller.Status
			if err := readStatus(daemon, &status); err != nil {
				return err
			}
			if status.Revision != s.revision || status.WitnessBlank || status.DiskBroken {
				return errors.Newf("%s does not follow yet", daemon.Settings.Name)
			}
		}
		return nil
	})
	s.c.Assert(s.WaitReady(patience), qt.IsNil)
}

func (s *faultTrial) primaryDiskFull() {
	primary := s.primary()
	primary.InjectDiskFault(func(*os.File) error { return syscall.ENOSPC })
	s.submitNext()
	s.c.Assert(s.primary() != primary, qt.IsTrue)
	s.killAndRestart(primary)
}

func (s *faultTrial) backupSyncFails() {
	backup := s.backup()
	backup.InjectDiskFault(func(*os.File) error { return syscall.EIO })
	s.submitNext()
	s.killAndRestart(backup)
}

func (s *faultTrial) primaryDiskStalls() {
	primary, resume := s.primary(), make(chan struct{})
	primary.InjectDiskFault(func(file *os.File) error { <-resume; return file.Sync() })
	s.submitNext()
	s.c.Assert(s.primary(primary) != primary, qt.IsTrue)
	close(resume)
}

func (s *faultTrial) primaryPausesPastItsLeases() {
	old := s.primary()
	release := old.Pause()
	next := s.primary(old)
	s.submitNext()
	release()
	// It finds that it was replaced, and follows.
	s.retry(func() error {
		var status controller.Status
		if err := readStatus(old, &status); err != nil {
			return err
		}
		if status.Active || status.Revision != s.revision {
			return errors.New("the old primary does not follow yet")
		}
		return nil
	})
	s.c.Assert(s.primary(old), qt.Equals, next)
}

func (s *faultTrial) routerPausesDuringSubmission() {
	release := s.Routers[0].Pause()
	s.submitNext()
	release()
	s.retry(func() error {
		var status router.Status
		if err := readStatus(s.Routers[0], &status); err != nil {
			return err
		}
		if status.Revision != s.revision {
			return errors.New("the router has not the new revision yet")
		}
		return nil
	})
}

// allKilledDuringSubmission kills all daemons while a submission is under way,
// and compares what its operator was told with what is in force afterwards.
func (s *faultTrial) allKilledDuringSubmission() {
	primary, told := s.primary(), make(chan int, 1)
	base, next := fmt.Sprint(s.revision), s.withRetryAllowance(1)
	threads.Go(func() {
		status, _, err := operatorclient.Call(http.MethodPut, primary.Settings.HTTP, "/description", base, []byte(next))
		if err != nil {
			status = 0
		}
		told <- status
	})
	s.KillAll()
	s.c.Assert(s.RestartAll(), qt.IsNil)
	status := <-told
	inForce := s.newestRevision()
	s.c.Assert(inForce == s.revision || inForce == s.revision+1, qt.IsTrue)
	if status == http.StatusOK {
		s.c.Assert(inForce, qt.Equals, s.revision+1, qt.Commentf("what was accepted is there"))
	}
	if status >= 400 && status != http.StatusGatewayTimeout {
		s.c.Assert(inForce, qt.Equals, s.revision, qt.Commentf("what was refused has no effect"))
	}
	s.revision = inForce
}

// newestRevision reads the newest revision of the history.
func (s *faultTrial) newestRevision() uint64 {
	s.c.Helper()
	_, text, err := operatorclient.Call(http.MethodGet, s.primary().Settings.HTTP, "/history", "", nil)
	s.c.Assert(err, qt.IsNil)
	var history struct {
		Revisions []struct{ Number uint64 }
	}
	s.c.Assert(json.Unmarshal(text, &history), qt.IsNil)
	return history.Revisions[len(history.Revisions)-1].Number
}

// Faults of disks and processes hit daemons one after another, on real
// connections and under traffic. The test judges what must hold at the end of
// each step, however long it took; the checker judges all the time.
func TestDaemonsSurviveFaultsUnderTraffic(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	trial := &faultTrial{Cluster: cluster, c: c, revision: 1, text: string(cluster.options.Text)}
	client, stop := startTraffic(c, cluster)
	steps := []struct {
		name  string
		fault func()
	}{
		{"the primary's disk is full", trial.primaryDiskFull},
		{"the backup's disk fails to sync", trial.backupSyncFails},
		{"the primary's disk stalls and goes on", trial.primaryDiskStalls},
		{"the primary pauses past its leases and goes on", trial.primaryPausesPastItsLeases},
		{"a router pauses while a description is submitted", trial.routerPausesDuringSubmission},
		{"all daemons are killed while a description is submitted", trial.allKilledDuringSubmission},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			trial.c = qt.New(t)
			step.fault()
			trial.waitHealthy()
		})
	}
	stop()
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
	c.Assert(client.Outcomes()["page"][testbackend.OutcomeAnswered] > 0, qt.IsTrue)
}
