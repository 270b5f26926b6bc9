package localcluster

import (
	"io"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// patience is a last resort against hanging, never part of a verdict.
const patience = 90 * time.Second

// startCluster starts the site of an example, bootstraps it, submits its
// description and waits until its routers are ready.
func startCluster(c *qt.C, example string) *Cluster {
	c.Helper()
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

// newClient makes a client of a cluster's routers.
func newClient(cluster *Cluster, smallPerSec, otherPerSec float64) *testbackend.Client {
	workloads := testbackend.WorkloadsOf(cluster.Description, smallPerSec, otherPerSec)
	return testbackend.NewClient("s", cluster.RouterAddresses(), workloads, cluster.Checker, cluster.Clock.NowMs, 1)
}

// startTraffic asks for a site's commonest models until it is stopped.
func startTraffic(c *qt.C, cluster *Cluster) (client *testbackend.Client, stop func()) {
	c.Helper()
	client = newClient(cluster, 20, 3)
	nameOnlyCommonModels(client, 2)
	var group threads.Group
	client.AddTasks(&group)
	done, ended := make(chan struct{}), make(chan error, 1)
	group.StopWhen(done)
	threads.Go(func() { ended <- group.Run() })
	return client, func() {
		c.Helper()
		close(done)
		c.Assert(<-ended, qt.IsNil)
		client.Wait()
	}
}

// nameOnlyCommonModels makes a client ask each service for its first models
// alone, and for no adapters.
func nameOnlyCommonModels(client *testbackend.Client, count int) {
	for i := range client.Workloads {
		workload := &client.Workloads[i]
		workload.Models, workload.Adapters = workload.Models[:min(count, len(workload.Models))], nil
	}
}

// Both sites at their full size: bootstrapped, described, loaded, asked and
// answered over real connections.
func TestRequestsAreAnsweredAtFullSize(t *testing.T) {
	for _, example := range []string{"zagreb.json", "alexandria.json"} {
		t.Run(example, func(t *testing.T) {
			c := qt.New(t)
			cluster := startCluster(c, example)
			client := newClient(cluster, 1, 1)
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
