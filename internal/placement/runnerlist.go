package placement

import (
	"slices"

	"myrtlewinch/internal/placement/index"
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// minListIntervalMs is the shortest time between two reads of the list, and
	// maxListIntervalMs the longest when the platform limits the rate of calls.
	minListIntervalMs = 450
	maxListIntervalMs = 2_000
	// listCallShareMs over the permitted calls per second is the interval of reads,
	// which takes two thirds of the calls permitted to all daemons.
	listCallShareMs = 1_500
	// goneReportedMs is for how long runners that are gone are reported as leaving.
	goneReportedMs = 60_000
	// goneAfterLists is how many lists in a row must be without a runner before it
	// counts as gone. It is not offered after the first.
	goneAfterLists = 2
	// maxPastDisks bounds how many runners that are gone have their disks kept.
	maxPastDisks = 1_000
)

// listReader paces the reads of the platform's list.
type listReader struct {
	address    string
	intervalMs int64
	// pauseMs is the present interval: it grows while the platform limits calls.
	pauseMs int64
	// callOpen says that a call is under way; calledMs is when the last one began,
	// nextMs when the next one is due, and readMs when the list was last read, 0
	// for never.
	callOpen                 bool
	calledMs, nextMs, readMs int64
}

func newListReader(address string, callsPerSec float64) listReader {
	l := listReader{address: address, intervalMs: minListIntervalMs}
	if callsPerSec > 0 {
		l.intervalMs = max(minListIntervalMs, int64(listCallShareMs/callsPerSec))
	}
	l.pauseMs = l.intervalMs
	return l
}

// begin makes a read due now. No list of before counts.
func (l *listReader) begin(nowMs int64) {
	l.callOpen, l.nextMs, l.pauseMs, l.readMs = false, nowMs, l.intervalMs, 0
}

// stop forgets an open call.
func (l *listReader) stop() { l.callOpen = false }

// failed notes that a call brought no list; limited says that the platform wants
// fewer calls.
func (l *listReader) failed(nowMs int64, limited bool) {
	l.callOpen = false
	if limited {
		l.pauseMs = min(2*l.pauseMs, max(maxListIntervalMs, l.intervalMs))
	}
	l.nextMs = nowMs + l.pauseMs
}

// succeeded notes that a call brought the list.
func (l *listReader) succeeded(nowMs int64) {
	l.callOpen = false
	l.pauseMs = max(l.intervalMs, l.pauseMs*3/4)
	l.nextMs = l.calledMs + l.pauseMs
	l.readMs = nowMs
}

// callDue says whether to read the list now, and notes that this is done.
func (l *listReader) callDue(nowMs int64) bool {
	if l.callOpen && nowMs-l.calledMs > callTimeoutMs {
		l.callOpen = false
	}
	if l.callOpen || nowMs < l.nextMs || l.address == "" {
		return false
	}
	l.callOpen, l.calledMs = true, nowMs
	return true
}

// tickList reads the list when that is due.
func (m *Manager) tickList(nowMs int64) {
	if m.list.callDue(nowMs) {
		m.calls = append(m.calls, protocol.OutboundCall{Address: m.list.address, Body: protocol.ListRunners{}})
	}
}

// LeavingRunners returns the ids of runners that drain, or are gone for not too
// long, in order.
func (m *Manager) LeavingRunners() []string { return sortedKeys(m.leavingMs) }

// ListAgeMs is how long ago the platform's list was last read, -1 for never.
func (m *Manager) ListAgeMs(nowMs int64) int64 {
	if m.list.readMs == 0 {
		return -1
	}
	return nowMs - m.list.readMs
}

// HandleRunnerList takes what a read of the platform's list brought. It says
// whether the set of leaving runners changed.
func (m *Manager) HandleRunnerList(nowMs int64, in protocol.RunnerList) (leavingChanged bool) {
	if !in.Ok {
		m.counters.ListFails++
		m.list.failed(nowMs, in.Limited)
		return false
	}
	m.counters.Lists++
	m.list.succeeded(nowMs)
	m.indexKnown = true
	listed := make(map[string]bool, len(in.Runners))
	for _, entry := range in.Runners {
		listed[entry.ID] = true
		if m.applyEntry(nowMs, entry) {
			leavingChanged = true
		}
	}
	for _, r := range slices.Clone(m.sortedRunners) {
		if !listed[r.Entry.ID] && m.missedByList(nowMs, r) {
			leavingChanged = true
		}
	}
	for id, sinceMs := range m.leavingMs {
		if !listed[id] && m.runners[id] == nil && nowMs-sinceMs > goneReportedMs {
			delete(m.leavingMs, id)
			delete(m.everLeaving, id)
			leavingChanged = true
		}
	}
	return leavingChanged
}

// missedByList notes that the list is without a runner that it had before. It
// says whether the runner is newly reported as leaving.
func (m *Manager) missedByList(nowMs int64, r *runnerstate.Runner) (leavingChanged bool) {
	r.MissedLists++
	if r.MissedLists < goneAfterLists {
		m.runnerChanged(r)
		return false
	}
	if _, reported := m.leavingMs[r.Entry.ID]; !reported {
		m.leavingMs[r.Entry.ID] = nowMs
		leavingChanged = true
	}
	m.removeRunner(nowMs, r)
	return leavingChanged
}

// applyEntry takes one entry of the list. It says whether the set of leaving
// runners changed.
func (m *Manager) applyEntry(nowMs int64, entry protocol.RunnerEntry) (leavingChanged bool) {
	r := m.runners[entry.ID]
	if r == nil {
		r = m.addListedRunner(nowMs, entry)
	}
	// The list's models are used here and not kept.
	models := entry.Models
	entry.Models = nil
	if r.Entry.Address != entry.Address || r.Entry.Zone != entry.Zone || r.Entry.Slots != entry.Slots {
		m.runnerChanged(r)
	}
	r.Entry = entry
	// Until a runner has shown its own state, the list's counts.
	if r.StateMs == 0 && r.Order == nil {
		r.ApplyModels(nowMs, models, m)
	}
	if r.MissedLists > 0 {
		r.MissedLists = 0
		m.runnerChanged(r)
	}
	// Draining never ends, whatever a later list says.
	if entry.Leaving {
		m.everLeaving[entry.ID] = true
	}
	leaving := m.everLeaving[entry.ID]
	if leaving && !r.Leaving {
		r.Leaving = true
		m.runnerChanged(r)
	}
	return m.reportLeaving(nowMs, entry.ID, leaving)
}

// addListedRunner makes a runner that the list shows for the first time.
func (m *Manager) addListedRunner(nowMs int64, entry protocol.RunnerEntry) *runnerstate.Runner {
	r := m.addRunner(entry)
	// The next poll is due at once.
	r.LastReplyMs, r.PolledMs = nowMs, nowMs-callTimeoutMs
	for name := range m.pastDisks[diskKey(entry)] {
		// The weights of the incarnation before may still be on its disk. False says
		// that this is not certain, so that the load counts against the store.
		r.OnDisk[name] = false
	}
	r.ApplyModels(nowMs, entry.Models, m)
	m.runnerChanged(r)
	return r
}

// reportLeaving keeps the set of leaving runners for one that is listed. It says
// whether the set changed.
func (m *Manager) reportLeaving(nowMs int64, id string, leaving bool) (changed bool) {
	_, reported := m.leavingMs[id]
	switch {
	case leaving:
		m.leavingMs[id] = nowMs
		return !reported
	case reported:
		// It was only missing from the list for a while.
		delete(m.leavingMs, id)
		return true
	}
	return false
}

// diskKey names the disk of a runner, which outlives its incarnations.
func diskKey(entry protocol.RunnerEntry) string { return entry.Service + " " + entry.Address }

// addRunner makes a runner from an entry of the list.
func (m *Manager) addRunner(entry protocol.RunnerEntry) *runnerstate.Runner {
	s := m.serviceNamed(entry.Service)
	r := runnerstate.New(entry, index.HashName(entry.ID), s)
	m.runners[entry.ID] = r
	m.sortedRunners = runnerstate.InsertSorted(m.sortedRunners, r)
	s.AddRunner(r)
	return r
}

// removeRunner forgets a runner that is gone. The next incarnation at its address
// may find the weights on the disk.
func (m *Manager) removeRunner(nowMs int64, r *runnerstate.Runner) {
	if r.Order != nil {
		m.store.Settle(nowMs, r.Order.Number, true)
		r.Order = nil
	}
	if len(m.pastDisks) < maxPastDisks {
		onDisk := map[string]bool{}
		for name := range r.OnDisk {
			onDisk[name] = true
		}
		m.pastDisks[diskKey(r.Entry)] = onDisk
	}
	m.runnerChanged(r)
	for name := range r.Held {
		r.RemoveModel(name, m)
	}
	delete(m.runners, r.Entry.ID)
	m.sortedRunners = runnerstate.Remove(m.sortedRunners, r)
	r.Service.RemoveRunner(r)
}
