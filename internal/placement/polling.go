package placement

import "myrtlewinch/internal/protocol"

const (
	// callTimeoutMs is when a call that brought nothing at all is given up.
	callTimeoutMs = 3_000
	// How often runners are asked for their state: usually, while something
	// is open, while nothing is asked of them, and when they may be dead.
	pollMs, openOrderPollMs, idlePollMs, failedPollMs = 400, 100, 800, 900
	// pollMsPerRunner slows the usual pace for each runner there is, so that the
	// questions of a large fleet don't take up the primary, and minPollMsPerRunner
	// bounds them to 500 a second however large it is.
	pollMsPerRunner, minPollMsPerRunner = 3, 2
	// stateDelayMs is how old a state is about when it is told.
	stateDelayMs = 110
	// pollsPerScan bounds the questions to runners in one tick, with one more for
	// each so many runners.
	pollsPerScan, runnersPerExtraPoll = 25, 200
	// suspectAfterFailures is how many questions in a row must fail.
	suspectAfterFailures = 3
	// assumeLoadedMs is how long after it was taken an adapter's load counts as done.
	assumeLoadedMs = 40
)

// HandleRunnerState takes a runner's answer to a question.
func (k *Manager) HandleRunnerState(nowMs int64, in protocol.RunnerStateResult) {
	r := k.runners[in.Runner]
	if r == nil || !k.active || in.Number == 0 || in.Number != r.PollNumber {
		return
	}
	r.PollNumber = 0
	if !in.Ok {
		k.counters.StateFails++
		r.FailedPolls++
		k.updateSuspicion(nowMs, r)
		return
	}
	k.counters.States++
	r.FailedPolls = 0
	o := r.Order
	before := r.Confirmed
	settled := r.ApplyState(nowMs, r.PolledMs, in.State, k)
	if o != nil && r.Order == nil {
		k.store.Settle(nowMs, o.Number, true)
		if o.Load && o.Adapter == "" && settled == OrderDone && r.Held[o.Model] != nil {
			k.learnWarmLoadTime(nowMs, r, o)
			r.Held[o.Model].Model.Demand.ClearWaiting()
		}
		k.replanNeeded = true
	}
	if !before && r.Confirmed {
		k.replanNeeded = true
	}
	k.updateSuspicion(nowMs, r)
}

// learnWarmLoadTime takes the time of a load from a runner's own disk.
func (k *Manager) learnWarmLoadTime(nowMs int64, r *Runner, o *Order) {
	m := r.Service.Model(o.Model)
	tookMs := nowMs - o.FirstSentMs
	if o.FromStore || tookMs <= 0 || tookMs > 2*m.Spec.LoadMs {
		return
	}
	if m.warmLoadMs == 0 {
		m.warmLoadMs = tookMs
	} else {
		m.warmLoadMs += (tookMs - m.warmLoadMs) / 4
	}
}

// updateSuspicion works out whether a runner may be offered as a holder.
func (k *Manager) updateSuspicion(nowMs int64, r *Runner) {
	suspect := k.pollsState(r) && (r.FailedPolls >= suspectAfterFailures || nowMs-r.LastReplyMs > k.silenceLimitMs(r)+1_000)
	if suspect != r.Suspect {
		r.Suspect = suspect
		k.runnerChanged(r)
	}
}

// pollsState says whether the runner is one that tells its state.
func (k *Manager) pollsState(r *Runner) bool { return r.Service.Engine != nil }

// silenceLimitMs is after which silence no load goes to a runner.
func (k *Manager) silenceLimitMs(r *Runner) int64 { return max(1_500, 2*k.usualPollMs()+300) }

func (k *Manager) usualPollMs() int64 {
	count := int64(len(k.sortedRunners))
	return max(minPollMsPerRunner*count, min(900, pollMs+pollMsPerRunner*count))
}

// acceptsLoads says whether loads may go to a runner.
func (k *Manager) acceptsLoads(nowMs int64, r *Runner) bool {
	return !r.Unavailable() && !r.Suspect && r.FailedPolls == 0 && nowMs-r.LastReplyMs <= k.silenceLimitMs(r)
}

// pollRunners looks at every runner. Questions to a large fleet are spread over the
// ticks, in turn.
func (k *Manager) pollRunners(nowMs, holdUntilMs int64) {
	asks := pollsPerScan + len(k.sortedRunners)/runnersPerExtraPoll
	for i := range k.sortedRunners {
		at := (k.nextScanned + i) % len(k.sortedRunners)
		if asks -= k.tickRunner(nowMs, holdUntilMs, k.sortedRunners[at], asks > 0); asks == 0 {
			k.nextScanned, asks = at+1, -1
		}
	}
}

// tickRunner says how many questions it asked.
func (k *Manager) tickRunner(nowMs, holdUntilMs int64, r *Runner, mayAsk bool) (asks int) {
	if !k.pollsState(r) {
		return 0
	}
	if o := r.Order; o != nil {
		switch {
		case o.Phase == OrderSent && nowMs > o.DeadlineMs+callTimeoutMs:
			// The call brought no word at all.
			o.Phase, o.PhaseSinceMs = OrderUnknown, nowMs
		case o.Phase == OrderAccepted && o.Load && o.Adapter != "" && !o.Assumed && nowMs-o.PhaseSinceMs >= assumeLoadedMs:
			r.AssumeLoaded(nowMs, k)
		case o.RetryNeeded && o.Phase == OrderUnknown && nowMs-o.LastSentMs >= retryMs && k.mayOrder(nowMs, holdUntilMs) && !r.Unavailable():
			// A repeat may begin the load only now.
			if !o.FromStore || k.store.reserved[o.Number] || k.store.Available(nowMs) > 0 {
				if o.FromStore {
					k.store.Reserve(o.Number)
				}
				o.RetryNeeded, o.LastSentMs, o.Phase = false, nowMs, OrderSent
				o.Retries++
				k.callRunner(nowMs, holdUntilMs, r)
			}
		}
	}
	if r.PollNumber != 0 && nowMs-r.PolledMs > callTimeoutMs {
		r.PollNumber = 0
		r.FailedPolls++
	}
	if mayAsk && r.PollNumber == 0 && nowMs-r.PolledMs >= k.pollIntervalMs(nowMs, r) {
		asks = 1
		k.lastNumber++
		r.PollNumber, r.PolledMs = k.lastNumber, nowMs
		k.calls = append(k.calls, protocol.OutboundCall{Address: r.Entry.Address, Body: protocol.GetRunnerState{Runner: r.Entry.ID, Number: k.lastNumber}})
	}
	k.updateSuspicion(nowMs, r)
	return asks
}

// pollIntervalMs is how often to ask a runner for its state.
func (k *Manager) pollIntervalMs(nowMs int64, r *Runner) int64 {
	usual := k.usualPollMs()
	if r.FailedPolls >= suspectAfterFailures {
		return failedPollMs
	}
	if r.FailedPolls > 0 {
		return openOrderPollMs
	}
	o := r.Order
	switch {
	case o == nil && !r.Confirmed:
		return openOrderPollMs
	case o == nil && r.ReservedFor.Model != "" && nowMs < r.ReservedUntilMs:
		return openOrderPollMs
	case o != nil && o.Phase == OrderAccepted && (!o.Load || o.Adapter != ""):
		// It takes some ms only, but a state asked for before this shows none of
		// it yet.
		return max(openOrderPollMs, o.PhaseSinceMs+stateDelayMs-r.PolledMs)
	case o != nil && (o.Phase == OrderUnknown || !o.Load || o.Adapter != ""):
		return openOrderPollMs
	case o != nil && o.Phase == OrderAccepted:
		// A load is looked at closely only about when it should end.
		if nowMs-o.PhaseSinceMs >= k.minLoadMs(r, o)+stateDelayMs {
			return openOrderPollMs * 4 / 5
		}
		return min(usual, pollMs)
	case o != nil:
		return openOrderPollMs
	case r.State.Active+r.State.Queued == 0 && !k.recentlyRequested(nowMs, r):
		return max(idlePollMs, usual)
	}
	return usual
}

// minLoadMs is the least time that a model's load should take.
func (k *Manager) minLoadMs(r *Runner, o *Order) int64 {
	m := r.Service.Model(o.Model)
	if warm, known := r.OnDisk[o.Model]; known {
		if warm {
			return m.WarmLoadMs() * 3 / 4
		}
		return min(m.WarmLoadMs()*3/4, m.Spec.LoadMs/4)
	}
	return m.Spec.LoadMs * 9 / 10
}

// recentlyRequested says whether what the runner holds was asked for lately.
func (k *Manager) recentlyRequested(nowMs int64, r *Runner) bool {
	for _, h := range r.Held {
		if h.Model.Demand.SinceRequestMs(nowMs) < 2_000 {
			return true
		}
	}
	return false
}
