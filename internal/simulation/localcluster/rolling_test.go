package localcluster

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// startTraffic asks a site's commonest models all the time until it is stopped.
func startTraffic(c *qt.C, cluster *Cluster) (client *testbackend.Client, stop func()) {
	client = testbackend.NewClient("s", cluster.RouterAddresses(), testbackend.WorkloadsOf(cluster.Description, 20, 3), cluster.Checker, cluster.Clock.NowMs, 1)
	for i := range client.Workloads {
		workload := &client.Workloads[i]
		workload.Models, workload.Adapters = workload.Models[:min(2, len(workload.Models))], nil
	}
	var asking threads.Group
	client.AddTasks(&asking)
	done, ended := make(chan struct{}), make(chan error, 1)
	asking.StopWhen(done)
	threads.Go(func() { ended <- asking.Run() })
	return client, func() {
		close(done)
		c.Assert(<-ended, qt.IsNil)
		client.Wait()
	}
}

// TestRollingRestartLosesNoRequest stops and starts every daemon as planned, one
// after the other, under traffic on real streams. Each request is answered, or
// dropped so that it may be sent again; none is lost or has an unknown end.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	client, stop := startTraffic(c, cluster)
	for _, daemon := range append(append([]*Daemon{}, cluster.Controllers...), cluster.Routers...) {
		daemon.Shutdown()
		c.Assert(cluster.Restart(daemon), qt.IsNil)
		c.Assert(cluster.WaitReady(patience), qt.IsNil)
	}
	stop()
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
	for service, counts := range client.Outcomes() {
		for outcome, count := range counts {
			expected := outcome == testbackend.OutcomeAnswered || errkind.Kind(outcome).Response().NotExecuted
			c.Assert(expected, qt.IsTrue, qt.Commentf("%s: %d of %s", service, count, outcome))
		}
	}
	c.Assert(client.Outcomes()["page"][testbackend.OutcomeAnswered] > 0, qt.IsTrue)
}
