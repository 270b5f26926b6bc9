package proxy

import "myrtlewinch/internal/protocol"

// runnerState returns the state of a runner, and creates it on first use.
func (m *Machine) runnerState(id string) *runnerState {
	r := m.runners[id]
	if r == nil {
		r = &runnerState{lastUsedMs: m.nowMs}
		m.runners[id] = r
	}
	return r
}

// updateFromIndex applies the load of a runner that an index entry reports.
func (m *Machine) updateFromIndex(holder *protocol.IndexHolder) {
	runner := m.runnerState(holder.ID)
	if runner.slots == 0 {
		runner.slots = holder.Slots
	}
	if holder.PrefillMs > 0 {
		runner.applySitePrefill(m.nowMs, holder.PrefillMs)
	}
	if holder.AgeMs < 0 {
		// The control plane has no report of this runner yet.
		return
	}
	reportedMs := m.nowMs - holder.AgeMs
	runner.applyLoadReport(reportedMs, holder.Active+holder.Queued, holder.Slots)
	runner.applyCacheReport(reportedMs, holder.CacheUsed, holder.CacheTotal)
}

// responseStarted applies the load that a response head reports, and records the time
// until the head as a measurement of the prefill.
func (m *Machine) responseStarted(in ResponseStarted) {
	if r := m.requests[in.ID]; r != nil && r.prefillPending && r.runnerID == in.Runner {
		m.endPrefill(r)
		if r.service.Engine != nil && !in.Head.NotRun && r.prefillAlone {
			m.recordPrefill(modelKey{r.key.service, r.key.model}, r.Params.PromptTokens, m.nowMs-r.attemptStartMs)
		}
	}
	if in.Head.HasLoad {
		runner := m.runnerState(in.Runner)
		runner.applyLoadReport(m.nowMs, in.Head.Running+in.Head.Waiting, in.Head.Slots)
		runner.reportedQueued = in.Head.Waiting
	}
	m.dispatchQueue()
}
