package localcluster

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/operatorclient"
	"myrtlewinch/internal/simulation/testbackend"
)

// The primary is lost with its disk, then all daemons are killed, on real
// connections and disks. The test judges only what must hold at the end.
func TestAcceptedDescriptionSurvivesLostDaemons(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	second := strings.Replace(string(cluster.options.Text), `"secondGoes": 10`, `"secondGoes": 9`, 1)
	c.Assert(cluster.SubmitDescription("1", []byte(second), patience), qt.IsNil)
	// The primary is gone right after it accepted, and its disk with it.
	lost := cluster.Controllers[0]
	lost.Kill()
	c.Assert(os.RemoveAll(lost.Settings.Data), qt.IsNil)
	third := strings.Replace(second, `"secondGoes": 9`, `"secondGoes": 8`, 1)
	c.Assert(cluster.SubmitDescription("2", []byte(third), patience), qt.IsNil)
	// It comes back empty, and becomes backup or witness again.
	c.Assert(cluster.Restart(lost), qt.IsNil)
	c.Assert(retryFor(patience, func() error { return checkFollows(lost, 3) }), qt.IsNil)
	// Everything is lost at once and started again, from the disks alone.
	cluster.KillAll()
	c.Assert(cluster.RestartAll(), qt.IsNil)
	c.Assert(cluster.WaitReady(patience), qt.IsNil)
	c.Assert(descriptionInForce(c, cluster), qt.Equals, third, qt.Commentf("what was accepted last is in force"))
	c.Assert(historyLength(c, lost), qt.Equals, 3)
	client := newClient(cluster, 1, 1)
	answered := 0
	for range 200 {
		if client.SendOne(client.Workloads[3]) == testbackend.OutcomeAnswered {
			answered++
		}
	}
	c.Assert(answered > 0, qt.IsTrue, qt.Commentf("%v", client.OutcomeLines()))
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
}

// checkFollows says why a controller does not follow at a revision yet.
func checkFollows(daemon *Daemon, revision uint64) error {
	var status controller.Status
	if err := readStatus(daemon, &status); err != nil {
		return err
	}
	if status.WitnessBlank || status.Revision != revision {
		return errors.Newf("not taken in: blank %v, revision %d", status.WitnessBlank, status.Revision)
	}
	return nil
}

// descriptionInForce waits until a controller gives the description in force.
func descriptionInForce(c *qt.C, cluster *Cluster) string {
	c.Helper()
	var inForce string
	c.Assert(retryFor(patience, func() error {
		for _, daemon := range cluster.Controllers {
			status, text, err := operatorclient.Call(http.MethodGet, daemon.Settings.HTTP, "/description", "", nil)
			if err == nil && status == http.StatusOK {
				inForce = string(text)
				return nil
			}
		}
		return errors.New("nobody knows what is in force")
	}), qt.IsNil)
	return inForce
}

// historyLength counts the revisions that a controller lists.
func historyLength(c *qt.C, daemon *Daemon) int {
	c.Helper()
	_, text, err := operatorclient.Call(http.MethodGet, daemon.Settings.HTTP, "/history", "", nil)
	c.Assert(err, qt.IsNil)
	var history struct {
		Revisions []struct {
			Number uint64 `json:"number"`
		} `json:"revisions"`
	}
	c.Assert(json.Unmarshal(text, &history), qt.IsNil)
	return len(history.Revisions)
}
