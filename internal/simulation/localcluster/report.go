package localcluster

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/simulation/testbackend"
)

// Report prints what a run showed: answers by kind, look-ups, and violations of
// the rules, whose number it gives.
func (c *Cluster) Report(out io.Writer, client *testbackend.Client) (violations int, err error) {
	var text strings.Builder
	fmt.Fprintln(&text, "answers by service and kind:")
	for _, line := range client.OutcomeLines() {
		fmt.Fprintln(&text, "  "+line)
	}
	sum, err := c.routerCounters()
	if err != nil {
		return 0, err
	}
	lookUps, err := c.answeredLookUps()
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(&text, "requests %d, look-ups sent %d, look-ups at the index %d", sum.Requests, sum.LookUps, lookUps)
	if sum.Requests > 0 {
		fmt.Fprintf(&text, " (%.3f a request)", float64(lookUps)/float64(sum.Requests))
	}
	fmt.Fprintf(&text, "\nhits %d, misses %d, held beyond the miss wait %d\n", sum.Hits, sum.Misses, sum.MissesDelayed)
	fmt.Fprintf(&text, "goes %d, second goes %d, orders %d, runs %d\n", sum.Attempts, sum.Retries, c.Checker.OrderCount(), c.Checker.Executions)
	found := c.Checker.Violations()
	fmt.Fprintf(&text, "rules broken: %d\n", len(found))
	for _, violation := range found {
		fmt.Fprintln(&text, "  "+violation.String())
	}
	_, err = io.WriteString(out, text.String())
	return len(found), err
}

// routerCounters sums up the counters of all routers.
func (c *Cluster) routerCounters() (router.Counters, error) {
	var sum router.Counters
	for _, daemon := range c.Routers {
		var status router.Status
		if err := readStatus(daemon, &status); err != nil {
			return sum, errors.Wrapf(err, "status of %s", daemon.Settings.Name)
		}
		sum.Requests += status.Counters.Requests
		sum.LookUps += status.Counters.LookUps
		sum.Hits += status.Counters.Hits
		sum.Misses += status.Counters.Misses
		sum.MissesDelayed += status.Counters.MissesDelayed
		sum.Attempts += status.Counters.Attempts
		sum.Retries += status.Counters.Retries
	}
	return sum, nil
}

// answeredLookUps counts the look-ups that the controllers' index answered.
func (c *Cluster) answeredLookUps() (uint64, error) {
	var answered uint64
	for _, daemon := range c.Controllers {
		var status controller.Status
		if err := readStatus(daemon, &status); err != nil {
			return 0, errors.Wrapf(err, "status of %s", daemon.Settings.Name)
		}
		answered += status.LookUps
	}
	return answered, nil
}
