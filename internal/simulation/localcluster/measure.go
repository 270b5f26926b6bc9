package localcluster

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/operatorclient"
)

const (
	// callPairs is how many pairs of a direct and a routed call are compared.
	callPairs = 400
	// measureTimeout bounds the wait for the first response after all daemons were
	// killed and restarted.
	measureTimeout = time.Minute
)

// Measure prints what can be measured only with real connections: the time of a
// routed call as a ratio to a direct call, and how long a service is unavailable after
// all daemons were killed and restarted.
func (c *Cluster) Measure(out io.Writer) error {
	service, runner, err := c.measuredService()
	if err != nil {
		return err
	}
	if err := c.measureRouting(out, service, runner); err != nil {
		return err
	}
	return c.measureRestart(out, service)
}

// measureRouting alternates direct and routed calls, so that both run under the same
// load of the host.
func (c *Cluster) measureRouting(out io.Writer, service *description.Service, runner *Runner) error {
	var direct, routed []float64
	for i := range callPairs {
		body := fmt.Sprintf(`{"request":"direct-%d","service":%q,"revision":1,"incarnation":%q,"repeatable":true}`,
			i, service.Name, incarnationPrefix+runner.Name)
		tookMs, err := timedPost(runner.Address, "/run", body)
		if err != nil {
			return err
		}
		direct = append(direct, tookMs)
		router := c.Routers[i%len(c.Routers)].Settings.HTTP
		if tookMs, err = timedPost(router, "/services/"+service.Name, `{}`); err != nil {
			return err
		}
		routed = append(routed, tookMs)
	}
	sort.Float64s(direct)
	sort.Float64s(routed)
	const median, percentile95 = callPairs / 2, callPairs * 95 / 100
	if _, err := fmt.Fprintf(out, "ratio of routed to direct call time, medians of %d calls each: %.2f\n", callPairs, routed[median]/direct[median]); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "ratio of routed to direct call time, 95th percentiles: %.2f\n", routed[percentile95]/direct[percentile95])
	return err
}

// measureRestart kills and restarts all daemons and waits for the first response.
func (c *Cluster) measureRestart(out io.Writer, service *description.Service) error {
	c.KillAll()
	started := time.Now()
	if err := c.RestartAll(); err != nil {
		return err
	}
	err := retryFor(measureTimeout, func() error {
		_, err := timedPost(c.Routers[0].Settings.HTTP, "/services/"+service.Name, `{}`)
		return err
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "time to the first response after all daemons were killed and restarted, measured once: %.1f s\n", time.Since(started).Seconds())
	return err
}

// measuredService returns the first idempotent service without models that has a
// runner in its pool, and that runner.
func (c *Cluster) measuredService() (*description.Service, *Runner, error) {
	for i := range c.Description.Services {
		service := &c.Description.Services[i]
		if !service.Idempotent || len(service.Models) > 0 {
			continue
		}
		for _, runner := range c.Runners {
			if described, ok := c.Description.Runner(runner.Name); ok && service.Uses(described.Pool) {
				return service, runner, nil
			}
		}
	}
	return nil, nil, errors.New("cannot measure: the description has no idempotent service without models")
}

// timedPost makes a call that must succeed and returns how long it took, in ms.
func timedPost(address, path, body string) (float64, error) {
	started := time.Now()
	status, text, err := operatorclient.Call(http.MethodPost, address, path, "", []byte(body))
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Newf("%s responded with status %d: %s", address, status, text)
	}
	return float64(time.Since(started).Microseconds()) / 1000, nil
}
