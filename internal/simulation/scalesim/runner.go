package scalesim

import (
	"maps"
	"slices"

	"myrtlewinch/internal/protocol"
)

// runner stands in for one runner: it holds what it is told to hold.
type runner struct {
	entry  protocol.RunnerEntry
	held   map[string]map[string]bool
	disk   map[string]bool
	calls  int64
	busy   bool
	active int
	// toldMs is when it last told its state.
	toldMs int64
}

func (r *runner) models() []protocol.HeldModel {
	out := make([]protocol.HeldModel, 0, len(r.held))
	for _, name := range slices.Sorted(maps.Keys(r.held)) {
		out = append(out, protocol.HeldModel{Name: name, Version: 1, Adapters: slices.Sorted(maps.Keys(r.held[name]))})
	}
	return out
}

func (r *runner) state() protocol.RunnerState {
	return protocol.RunnerState{
		Models: r.models(), Busy: r.busy, Calls: r.calls, Active: r.active, CacheUsed: int64(r.active) * requestTokens, CacheTotal: cacheTokens,
	}
}

// command is the runner's side of an order.
func (r *runner) command(s *Site, c protocol.RunnerOrder) protocol.OrderOutcome {
	if r.busy || c.Expected != r.calls {
		return protocol.OutcomeBusy
	}
	of, there := r.held[c.Model]
	if c.Adapter != "" {
		if !there {
			return protocol.OutcomeRejected
		}
		there = of[c.Adapter]
	}
	if c.Load == there {
		return protocol.OutcomeAlreadyInEffect
	}
	r.calls++
	r.busy = true
	tookMs := int64(10)
	switch {
	case c.Load && c.Adapter == "" && r.disk[c.Model]:
		tookMs = loadMs / 4
	case c.Load && c.Adapter == "":
		tookMs = loadMs
		s.loads++
	}
	s.events.After(tookMs, func() {
		r.busy = false
		switch {
		case c.Load && c.Adapter == "":
			r.held[c.Model], r.disk[c.Model] = map[string]bool{}, true
		case c.Load:
			if of := r.held[c.Model]; of != nil {
				of[c.Adapter] = true
			}
		case c.Adapter == "":
			delete(r.held, c.Model)
		default:
			delete(r.held[c.Model], c.Adapter)
		}
	})
	return protocol.OutcomeAccepted
}
