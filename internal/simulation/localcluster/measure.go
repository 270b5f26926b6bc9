package localcluster

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/description"
)

const callPairs = 400

// Measure prints what only real streams show: the cost of the way through a
// router as a ratio to a direct call, paired within one run, and how long the
// small service is away after every daemon was killed and started.
func (c *Cluster) Measure(out io.Writer) error {
	small, runner, err := c.smallService()
	if err != nil {
		return err
	}
	var direct, routed []float64
	for i := range callPairs {
		body := []byte(fmt.Sprintf(`{"request":"direct-%d","service":%q,"revision":1,"incarnation":%q,"repeatable":true}`, i, small.Name, "first-"+runner.Name))
		tookMs, err := timedPost(runner.Address, "/run", body)
		if err != nil {
			return err
		}
		direct = append(direct, tookMs)
		edge := c.Routers[i%len(c.Routers)].Settings.HTTP
		if tookMs, err = timedPost(edge, "/services/"+small.Name, []byte(`{}`)); err != nil {
			return err
		}
		routed = append(routed, tookMs)
	}
	sort.Float64s(direct)
	sort.Float64s(routed)
	fmt.Fprintf(out, "routed to direct call, middle of %d pairs: %.2f\n", callPairs, routed[callPairs/2]/direct[callPairs/2])
	fmt.Fprintf(out, "routed to direct call, 95 in 100: %.2f\n", routed[callPairs*95/100]/direct[callPairs*95/100])
	all := append(append([]*Daemon{}, c.Controllers...), c.Routers...)
	for _, daemon := range all {
		daemon.Kill()
	}
	from := time.Now()
	for _, daemon := range all {
		if err := c.Restart(daemon); err != nil {
			return err
		}
	}
	err = c.retryFor(time.Minute, func() error {
		_, err := timedPost(c.Routers[0].Settings.HTTP, "/services/"+small.Name, []byte(`{}`))
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "first answer after every daemon was killed and started, seen once: %.1f s\n", time.Since(from).Seconds())
	return nil
}

// smallService finds a repeatable service without models and a runner of its pool.
func (c *Cluster) smallService() (*description.Service, *Runner, error) {
	for i := range c.Description.Services {
		s := &c.Description.Services[i]
		if !s.Repeatable || len(s.Models) > 0 {
			continue
		}
		for _, daemon := range c.Runners {
			if r, ok := c.Description.Runner(daemon.Name); ok && s.Uses(r.Pool) {
				return s, daemon, nil
			}
		}
	}
	return nil, nil, errors.New("no repeatable service without models is described; nothing was measured")
}

func timedPost(address, path string, body []byte) (float64, error) {
	from := time.Now()
	status, text, err := Call(http.MethodPost, address, path, "", body)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Newf("%s answered %d: %s", address, status, text)
	}
	return float64(time.Since(from).Microseconds()) / 1000, nil
}
