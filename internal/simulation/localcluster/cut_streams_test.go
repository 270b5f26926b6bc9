package localcluster

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// TestStreamsCut cuts streams to runners off in the middle of a request, of an
// answer and of a telling, at many lengths. Nobody takes a part of an answer for the whole,
// nothing runs twice, and what can't be known is said so.
func TestStreamsCut(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	// Every way to a runner leads over a cutter.
	var cutters []*testbackend.ConnectionCutter
	for _, listed := range cluster.Platform.List() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
		cutter := testbackend.NewConnectionCutter(listener, listed.Address)
		threads.Go(cutter.Serve)
		cutters = append(cutters, cutter)
		listed.Address = listener.Addr().String()
		cluster.Platform.Put(listed)
	}
	client := testbackend.NewClient("s", cluster.RouterAddresses(), testbackend.WorkloadsOf(cluster.Description, 1, 1), cluster.Checker, cluster.Clock.NowMs, 1)
	for i := range client.Workloads {
		workload := &client.Workloads[i]
		workload.Models, workload.Adapters = workload.Models[:min(1, len(workload.Models))], nil
	}
	// answers waits until each service is answered over the cutters.
	answers := func() {
		for _, workload := range client.Workloads {
			c.Assert(cluster.retryFor(patience, func() error {
				if outcome := client.SendOne(workload); outcome != testbackend.OutcomeAnswered {
					return errors.New(string(outcome))
				}
				return nil
			}), qt.IsNil, qt.Commentf("%s", workload.Service))
		}
	}
	answers()
	cases := []struct {
		about         string
		towards, back int64
	}{
		{"at the first byte of a request", 0, -1},
		{"in the head of a request", 40, -1},
		{"in the body of a request", 260, -1},
		{"before an answer", -1, 0},
		{"in the head of an answer", -1, 60},
		{"in the body of an answer", -1, 180},
		{"after the first piece of a telling", -1, 300},
		{"before the end of a telling", -1, 520},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			before := int64(0)
			for _, cutter := range cutters {
				before += cutter.Cuts.Load()
				cutter.RequestLimit.Store(test.towards)
				cutter.ResponseLimit.Store(test.back)
			}
			for range 4 {
				for _, workload := range client.Workloads {
					client.SendOne(workload)
				}
			}
			cuts := -before
			for _, cutter := range cutters {
				cuts += cutter.Cuts.Load()
				cutter.Reset()
			}
			qt.Assert(t, cuts > 0, qt.IsTrue)
			answers()
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
