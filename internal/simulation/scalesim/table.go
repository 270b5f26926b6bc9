package scalesim

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Table prints results, one line a role, and with kinds the messages of each.
func Table(to io.Writer, results []Result, kinds bool) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "routers\trunners\tmodels\treq/s\trole\tcontrol us/s\twire us/s\tserving us/s\tsent/s\tgot/s\tout B/s\tin B/s\tstates/s\torders/s\tlines\theap KB\t")
	for _, r := range results {
		for _, line := range []struct {
			name string
			Role
		}{{"router", r.Router}, {"primary", r.Primary}, {"follower", r.Follower}} {
			fmt.Fprintf(w, "%d\t%d\t%d+%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t\n",
				r.Size.Routers, r.Size.Runners, r.Size.Models, r.Size.Adapters, r.Size.PerSec, line.name, line.ControlUs, line.WireUs, line.ServingUs,
				line.Sent, line.Got, line.OutBytes, line.InBytes, line.States, line.Orders, line.Lines, line.HeapKb)
		}
	}
	_ = w.Flush()
	for _, r := range results {
		fmt.Fprintf(to, "%d routers, %d runners, %d requests/s: %d requests, %d look-ups, %d misses, %d dropped, %d loads; longest step of the primary %.1f ms; map %.0f KB, in use everywhere after %d ms; states %d ms old, the oldest %d ms; %d runners offered\n",
			r.Size.Routers, r.Size.Runners, r.Size.PerSec, r.Requests, r.LookUps, r.Misses, r.Dropped, r.Loads, r.StepMsMax, r.MapKb, r.MapLagMs, r.StateAgeMs, r.OldestMs, r.Offered)
		if !kinds {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
			k := r.Kinds[name]
			fmt.Fprintf(to, "  %-20s %9d messages %12d bytes, %.0f each\n", name, k.Messages, k.Bytes, float64(k.Bytes)/float64(k.Messages))
		}
	}
}
