package placement

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// minListIntervalMs is the shortest time between two reads of the list.
	minListIntervalMs = 450
	// maxListIntervalMs is the longest pause between reads of the list when the
	// platform wants fewer calls.
	maxListIntervalMs = 2_000
	// goneReportedMs is for how long runners that are gone are told as leaving.
	goneReportedMs = 60_000
)

// LeavingRunners lists the ids of runners that are leaving, or gone for not too long.
func (k *Manager) LeavingRunners() []string {
	out := make([]string, 0, len(k.leavingMs))
	for id := range k.leavingMs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// ListAgeMs is how long ago the platform's list was last read, or -1.
func (k *Manager) ListAgeMs(nowMs int64) int64 {
	if k.listReadMs == 0 {
		return -1
	}
	return nowMs - k.listReadMs
}

// HandleRunnerList takes what a read of the platform's list brought; changed says that
// the set of leaving runners did.
func (k *Manager) HandleRunnerList(nowMs int64, in protocol.RunnerList) (changed bool) {
	k.listCallOpen = false
	if !in.Ok {
		k.counters.ListFails++
		if in.Limited {
			k.listPauseMs = min(2*k.listPauseMs, max(maxListIntervalMs, k.listIntervalMs))
		}
		k.listNextMs = nowMs + k.listPauseMs
		return false
	}
	k.counters.Lists++
	k.listPauseMs = max(k.listIntervalMs, k.listPauseMs*3/4)
	k.listNextMs = k.listCalledMs + k.listPauseMs
	k.listReadMs, k.indexKnown = nowMs, true
	listed := make(map[string]bool, len(in.Runners))
	for _, e := range in.Runners {
		listed[e.ID] = true
		if k.updateFromList(nowMs, e) {
			changed = true
		}
	}
	for _, r := range slices.Clone(k.sortedRunners) {
		if listed[r.Entry.ID] {
			continue
		}
		// A runner that the list lacks is not offered; one that it lacks twice
		// is gone.
		r.MissedLists++
		switch {
		case r.MissedLists == 1:
			k.runnerChanged(r)
		case r.goneMs == 0:
			r.goneMs = nowMs
			if _, told := k.leavingMs[r.Entry.ID]; !told {
				k.leavingMs[r.Entry.ID] = nowMs
				changed = true
			}
			k.removeRunner(nowMs, r)
		}
	}
	for id, goneMs := range k.leavingMs {
		if !listed[id] && k.runners[id] == nil && nowMs-goneMs > goneReportedMs {
			delete(k.leavingMs, id)
			delete(k.everLeaving, id)
			changed = true
		}
	}
	return changed
}

// updateFromList takes one entry of the list; it says whether the runner began to
// leave.
func (k *Manager) updateFromList(nowMs int64, e protocol.RunnerEntry) (changed bool) {
	r := k.runners[e.ID]
	if r == nil {
		r = NewRunner(e, k.serviceNamed(e.Service))
		r.LastReplyMs, r.PolledMs = nowMs, nowMs-callTimeoutMs
		k.addRunner(r)
		for name := range k.pastDisks[diskKey(e)] {
			// The weights of the life before may still be on its disk: false is
			// that they may, so that the load counts against the store.
			r.OnDisk[name] = false
		}
		r.ApplyModels(nowMs, e.Models, k)
		k.runnerChanged(r)
	}
	// The text that came in with the list is dropped; what counts changes here.
	models := e.Models
	e.Models = nil
	if r.Entry.Address != e.Address || r.Entry.Zone != e.Zone || r.Entry.Slots != e.Slots {
		k.runnerChanged(r)
	}
	r.Entry = e
	// Until a runner has spoken for itself, the list does.
	if r.StateMs == 0 && r.Order == nil {
		r.ApplyModels(nowMs, models, k)
	}
	if r.MissedLists > 0 {
		r.MissedLists = 0
		k.runnerChanged(r)
	}
	if e.LeftMs >= 0 && (e.Leaving || e.LeftMs > 0) {
		r.leftAtMs = nowMs + e.LeftMs
	}
	// Leaving is for ever, whatever a later list says.
	if e.Leaving {
		k.everLeaving[e.ID] = true
	}
	if k.everLeaving[e.ID] && !r.Leaving {
		r.Leaving = true
		k.runnerChanged(r)
	}
	_, told := k.leavingMs[e.ID]
	switch {
	case k.everLeaving[e.ID] && !told:
		k.leavingMs[e.ID] = nowMs
		return true
	case k.everLeaving[e.ID]:
		k.leavingMs[e.ID] = nowMs
	case told:
		// It was only missing from the list for a while.
		delete(k.leavingMs, e.ID)
		return true
	}
	return false
}

func diskKey(e protocol.RunnerEntry) string { return e.Service + " " + e.Address }

func (k *Manager) addRunner(r *Runner) {
	k.runners[r.Entry.ID] = r
	at, _ := slices.BinarySearchFunc(k.sortedRunners, r, byID)
	k.sortedRunners = slices.Insert(k.sortedRunners, at, r)
	s := r.Service
	at, _ = slices.BinarySearchFunc(s.Runners, r, byID)
	s.Runners = slices.Insert(s.Runners, at, r)
}

func byID(a, b *Runner) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) }

// removeRunner forgets a runner that is gone; a next life at its address may find
// the weights on the disk.
func (k *Manager) removeRunner(nowMs int64, r *Runner) {
	if r.Order != nil {
		k.store.Settle(nowMs, r.Order.Number, true)
		r.Order = nil
	}
	disk := map[string]bool{}
	for name := range r.OnDisk {
		disk[name] = true
	}
	if len(k.pastDisks) < 1000 {
		k.pastDisks[diskKey(r.Entry)] = disk
	}
	k.runnerChanged(r)
	for name := range r.Held {
		r.RemoveModel(name, k)
	}
	delete(k.runners, r.Entry.ID)
	k.sortedRunners = slices.DeleteFunc(k.sortedRunners, func(o *Runner) bool { return o == r })
	r.Service.Runners = slices.DeleteFunc(r.Service.Runners, func(o *Runner) bool { return o == r })
}

func (k *Manager) tickList(nowMs int64) {
	if k.listCallOpen && nowMs-k.listCalledMs > callTimeoutMs {
		k.listCallOpen = false
	}
	if !k.listCallOpen && nowMs >= k.listNextMs && k.listAddress != "" {
		k.listCallOpen, k.listCalledMs = true, nowMs
		k.calls = append(k.calls, protocol.OutboundCall{Address: k.listAddress, Body: protocol.ListRunners{}})
	}
}
