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

// Report prints the results of a run: outcomes of requests, look-ups, and violations
// of the rules. It returns the number of violations.
func (c *Cluster) Report(out io.Writer, client *testbackend.Client) (violations int, err error) {
	var text strings.Builder
	fmt.Fprintln(&text, "responses by service and outcome:")
	for _, line := range client.OutcomeLines() {
		fmt.Fprintln(&text, "  "+line)
	}
	sum, err := c.routerCounters()
	if err != nil {
		return 0, err
	}
	lookUps, err := c.handledLookUps()
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(&text, "requests %d, look-ups sent %d, look-ups handled by the index %d", sum.Requests, sum.LookUps, lookUps)
	if sum.Requests > 0 {
		fmt.Fprintf(&text, " (%.3f per request)", float64(lookUps)/float64(sum.Requests))
	}
	fmt.Fprintf(&text, "\nhits %d, misses %d, delayed misses %d\n", sum.Hits, sum.Misses, sum.MissesDelayed)
	fmt.Fprintf(&text, "attempts %d, retries %d, orders %d, executions %d\n", sum.Attempts, sum.Retries, c.Checker.OrderCount(), c.Checker.Executions)
	found := c.Checker.Violations()
	fmt.Fprintf(&text, "violations: %d\n", len(found))
	for _, violation := range found {
		fmt.Fprintln(&text, "  "+violation.String())
	}
	_, err = io.WriteString(out, text.String())
	return len(found), err
}

// routerCounters returns the sums of the counters of all routers.
func (c *Cluster) routerCounters() (router.Counters, error) {
	var sum router.Counters
	for _, daemon := range c.Routers {
		var status router.Status
		if err := readStatus(daemon, &status); err != nil {
			return sum, errors.Wrapf(err, "reading the status of %s", daemon.Settings.Name)
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

// handledLookUps returns how many look-ups the controllers' index replied to.
func (c *Cluster) handledLookUps() (uint64, error) {
	var handled uint64
	for _, daemon := range c.Controllers {
		var status controller.Status
		if err := readStatus(daemon, &status); err != nil {
			return 0, errors.Wrapf(err, "reading the status of %s", daemon.Settings.Name)
		}
		handled += status.LookUps
	}
	return handled, nil
}
