package modelcheck

import (
	"fmt"
	"strings"

	"myrtlewinch/internal/protocol"
)

// describe writes an event into the log; messages of membership are left out.
func (c *cluster) describe(e *event) {
	if c.log == nil {
		return
	}
	switch e.kind {
	case actionEvent:
		c.logf("%s", e.description)
	case writeEvent:
		c.logf("%s: write %d complete %v", c.members[e.member].node.Name, e.write.Number, e.write.Write.Set)
	case messageEvent:
		switch e.envelope.Body.(type) {
		case protocol.Heartbeat, protocol.HeartbeatReports, protocol.PeersRequest:
			return
		}
		c.logf("%s -> %s: %s %+v", e.envelope.From.Name, c.members[e.member].node.Name, e.messageType(), e.envelope.Body)
	}
}

// messageType names the type of an event's message.
func (e *event) messageType() string {
	return strings.TrimPrefix(fmt.Sprintf("%T", e.envelope.Body), "protocol.")
}

// Trace replays a schedule and gives what happened in it, a line each.
func Trace(scope Scope, schedule Schedule) []string {
	x := &explorer{scope: scope.withDefaults(), visited: map[uint64]remaining{}}
	x.scope.States = 1 << 30
	x.disks = initialDisks(x.scope)
	c := x.newRun()
	var lines []string
	c.log = func(format string, args ...any) {
		lines = append(lines, fmt.Sprintf("%6d ms, event %d: ", c.nowMs-startMs, c.processed)+fmt.Sprintf(format, args...))
	}
	r := &run{explorer: x, cluster: c, schedule: schedule, windowEnd: -1}
	for !r.step() {
	}
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

// String sums a report up in one line.
func (r Report) String() string {
	extent := "complete within the bounds"
	switch {
	case len(r.Found) > 0:
		extent = "stopped at violations"
	case !r.Complete:
		extent = "INCOMPLETE: stopped at the bound of states"
	}
	return fmt.Sprintf("%d states, %d schedules, %d steps, %s", r.States, r.Runs, r.Steps, extent)
}
