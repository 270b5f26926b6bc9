package scalesim

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable prints results: one row per role, a summary, and the counts of each
// message type if messages is true.
func WriteTable(to io.Writer, results []Result, messages bool) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(w, costRows(results)); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(to, summaries(results, messages))
	return err
}

// costRows returns the heading and one row per role, with cells terminated by tabs.
func costRows(results []Result) string {
	var rows strings.Builder
	rows.WriteString("routers\trunners\tmodels\treq/s\trole\tcontrol us/s\twire us/s\tserving us/s\tsent/s\tgot/s\tout B/s\tin B/s\tstates/s\torders/s\tlines\theap KB\t\n")
	for _, r := range results {
		for _, role := range []struct {
			name string
			RoleCost
		}{{"router", r.Router}, {"primary", r.Primary}, {"follower", r.Follower}} {
			fmt.Fprintf(&rows, "%d\t%d\t%d+%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t\n",
				r.Size.Routers, r.Size.Runners, r.Size.Models, r.Size.Adapters, r.Size.RequestsPerSec, role.name, role.ControlUs, role.WireUs, role.ServingUs,
				role.Sent, role.Received, role.SentBytes, role.ReceivedBytes, role.Polls, role.Orders, role.Peers, role.HeapKb)
		}
	}
	return rows.String()
}

// summaries returns one line per result, each followed by one line per message type if
// messages is true.
func summaries(results []Result, messages bool) string {
	var lines strings.Builder
	for _, r := range results {
		fmt.Fprintf(&lines, "%d routers, %d runners, %d requests/s: %d requests, %d look-ups, %d misses, %d rejected, %d loads; longest step of the primary %.1f ms; configuration %.0f KB, in use by all routers after %d ms; states %d ms old, the oldest %d ms; %d runners listed\n",
			r.Size.Routers, r.Size.Runners, r.Size.RequestsPerSec, r.Requests, r.LookUps, r.Misses, r.Rejected, r.StoreLoads, r.LongestStepMs, r.ConfigKb, r.ConfigLagMs, r.StateAgeMs, r.OldestMs, r.ListedRunners)
		if !messages {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(r.Messages)) {
			k := r.Messages[name]
			fmt.Fprintf(&lines, "  %-20s %9d messages %12d bytes, %.0f each\n", name, k.Messages, k.Bytes, float64(k.Bytes)/float64(k.Messages))
		}
	}
	return lines.String()
}
