package proxy

import "myrtlewinch/internal/protocol"

// markDraining notes that a runner is shutting down, for candidates to leave it out. At
// most maxDrainingRunners runners are remembered.
func (m *Machine) markDraining(id string) {
	if _, known := m.drainingRunners[id]; known || len(m.drainingRunners) < maxDrainingRunners {
		m.drainingRunners[id] = m.nowMs
	}
}

// isDraining reports whether a runner is known to be shutting down.
func (m *Machine) isDraining(id string) bool {
	_, leaving := m.drainingRunners[id]
	return leaving
}

// runnerListRead takes the router's own reading of the list.
func (m *Machine) runnerListRead(in protocol.RunnerList) {
	m.listReadPending = false
	if in.Limited {
		m.nextListReadMs += 2 * primarySilentMs
	}
	if !in.Ok {
		return
	}
	for _, r := range in.Runners {
		if r.Leaving {
			m.markDraining(r.ID)
		}
	}
	if m.primarySilent() {
		m.listedRunners, m.listedAtMs = in.Runners, m.nowMs
	}
	m.dispatchQueue()
}

// updateFromIndex takes what the index tells of a runner's load.
func (m *Machine) updateFromIndex(h *protocol.IndexHolder) {
	known := m.runnerState(h.ID)
	if known.slots == 0 {
		known.slots = h.Slots
	}
	if h.AgeMs < 0 {
		return
	}
	known.reportLoad(m.nowMs-h.AgeMs, h.Active+h.Queued, h.Slots)
	known.reportCache(m.nowMs-h.AgeMs, h.CacheUsed, h.CacheTotal)
}

// responseStarted takes what a runner says of its load in the head of an answer.
func (m *Machine) responseStarted(in ResponseStarted) {
	if r := m.requests[in.ID]; r != nil && r.prefillPending && r.runnerID == in.Runner {
		m.prefillDone(r)
		// The first piece is there once the prompt has been read.
		if r.service.Engine != nil && !in.Head.NotRun {
			m.recordPrefill(modelKey{r.key.service, r.key.model}, r.Params.PromptTokens, m.nowMs-r.attemptStartMs)
		}
	}
	if in.Head.HasLoad {
		m.runnerState(in.Runner).reportLoad(m.nowMs, in.Head.Running+in.Head.Waiting, in.Head.Slots)
		m.runnerState(in.Runner).reportedQueued = in.Head.Waiting
	}
	m.dispatchQueue()
}

// runnerState returns the state of a runner, and creates it on first use.
func (m *Machine) runnerState(id string) *runnerState {
	r := m.runners[id]
	if r == nil {
		r = &runnerState{lastUsedMs: m.nowMs}
		m.runners[id] = r
	}
	return r
}
