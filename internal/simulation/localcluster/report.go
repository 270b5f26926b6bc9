package localcluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/simulation/testbackend"
)

// Report says what a run showed: answers by kind, look-ups, and rules broken.
func (c *Cluster) Report(out io.Writer, client *testbackend.Client) (broken int, err error) {
	fmt.Fprintln(out, "answers by service and kind:")
	for _, line := range client.OutcomeLines() {
		fmt.Fprintln(out, "  "+line)
	}
	var sum router.Counters
	for _, daemon := range c.Routers {
		var s router.Status
		if err := readStatus(daemon, &s); err != nil {
			return 0, err
		}
		sum.Requests += s.Counters.Requests
		sum.LookUps += s.Counters.LookUps
		sum.Hits += s.Counters.Hits
		sum.Misses += s.Counters.Misses
		sum.MissesDelayed += s.Counters.MissesDelayed
		sum.Attempts += s.Counters.Attempts
		sum.Retries += s.Counters.Retries
	}
	var answered uint64
	for _, daemon := range c.Controllers {
		var s consensus.Status
		if err := readStatus(daemon, &s); err != nil {
			return 0, err
		}
		answered += s.LookUps
	}
	fmt.Fprintf(out, "requests %d, look-ups sent %d, look-ups at the index %d", sum.Requests, sum.LookUps, answered)
	if sum.Requests > 0 {
		fmt.Fprintf(out, " (%.3f a request)", float64(answered)/float64(sum.Requests))
	}
	fmt.Fprintf(out, "\nhits %d, misses %d, held beyond the miss wait %d\n", sum.Hits, sum.Misses, sum.MissesDelayed)
	fmt.Fprintf(out, "goes %d, second goes %d, orders %d, runs %d\n", sum.Attempts, sum.Retries, c.Checker.OrderCount(), c.Checker.Executions)
	breaches := c.Checker.Violations()
	fmt.Fprintf(out, "rules broken: %d\n", len(breaches))
	for _, breach := range breaches {
		fmt.Fprintln(out, "  "+breach.String())
	}
	return len(breaches), nil
}

func readStatus(daemon *Daemon, into any) error {
	_, text, err := Call(http.MethodGet, daemon.Settings.HTTP, "/status", "", nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}
