package localcluster

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// connectionCutters are those before all runners of a cluster.
type connectionCutters []*testbackend.ConnectionCutter

// startCutters puts a cutter before each runner.
func startCutters(c *qt.C, cluster *Cluster) connectionCutters {
	c.Helper()
	var cutters connectionCutters
	for _, listed := range cluster.Platform.List() {
		listener, err := listen()
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
		cutter := testbackend.NewConnectionCutter(listener, listed.Address)
		threads.Go(cutter.Serve)
		cutters = append(cutters, cutter)
		listed.Address = listener.Addr().String()
		cluster.Platform.Put(listed)
	}
	return cutters
}

func (cc connectionCutters) setLimits(request, response int64) {
	for _, cutter := range cc {
		cutter.RequestLimit.Store(request)
		cutter.ResponseLimit.Store(response)
	}
}

func (cc connectionCutters) reset() {
	for _, cutter := range cc {
		cutter.Reset()
	}
}

// cuts counts the connections that were cut.
func (cc connectionCutters) cuts() int64 {
	var cuts int64
	for _, cutter := range cc {
		cuts += cutter.Cuts.Load()
	}
	return cuts
}

// waitAnswered waits until each service is answered.
func waitAnswered(c *qt.C, client *testbackend.Client) {
	c.Helper()
	for _, workload := range client.Workloads {
		c.Assert(retryFor(patience, func() error {
			if outcome := client.SendOne(workload); outcome != testbackend.OutcomeAnswered {
				return errors.New(string(outcome))
			}
			return nil
		}), qt.IsNil, qt.Commentf("%s", workload.Service))
	}
}

// Connections to runners are cut in the middle of a request, of an answer and
// of a stream, at many lengths. No client takes a part of an answer for the
// whole, nothing runs twice, and an unknown outcome is said to be unknown.
func TestStreamsCut(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	cutters := startCutters(c, cluster)
	client := newClient(cluster, 1, 1)
	nameOnlyCommonModels(client, 1)
	waitAnswered(c, client)
	cases := []struct {
		name              string
		request, response int64
	}{
		{"at the first byte of a request", 0, -1},
		{"in the head of a request", 40, -1},
		{"in the body of a request", 260, -1},
		{"before an answer", -1, 0},
		{"in the head of an answer", -1, 60},
		{"in the body of an answer", -1, 180},
		{"after the first piece of a stream", -1, 300},
		{"before the end of a stream", -1, 520},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			before := cutters.cuts()
			cutters.setLimits(test.request, test.response)
			for range 4 {
				for _, workload := range client.Workloads {
					client.SendOne(workload)
				}
			}
			after := cutters.cuts()
			cutters.reset()
			qt.Assert(t, after > before, qt.IsTrue)
			waitAnswered(c, client)
		})
	}
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
	ended := map[testbackend.Outcome]int{}
	for _, counts := range client.Outcomes() {
		for outcome, count := range counts {
			ended[outcome] += count
		}
	}
	t.Log(ended)
	c.Assert(ended[testbackend.Outcome(errkind.OutcomeUnknown)] > 0, qt.IsTrue, qt.Commentf("%v", ended))
	c.Assert(ended[testbackend.OutcomeBrokeInStream] > 0, qt.IsTrue, qt.Commentf("%v", ended))
	c.Assert(ended[testbackend.OutcomeWrong]+ended[testbackend.OutcomeMalformed], qt.Equals, 0, qt.Commentf("%v", ended))
}
