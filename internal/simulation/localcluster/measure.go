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
	// callPairs is how many direct and routed calls are compared.
	callPairs = 400
	// measureTimeout bounds the wait for the first answer after a total loss.
	measureTimeout = time.Minute
)

// Measure prints what only real connections show: the cost of the way through a
// router as a ratio to a direct call, and how long the small service is away
// after every daemon was killed and started.
func (c *Cluster) Measure(out io.Writer) error {
	service, runner, err := c.smallService()
	if err != nil {
		return err
	}
	if err := c.measureRouting(out, service, runner); err != nil {
		return err
	}
	return c.measureRestart(out, service)
}

// measureRouting makes direct and routed calls in turn, so that both see the
// same load of the machine.
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
	if _, err := fmt.Fprintf(out, "routed to direct call, middle of %d pairs: %.2f\n", callPairs, routed[median]/direct[median]); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "routed to direct call, 95 in 100: %.2f\n", routed[percentile95]/direct[percentile95])
	return err
}

// measureRestart kills and starts all daemons and waits for the first answer.
func (c *Cluster) measureRestart(out io.Writer, service *description.Service) error {
	c.KillAll()
	from := time.Now()
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
	_, err = fmt.Fprintf(out, "first answer after every daemon was killed and started, seen once: %.1f s\n", time.Since(from).Seconds())
	return err
}

// smallService finds a repeatable service without models, and a runner of its
// pool.
func (c *Cluster) smallService() (*description.Service, *Runner, error) {
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
	return nil, nil, errors.New("no repeatable service without models is described; nothing was measured")
}

// timedPost makes a call that must succeed and gives how long it took, in ms.
func timedPost(address, path, body string) (float64, error) {
	from := time.Now()
	status, text, err := operatorclient.Call(http.MethodPost, address, path, "", []byte(body))
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Newf("%s answered %d: %s", address, status, text)
	}
	return float64(time.Since(from).Microseconds()) / 1000, nil
}
