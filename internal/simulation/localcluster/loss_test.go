package localcluster

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/simulation/testbackend"
)

// TestAcceptedDescriptionSurvivesLostDaemons kills daemons of a site on real streams and disks: the
// primary, then all. The verdict speaks only of what must hold at the end.
func TestAcceptedDescriptionSurvivesLostDaemons(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	second := strings.Replace(string(cluster.options.Text), `"secondGoes": 10`, `"secondGoes": 9`, 1)
	c.Assert(cluster.SubmitDescription("1", []byte(second), patience), qt.IsNil)
	// The primary is gone right after it accepted, and its disk with it.
	cluster.Controllers[0].Kill()
	c.Assert(os.RemoveAll(cluster.Controllers[0].Settings.Data), qt.IsNil)
	third := strings.Replace(second, `"secondGoes": 9`, `"secondGoes": 8`, 1)
	c.Assert(cluster.SubmitDescription("2", []byte(third), patience), qt.IsNil)
	// It comes back empty, and is taken in as backup or witness again.
	c.Assert(cluster.Restart(cluster.Controllers[0]), qt.IsNil)
	c.Assert(cluster.retryFor(patience, func() error {
		var s consensus.Status
		if err := readStatus(cluster.Controllers[0], &s); err != nil {
			return err
		}
		if s.WitnessBlank || s.Revision != 3 {
			return errors.Newf("not taken in: blank %v, revision %d", s.WitnessBlank, s.Revision)
		}
		return nil
	}), qt.IsNil)
	// Everything is lost at once and started again, from the disks alone.
	all := append(append([]*Daemon{}, cluster.Controllers...), cluster.Routers...)
	for _, daemon := range all {
		daemon.Kill()
	}
	for _, daemon := range all {
		c.Assert(cluster.Restart(daemon), qt.IsNil)
	}
	c.Assert(cluster.WaitReady(patience), qt.IsNil)
	c.Assert(cluster.retryFor(patience, func() error {
		for _, daemon := range cluster.Controllers {
			status, text, err := Call(http.MethodGet, daemon.Settings.HTTP, "/description", "", nil)
			if err == nil && status == http.StatusOK {
				c.Assert(string(text), qt.Equals, third, qt.Commentf("what was accepted last is in force"))
				return nil
			}
		}
		return errors.New("nobody knows what is in force")
	}), qt.IsNil)
	_, past, err := Call(http.MethodGet, cluster.Controllers[0].Settings.HTTP, "/history", "", nil)
	c.Assert(err, qt.IsNil)
	var history struct {
		Revisions []struct {
			Number uint64 `json:"number"`
		} `json:"revisions"`
	}
	c.Assert(json.Unmarshal(past, &history), qt.IsNil)
	c.Assert(history.Revisions, qt.HasLen, 3)
	client := testbackend.NewClient("s", cluster.RouterAddresses(), testbackend.WorkloadsOf(cluster.Description, 1, 1), cluster.Checker, cluster.Clock.NowMs, 1)
	answered := 0
	for range 200 {
		if client.SendOne(client.Workloads[3]) == "answered" {
			answered++
		}
	}
	c.Assert(answered > 0, qt.IsTrue, qt.Commentf("%v", client.OutcomeLines()))
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
}
