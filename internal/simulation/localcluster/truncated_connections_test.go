package localcluster

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// truncatingProxies are the proxies in front of all runners of a cluster.
type truncatingProxies []*testbackend.TruncatingProxy

// startTruncatingProxies puts a proxy in front of each runner.
func startTruncatingProxies(c *qt.C, cluster *Cluster) truncatingProxies {
	c.Helper()
	var proxies truncatingProxies
	for _, listed := range cluster.Platform.List() {
		listener, err := listen()
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
		proxy := testbackend.NewTruncatingProxy(listener, listed.Address)
		threads.Go(proxy.Serve)
		proxies = append(proxies, proxy)
		listed.Address = listener.Addr().String()
		cluster.Platform.Put(listed)
	}
	return proxies
}

func (p truncatingProxies) setLimits(request, response int64) {
	for _, proxy := range p {
		proxy.RequestLimit.Store(request)
		proxy.ResponseLimit.Store(response)
	}
}

func (p truncatingProxies) reset() {
	for _, proxy := range p {
		proxy.Reset()
	}
}

// truncatedConnections returns how many connections were truncated.
func (p truncatingProxies) truncatedConnections() int64 {
	var truncated int64
	for _, proxy := range p {
		truncated += proxy.Truncated.Load()
	}
	return truncated
}

// waitServed waits until a request to each service succeeds.
func waitServed(c *qt.C, client *testbackend.Client) {
	c.Helper()
	for _, workload := range client.Workloads {
		c.Assert(retryFor(testTimeout, func() error {
			if outcome := client.SendOne(workload); outcome != testbackend.OutcomeCompleted {
				return errors.New(string(outcome))
			}
			return nil
		}), qt.IsNil, qt.Commentf("%s", workload.Service))
	}
}

// Connections to runners are truncated at various lengths within a request, a response
// and a stream. No client mistakes a partial response for a complete response, no request
// runs twice, and an unknown outcome is reported as unknown.
func TestTruncatedConnections(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	proxies := startTruncatingProxies(c, cluster)
	client := newClient(cluster, 1, 1)
	requestOnlyFirstModels(client, 1)
	waitServed(c, client)
	cases := []struct {
		name              string
		request, response int64
	}{
		{"at the first byte of a request", 0, -1},
		{"in the head of a request", 40, -1},
		{"in the body of a request", 260, -1},
		{"before a response", -1, 0},
		{"in the head of a response", -1, 60},
		{"in the body of a response", -1, 180},
		{"after the first chunk of a stream", -1, 300},
		{"before the end of a stream", -1, 520},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			before := proxies.truncatedConnections()
			proxies.setLimits(test.request, test.response)
			for range 4 {
				for _, workload := range client.Workloads {
					client.SendOne(workload)
				}
			}
			after := proxies.truncatedConnections()
			proxies.reset()
			qt.Assert(t, after > before, qt.IsTrue)
			waitServed(c, client)
		})
	}
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
	total := map[testbackend.Outcome]int{}
	for _, counts := range client.Outcomes() {
		for outcome, count := range counts {
			total[outcome] += count
		}
	}
	t.Log(total)
	c.Assert(total[testbackend.Outcome(errkind.OutcomeUnknown)] > 0, qt.IsTrue, qt.Commentf("%v", total))
	c.Assert(total[testbackend.OutcomeBrokenInStream] > 0, qt.IsTrue, qt.Commentf("%v", total))
	c.Assert(total[testbackend.OutcomeInvalid]+total[testbackend.OutcomeMalformed], qt.Equals, 0, qt.Commentf("%v", total))
}
