package placement

import (
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// callTimeoutMs is how long after its start a call without a result
	// counts as failed.
	callTimeoutMs = 3_000

	// The intervals of polls for a runner's state: pollMs usually, openOrderPollMs
	// while an order is open or a poll failed, idlePollMs while nobody requests what
	// it holds, failedPollMs after several failures, and loadEndPollMs about when
	// the load of a model should end.
	pollMs          = 400
	openOrderPollMs = 100
	loadEndPollMs   = 80
	idlePollMs      = 800
	failedPollMs    = 900

	// pollMsPerRunner slows the usual interval for each runner, up to
	// maxSlowedPollMs, so that the polls of a large site don't take up the primary.
	// minPollMsPerRunner bounds them to 500 per second at any size.
	pollMsPerRunner    = 3
	maxSlowedPollMs    = 900
	minPollMsPerRunner = 2
	// pollsPerScan bounds the polls in one scan, with one more for each
	// runnersPerExtraPoll runners.
	pollsPerScan, runnersPerExtraPoll = 25, 200

	// stateDelayMs is about how old a state is when it arrives.
	stateDelayMs = 110
	// suspectAfterFailures is how many polls in a row must fail before a runner is
	// suspected to be down, and suspectSilenceMs how long beyond silenceLimitMs it
	// must be silent.
	suspectAfterFailures = 3
	suspectSilenceMs     = 1_000
	// minSilenceLimitMs and silenceMarginMs give the silence after which a runner
	// gets no loads: two polls and a margin.
	minSilenceLimitMs = 1_500
	silenceMarginMs   = 300
	// assumeLoadedMs is how long after its acceptance the load of an adapter counts
	// as done.
	assumeLoadedMs = 40
	// recentRequestMs is how long after a request a model counts as in use.
	recentRequestMs = 2_000
)

// HandleRunnerState takes a runner's answer to a poll.
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
	m.updateSuspicion(nowMs, r)
}

// applyState takes a runner's state and settles its open order by it.
func (m *Manager) applyState(nowMs int64, r *runnerstate.Runner, state protocol.RunnerState) {
	order, wasConfirmed := r.Order, r.Confirmed
	result := r.ApplyState(nowMs, r.PolledMs, state, m)
	if order != nil && r.Order == nil {
		m.store.Settle(nowMs, order.Number, true)
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

// updateSuspicion works out whether a runner may be down.
func (m *Manager) updateSuspicion(nowMs int64, r *runnerstate.Runner) {
	silent := nowMs-r.LastReplyMs > m.silenceLimitMs()+suspectSilenceMs
	suspect := polled(r) && (r.FailedPolls >= suspectAfterFailures || silent)
	if suspect != r.Suspect {
		r.Suspect = suspect
		m.runnerChanged(r)
	}
}

// polled says whether a runner is one that shows its state: those of services
// without an engine don't.
func polled(r *runnerstate.Runner) bool { return r.Service.Engine != nil }

// silenceLimitMs is the silence after which a runner gets no loads.
func (m *Manager) silenceLimitMs() int64 {
	return max(minSilenceLimitMs, 2*m.usualPollMs()+silenceMarginMs)
}

// usualPollMs is the usual interval of polls at the present number of runners.
func (m *Manager) usualPollMs() int64 {
	count := int64(len(m.sortedRunners))
	return max(minPollMsPerRunner*count, min(maxSlowedPollMs, pollMs+pollMsPerRunner*count))
}

// acceptsLoads says whether loads may go to a runner.
func (m *Manager) acceptsLoads(nowMs int64, r *runnerstate.Runner) bool {
	return !r.Unavailable() && !r.Suspect && r.FailedPolls == 0 && nowMs-r.LastReplyMs <= m.silenceLimitMs()
}

// scanRunners looks at every runner. Polls of a large site are spread over the
// scans, by turns.
func (m *Manager) scanRunners(nowMs, leaseUntilMs int64) {
	pollsLeft := pollsPerScan + len(m.sortedRunners)/runnersPerExtraPoll
	first := m.nextScanned
	for i := range m.sortedRunners {
		at := (first + i) % len(m.sortedRunners)
		r := m.sortedRunners[at]
		if !polled(r) {
			continue
		}
		m.followOrder(nowMs, leaseUntilMs, r)
		if m.poll(nowMs, r, pollsLeft > 0) {
			pollsLeft--
			if pollsLeft == 0 {
				m.nextScanned = at + 1
			}
		}
		m.updateSuspicion(nowMs, r)
	}
}

// poll polls a runner if that is allowed and due, and says whether it did. A
// poll of which nothing was heard has failed.
func (m *Manager) poll(nowMs int64, r *runnerstate.Runner, allowed bool) bool {
	if r.PollNumber != 0 && nowMs-r.PolledMs > callTimeoutMs {
		r.PollNumber = 0
		r.FailedPolls++
	}
	if !allowed || r.PollNumber != 0 || nowMs-r.PolledMs < m.pollIntervalMs(nowMs, r) {
		return false
	}
	m.lastNumber++
	r.PollNumber, r.PolledMs = m.lastNumber, nowMs
	m.calls = append(m.calls, protocol.OutboundCall{
		Address: r.Entry.Address,
		Body:    protocol.GetRunnerState{Runner: r.Entry.ID, Number: r.PollNumber},
	})
	return true
}

// pollIntervalMs is how often to poll a runner now.
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

// orderPollIntervalMs is how often to poll a runner that has an open order.
func orderPollIntervalMs(nowMs int64, r *runnerstate.Runner, usualMs int64) int64 {
	o := r.Order
	switch {
	case o.Phase != runnerstate.OrderAccepted:
		return openOrderPollMs
	case !o.LoadsModel():
		// It takes some ms only, but a state that is requested before this shows none
		// of it yet.
		return max(openOrderPollMs, o.PhaseSinceMs+stateDelayMs-r.PolledMs)
	case nowMs-o.PhaseSinceMs >= minLoadMs(r, o)+stateDelayMs:
		return loadEndPollMs
	}
	return min(usualMs, pollMs)
}

// minLoadMs is the least time that a model's load should take at a runner.
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

// recentlyRequested says whether what a runner holds was requested lately.
func recentlyRequested(nowMs int64, r *runnerstate.Runner) bool {
	for _, h := range r.Held {
		if h.Model.Demand.SinceRequestMs(nowMs) < recentRequestMs {
			return true
		}
	}
	return false
}
