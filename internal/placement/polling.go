package placement

import (
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// callTimeoutMs is how long after its start a call without a result counts as failed.
	callTimeoutMs = 3_000

	// The intervals between polls of a runner's state. The usual interval is basePollMs.
	// openOrderPollMs applies while an order is open, a poll failed, memory is reserved or the
	// held models are not confirmed. idlePollMs applies while nothing that the runner holds is
	// requested, and failedPollMs applies after several failures. While a runner loads a model,
	// it is polled no less often than every basePollMs. From about the time when the load should
	// end, it is polled every loadEndPollMs.
	basePollMs      = 400
	openOrderPollMs = 100
	loadEndPollMs   = 80
	idlePollMs      = 800
	failedPollMs    = 900

	// pollMsPerRunner is added to basePollMs for each runner, up to maxSlowedPollMs, so that
	// the polls of a large site don't overload the primary. minPollMsPerRunner limits them to
	// 500 per second at any size.
	pollMsPerRunner    = 3
	maxSlowedPollMs    = 900
	minPollMsPerRunner = 2
	// pollsPerScan limits the polls in one scan, with one more for each runnersPerExtraPoll
	// runners.
	pollsPerScan, runnersPerExtraPoll = 25, 200

	// stateDelayMs is the approximate age of a state when it arrives.
	stateDelayMs = 110
	// suspectAfterFailures is how many consecutive polls must fail before a runner is suspected to
	// be down. It is suspected too if its last reply is older than unresponsiveAfterMs plus
	// suspectMarginMs.
	suspectAfterFailures = 3
	suspectMarginMs      = 1_000
	// minUnresponsiveMs and unresponsiveMarginMs determine the time without a reply after which
	// a runner gets no loads: two poll intervals and the margin, but no less than
	// minUnresponsiveMs.
	minUnresponsiveMs    = 1_500
	unresponsiveMarginMs = 300
	// assumeLoadedMs is how long after its acceptance the load of an adapter counts as
	// finished.
	assumeLoadedMs = 40
	// recentRequestMs is how long after a request a model counts as in use.
	recentRequestMs = 2_000
)

// HandleRunnerState applies a runner's reply to a poll.
func (m *Manager) HandleRunnerState(nowMs int64, in protocol.RunnerStateResult) {
	r := m.runners[in.Runner]
	if r == nil || !m.active || in.Number == 0 || in.Number != r.PollNumber {
		return
	}
	r.PollNumber = 0
	if in.Ok {
		m.counters.States++
		r.FailedPolls = 0
		m.applyState(nowMs, r, in.State)
	} else {
		m.counters.StateFails++
		r.FailedPolls++
	}
	m.updateSuspect(nowMs, r)
}

// applyState applies a runner's state, which may end its open order.
func (m *Manager) applyState(nowMs int64, r *runnerstate.Runner, state protocol.RunnerState) {
	order, wasConfirmed := r.Order, r.Confirmed
	result := r.ApplyState(nowMs, r.PolledMs, state, m)
	if order != nil && r.Order == nil {
		m.storeLimiter.EndReservation(nowMs, order.Number, true)
		held := r.Held[order.Model]
		if order.LoadsModel() && result == runnerstate.OrderDone && held != nil {
			if !order.FromStore {
				held.Model.AddWarmLoad(nowMs - order.FirstSentMs)
			}
			held.Model.Demand.ClearWaiting()
		}
		m.replanNeeded = true
	}
	if !wasConfirmed && r.Confirmed {
		m.replanNeeded = true
	}
}

// updateSuspect updates whether a runner is suspected to be down.
func (m *Manager) updateSuspect(nowMs int64, r *runnerstate.Runner) {
	unresponsive := nowMs-r.LastReplyMs > m.unresponsiveAfterMs()+suspectMarginMs
	suspect := reportsState(r) && (r.FailedPolls >= suspectAfterFailures || unresponsive)
	if suspect != r.Suspect {
		r.Suspect = suspect
		m.runnerChanged(r)
	}
}

// reportsState reports whether a runner can be polled. The runners of services without an
// engine can't.
func reportsState(r *runnerstate.Runner) bool { return r.Service.Engine != nil }

// unresponsiveAfterMs returns the time without a reply after which a runner gets no loads.
func (m *Manager) unresponsiveAfterMs() int64 {
	return max(minUnresponsiveMs, 2*m.usualPollMs()+unresponsiveMarginMs)
}

// usualPollMs returns the usual interval between polls at the current number of runners.
func (m *Manager) usualPollMs() int64 {
	count := int64(len(m.sortedRunners))
	return max(minPollMsPerRunner*count, min(maxSlowedPollMs, basePollMs+pollMsPerRunner*count))
}

// acceptsLoads reports whether a runner is alive and available, so that loads may be sent to
// it.
func (m *Manager) acceptsLoads(nowMs int64, r *runnerstate.Runner) bool {
	return !r.Unavailable() && !r.Suspect && r.FailedPolls == 0 && nowMs-r.LastReplyMs <= m.unresponsiveAfterMs()
}

// scanRunners checks every runner's order and poll. On a large site the polls are spread over
// several scans, in turn.
func (m *Manager) scanRunners(nowMs, leaseUntilMs int64) {
	pollsLeft := pollsPerScan + len(m.sortedRunners)/runnersPerExtraPoll
	first := m.nextScanned
	for i := range m.sortedRunners {
		at := (first + i) % len(m.sortedRunners)
		r := m.sortedRunners[at]
		if !reportsState(r) {
			continue
		}
		m.advanceOrder(nowMs, leaseUntilMs, r)
		if m.poll(nowMs, r, pollsLeft > 0) {
			pollsLeft--
			if pollsLeft == 0 {
				m.nextScanned = at + 1
			}
		}
		m.updateSuspect(nowMs, r)
	}
}

// poll polls a runner if that is allowed and due, and reports whether it did. An open poll
// without a result after callTimeoutMs counts as failed.
func (m *Manager) poll(nowMs int64, r *runnerstate.Runner, allowed bool) bool {
	if r.PollNumber != 0 && nowMs-r.PolledMs > callTimeoutMs {
		r.PollNumber = 0
		r.FailedPolls++
	}
	if !allowed || r.PollNumber != 0 || nowMs-r.PolledMs < m.pollIntervalMs(nowMs, r) {
		return false
	}
	m.lastCallNumber++
	r.PollNumber, r.PolledMs = m.lastCallNumber, nowMs
	m.calls = append(m.calls, protocol.OutboundCall{
		Address: r.Entry.Address,
		Body:    protocol.GetRunnerState{Runner: r.Entry.ID, Number: r.PollNumber},
	})
	return true
}

// pollIntervalMs returns the current interval between polls of a runner.
func (m *Manager) pollIntervalMs(nowMs int64, r *runnerstate.Runner) int64 {
	usualMs := m.usualPollMs()
	running := r.State.Active + r.State.Queued
	switch {
	case r.FailedPolls >= suspectAfterFailures:
		return failedPollMs
	case r.FailedPolls > 0:
		return openOrderPollMs
	case r.Order != nil:
		return orderPollIntervalMs(nowMs, r, usualMs)
	case !r.Confirmed || r.HasReservation(nowMs):
		return openOrderPollMs
	case running == 0 && !recentlyRequested(nowMs, r):
		return max(idlePollMs, usualMs)
	}
	return usualMs
}

// orderPollIntervalMs returns the interval between polls of a runner that has an open order.
func orderPollIntervalMs(nowMs int64, r *runnerstate.Runner, usualMs int64) int64 {
	o := r.Order
	switch {
	case o.Phase != runnerstate.OrderAccepted:
		return openOrderPollMs
	case !o.LoadsModel():
		// An order that loads no model takes only a few ms. A state that is requested
		// less than stateDelayMs after the order was accepted does not show its result yet.
		return max(openOrderPollMs, o.PhaseSinceMs+stateDelayMs-r.PolledMs)
	case nowMs-o.PhaseSinceMs >= minLoadMs(r, o)+stateDelayMs:
		return loadEndPollMs
	}
	return min(usualMs, basePollMs)
}

// minLoadMs returns the least time that the load of a model is expected to take on a runner.
func minLoadMs(r *runnerstate.Runner, o *runnerstate.Order) int64 {
	model := r.Service.Model(o.Model)
	certain, onDisk := r.OnDisk[o.Model]
	warmMs := model.WarmLoadMs() * 3 / 4
	switch {
	case certain:
		return warmMs
	case onDisk:
		return min(warmMs, model.Spec.LoadMs/4)
	}
	return model.Spec.LoadMs * 9 / 10
}

// recentlyRequested reports whether any model that a runner holds was requested recently.
func recentlyRequested(nowMs int64, r *runnerstate.Runner) bool {
	for _, h := range r.Held {
		if h.Model.Demand.SinceRequestMs(nowMs) < recentRequestMs {
			return true
		}
	}
	return false
}
