package proxy

import "myrtlewinch/internal/protocol"

// leaves notes that a runner is shutting down, for candidates to leave it out. At
// most leavingMost runners are remembered.
func (m *Machine) leaves(id string) {
	if _, known := m.leavers[id]; known || len(m.leavers) < leavingMost {
		m.leavers[id] = m.nowMs
	}
}

// isLeaving reports whether a runner is known to be shutting down.
func (m *Machine) isLeaving(id string) bool {
	_, leaving := m.leavers[id]
	return leaving
}

// fleet takes the router's own reading of the list.
func (m *Machine) fleet(in protocol.RunnerList) {
	m.reading = false
	if in.Limited {
		m.readMs += 2 * silentMs
	}
	if !in.Ok {
		return
	}
	for _, r := range in.Runners {
		if r.Leaving {
			m.leaves(r.ID)
		}
	}
	if m.silent() {
		m.listed, m.atMs = in.Runners, m.nowMs
	}
	m.wake()
}

// hold takes what the index tells of a runner's load.
func (m *Machine) hold(h *protocol.IndexHolder) {
	known := m.runner(h.ID)
	if known.slots == 0 {
		known.slots = h.Slots
	}
	if h.AgeMs < 0 {
		return
	}
	known.tell(m.nowMs-h.AgeMs, h.Active+h.Queued, h.Slots)
	known.tellCache(m.nowMs-h.AgeMs, h.CacheUsed, h.CacheTotal)
}

// told takes what a runner says of its load in the head of an answer.
func (m *Machine) told(in ResponseStarted) {
	if r := m.requests[in.ID]; r != nil && r.reads && r.runner == in.Runner {
		m.read(r)
		// The first piece is there once the prompt has been read.
		if r.service.Engine != nil && !in.Head.NotRun {
			m.priced(modelOf{r.key.service, r.key.model}, r.Params.PromptTokens, m.nowMs-r.goneMs)
		}
	}
	if in.Head.HasLoad {
		m.runner(in.Runner).tell(m.nowMs, in.Head.Running+in.Head.Waiting, in.Head.Slots)
		m.runner(in.Runner).waiting = in.Head.Waiting
	}
	m.wake()
}

// runner returns the state of a runner, and creates it on first use.
func (m *Machine) runner(id string) *runner {
	r := m.runners[id]
	if r == nil {
		r = &runner{usedMs: m.nowMs}
		m.runners[id] = r
	}
	return r
}
