package placement

import (
	"slices"

	"myrtlewinch/internal/placement/index"
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// minListIntervalMs is the shortest time between two reads of the runner list.
	// maxListIntervalMs is the longest while the platform rejects calls as too frequent.
	minListIntervalMs = 450
	maxListIntervalMs = 2_000
	// listIntervalNumeratorMs divided by the permitted calls per second is the interval between
	// reads. The reads thus use two thirds of the calls that are permitted to all daemons.
	listIntervalNumeratorMs = 1_500
	// goneReportedMs is how long removed runners are reported as leaving.
	goneReportedMs = 60_000
	// goneAfterMissedLists is the number of consecutive lists without a runner after which the
	// runner is removed. After the first of these lists no more requests are sent to it.
	goneAfterMissedLists = 2
	// maxPriorDisks is the largest number of removed runners whose models on disk are remembered.
	maxPriorDisks = 1_000
)

// listReader schedules the reads of the platform's runner list.
type listReader struct {
	address string
	// intervalMs is the interval between reads while the platform does not limit calls.
	intervalMs int64
	// currentIntervalMs is the current interval between reads. It grows while the platform
	// limits calls, up to maxListIntervalMs.
	currentIntervalMs int64
	// callOpen is true while a call is in flight. calledMs is when the last call began, and
	// nextMs is when the next call is due. readMs is when the list was last read. It is 0 if the
	// list was never read.
	callOpen                 bool
	calledMs, nextMs, readMs int64
}

func newListReader(address string, callsPerSec float64) listReader {
	l := listReader{address: address, intervalMs: minListIntervalMs}
	if callsPerSec > 0 {
		l.intervalMs = max(minListIntervalMs, int64(listIntervalNumeratorMs/callsPerSec))
	}
	l.currentIntervalMs = l.intervalMs
	return l
}

// reset makes a read due now and discards the time of the last read.
func (l *listReader) reset(nowMs int64) {
	l.callOpen, l.nextMs, l.currentIntervalMs, l.readMs = false, nowMs, l.intervalMs, 0
}

// stop discards an open call.
func (l *listReader) stop() { l.callOpen = false }

// recordFailure records that a call returned no list. limited is true if the platform rejected
// the call as too frequent.
func (l *listReader) recordFailure(nowMs int64, limited bool) {
	l.callOpen = false
	if limited {
		l.currentIntervalMs = min(2*l.currentIntervalMs, max(maxListIntervalMs, l.intervalMs))
	}
	l.nextMs = nowMs + l.currentIntervalMs
}

// recordSuccess records that a call returned the list.
func (l *listReader) recordSuccess(nowMs int64) {
	l.callOpen = false
	l.currentIntervalMs = max(l.intervalMs, l.currentIntervalMs*3/4)
	l.nextMs = l.calledMs + l.currentIntervalMs
	l.readMs = nowMs
}

// startCallIfDue reports whether the list must be read now, and if so records that a call
// began.
func (l *listReader) startCallIfDue(nowMs int64) bool {
	if l.callOpen && nowMs-l.calledMs > callTimeoutMs {
		l.callOpen = false
	}
	if l.callOpen || nowMs < l.nextMs || l.address == "" {
		return false
	}
	l.callOpen, l.calledMs = true, nowMs
	return true
}

// readListIfDue reads the list if a read is due.
func (m *Manager) readListIfDue(nowMs int64) {
	if m.runnerList.startCallIfDue(nowMs) {
		m.calls = append(m.calls, protocol.OutboundCall{Address: m.runnerList.address, Body: protocol.ListRunners{}})
	}
}

// LeavingRunners returns the ids of runners that are draining or were removed recently, in
// ascending order.
func (m *Manager) LeavingRunners() []string { return sortedKeys(m.leavingSeenMs) }

// ListAgeMs returns how long ago the runner list was last read, or -1 if never.
func (m *Manager) ListAgeMs(nowMs int64) int64 {
	if m.runnerList.readMs == 0 {
		return -1
	}
	return nowMs - m.runnerList.readMs
}

// HandleRunnerList applies the result of a read of the runner list. It reports whether the set
// of leaving runners changed.
func (m *Manager) HandleRunnerList(nowMs int64, in protocol.RunnerList) (leavingChanged bool) {
	if !in.Ok {
		m.counters.ListFails++
		m.runnerList.recordFailure(nowMs, in.Limited)
		return false
	}
	m.counters.Lists++
	m.runnerList.recordSuccess(nowMs)
	m.indexKnown = true
	listed := make(map[string]bool, len(in.Runners))
	for _, entry := range in.Runners {
		listed[entry.ID] = true
		if m.applyEntry(nowMs, entry) {
			leavingChanged = true
		}
	}
	for _, r := range slices.Clone(m.sortedRunners) {
		if !listed[r.Entry.ID] && m.applyMissingEntry(nowMs, r) {
			leavingChanged = true
		}
	}
	for id, sinceMs := range m.leavingSeenMs {
		if !listed[id] && m.runners[id] == nil && nowMs-sinceMs > goneReportedMs {
			delete(m.leavingSeenMs, id)
			delete(m.drainingSeen, id)
			leavingChanged = true
		}
	}
	return leavingChanged
}

// applyMissingEntry records that the list is without a known runner. It reports whether the set
// of leaving runners changed.
func (m *Manager) applyMissingEntry(nowMs int64, r *runnerstate.Runner) (leavingChanged bool) {
	r.MissedLists++
	if r.MissedLists < goneAfterMissedLists {
		m.runnerChanged(r)
		return false
	}
	if _, reported := m.leavingSeenMs[r.Entry.ID]; !reported {
		m.leavingSeenMs[r.Entry.ID] = nowMs
		leavingChanged = true
	}
	m.removeRunner(nowMs, r)
	return leavingChanged
}

// applyEntry applies one entry of the list. It reports whether the set of leaving runners
// changed.
func (m *Manager) applyEntry(nowMs int64, entry protocol.RunnerEntry) (leavingChanged bool) {
	r := m.runners[entry.ID]
	if r == nil {
		r = m.addListedRunner(nowMs, entry)
	}
	// The entry's models are used below and not stored.
	models := entry.Models
	entry.Models = nil
	if r.Entry.Address != entry.Address || r.Entry.Zone != entry.Zone || r.Entry.Slots != entry.Slots {
		m.runnerChanged(r)
	}
	r.Entry = entry
	// Until the runner has reported its own state, the list's models are used.
	if r.StateMs == 0 && r.Order == nil {
		r.ApplyModels(nowMs, models, m)
	}
	if r.MissedLists > 0 {
		r.MissedLists = 0
		m.runnerChanged(r)
	}
	// Once a runner drains, it stays draining, even if a later list shows otherwise.
	if entry.Leaving {
		m.drainingSeen[entry.ID] = true
	}
	leaving := m.drainingSeen[entry.ID]
	if leaving && !r.Draining {
		r.Draining = true
		m.runnerChanged(r)
	}
	return m.updateLeaving(nowMs, entry.ID, leaving)
}

// addListedRunner adds a runner that appears in the list for the first time.
func (m *Manager) addListedRunner(nowMs int64, entry protocol.RunnerEntry) *runnerstate.Runner {
	r := m.addRunner(entry)
	// This makes the next poll due at once.
	r.LastReplyMs, r.PolledMs = nowMs, nowMs-callTimeoutMs
	for name := range m.priorDiskModels[diskKey(entry)] {
		// The previous incarnation's weights may still be on its disk. The value false means
		// that this is uncertain, so the load counts against the store's rate limit.
		r.OnDisk[name] = false
	}
	r.ApplyModels(nowMs, entry.Models, m)
	m.runnerChanged(r)
	return r
}

// updateLeaving updates the set of leaving runners for a listed runner. It reports whether the
// set changed.
func (m *Manager) updateLeaving(nowMs int64, id string, leaving bool) (changed bool) {
	_, reported := m.leavingSeenMs[id]
	switch {
	case leaving:
		m.leavingSeenMs[id] = nowMs
		return !reported
	case reported:
		// It was missing from the list only temporarily.
		delete(m.leavingSeenMs, id)
		return true
	}
	return false
}

// diskKey identifies the disk of a runner, which is kept when a new incarnation replaces the
// runner.
func diskKey(entry protocol.RunnerEntry) string { return entry.Service + " " + entry.Address }

// addRunner adds a runner from an entry of the list.
func (m *Manager) addRunner(entry protocol.RunnerEntry) *runnerstate.Runner {
	s := m.ensureService(entry.Service)
	r := runnerstate.New(entry, index.HashName(entry.ID), s)
	m.runners[entry.ID] = r
	m.sortedRunners = runnerstate.InsertSorted(m.sortedRunners, r)
	s.AddRunner(r)
	return r
}

// removeRunner removes a runner that is gone. The next incarnation at its address may find the
// weights on its disk.
func (m *Manager) removeRunner(nowMs int64, r *runnerstate.Runner) {
	if r.Order != nil {
		m.storeLimiter.EndReservation(nowMs, r.Order.Number, true)
		r.Order = nil
	}
	if len(m.priorDiskModels) < maxPriorDisks {
		onDisk := map[string]bool{}
		for name := range r.OnDisk {
			onDisk[name] = true
		}
		m.priorDiskModels[diskKey(r.Entry)] = onDisk
	}
	m.runnerChanged(r)
	for name := range r.Held {
		r.RemoveModel(name, m)
	}
	delete(m.runners, r.Entry.ID)
	m.sortedRunners = runnerstate.Remove(m.sortedRunners, r)
	r.Service.RemoveRunner(r)
}
