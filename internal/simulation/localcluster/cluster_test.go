package localcluster

import (
	"io"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/simulation/testbackend"
)

// patience is a last resort against hanging, never part of a verdict.
const patience = 90 * time.Second

func startCluster(c *qt.C, example string) *Cluster {
	text, err := os.ReadFile("../../../examples/" + example)
	c.Assert(err, qt.IsNil)
	out := io.Discard
	if testing.Verbose() {
		out = os.Stderr
	}
	cluster, err := New(Options{Text: text, Data: c.TempDir(), LoadMs: 300, WorkMs: 5, Pieces: 4, Log: log.New(out)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Stop)
	c.Assert(cluster.Bootstrap(patience), qt.IsNil)
	c.Assert(cluster.SubmitDescription("0", text, patience), qt.IsNil)
	c.Assert(cluster.WaitReady(patience), qt.IsNil)
	return cluster
}

// The thin whole path, at both sites' full size: founded, described, loaded,
// asked and answered over real streams.
func TestRequestsAreAnsweredAtFullSize(t *testing.T) {
	for _, example := range []string{"zagreb.json", "alexandria.json"} {
		t.Run(example, func(t *testing.T) {
			c := qt.New(t)
			cluster := startCluster(c, example)
			client := testbackend.NewClient("s", cluster.RouterAddresses(), testbackend.WorkloadsOf(cluster.Description, 1, 1), cluster.Checker, cluster.Clock.NowMs, 1)
			for _, workload := range client.Workloads {
				workload.Models = workload.Models[:min(2, len(workload.Models))]
				answered := 0
				for range 400 {
					if client.SendOne(workload) == testbackend.OutcomeAnswered {
						answered++
					}
					if answered == 5 {
						break
					}
				}
				c.Assert(answered, qt.Equals, 5, qt.Commentf("%s: %v", workload.Service, client.OutcomeLines()))
			}
			c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
		})
	}
}
