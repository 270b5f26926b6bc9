package modelcheck

import (
	"fmt"
	"math"
	"strings"

	"myrtlewinch/internal/protocol"
)

// logEvent adds an event to the trace, if one is wanted. Ticks and messages of
// membership and failure detection are left out.
func (c *cluster) logEvent(e *event) {
	if c.log == nil {
		return
	}
	name := c.members[e.member].node.Name
	switch body := e.body.(type) {
	case *action:
		c.logf("%s", body.description)
	case *writeCompletion:
		c.logf("%s: write %d completed: %v", name, body.write.Number, body.write.Write.Set)
	case *message:
		if !isMembershipMessage(body.envelope.Body) {
			c.logf("%s -> %s: %s %+v", body.envelope.From.Name, name, e.messageType(), body.envelope.Body)
		}
	}
}

func isMembershipMessage(body protocol.Message) bool {
	switch body.(type) {
	case protocol.Heartbeat, protocol.HeartbeatReports, protocol.PeersRequest:
		return true
	}
	return false
}

// Trace replays a schedule and returns the lines of its trace.
func Trace(scope Scope, schedule Schedule) []string {
	x := newExplorer(scope)
	x.scope.States = math.MaxInt
	r := x.newRun(schedule)
	c := r.cluster
	var lines []string
	c.log = func(format string, args ...any) {
		prefix := fmt.Sprintf("%6d ms, event %d: ", c.nowMs-startMs, c.processed)
		lines = append(lines, prefix+fmt.Sprintf(format, args...))
	}
	r.runToEnd()
	if c.checks.violation != nil {
		lines = append(lines, c.checks.violation.String())
	}
	return lines
}

// String lists the deviations of a schedule.
func (s Schedule) String() string {
	if len(s) == 0 {
		return "the default schedule"
	}
	var parts []string
	for _, deviation := range s {
		parts = append(parts, fmt.Sprintf("at event %d %s", deviation.Event, deviation.Fault))
	}
	return strings.Join(parts, "; ")
}

// String summarizes a report in one line.
func (r Report) String() string {
	extent := "complete within the bounds"
	switch {
	case len(r.Found) > 0:
		extent = "stopped at violations"
	case !r.Complete:
		extent = "INCOMPLETE: stopped at the limit of states"
	}
	return fmt.Sprintf("%d states, %d schedules, %d steps, %s", r.States, r.Runs, r.Steps, extent)
}
