package placement

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// listMs is the shortest time between two reads of the list.
	listMs = 450
	// slowListMs is the longest pause between reads of the list when the
	// platform wants fewer calls.
	slowListMs = 2_000
	// goneKeptMs is for how long runners that are gone are told as leaving.
	goneKeptMs = 60_000
)

// Leaving lists the ids of runners that are leaving, or gone for not too long.
func (k *Keeper) Leaving() []string {
	out := make([]string, 0, len(k.awayMs))
	for id := range k.awayMs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// ListAgeMs is how long ago the platform's list was last read, or -1.
func (k *Keeper) ListAgeMs(nowMs int64) int64 {
	if k.listOkMs == 0 {
		return -1
	}
	return nowMs - k.listOkMs
}

// Fleet takes what a read of the platform's list brought; changed says that
// the set of leaving runners did.
func (k *Keeper) Fleet(nowMs int64, in protocol.RunnerList) (changed bool) {
	k.reading = false
	if !in.Ok {
		k.counts.ListFails++
		if in.Limited {
			k.listPauseMs = min(2*k.listPauseMs, max(slowListMs, k.listEachMs))
		}
		k.listNextMs = nowMs + k.listPauseMs
		return false
	}
	k.counts.Lists++
	k.listPauseMs = max(k.listEachMs, k.listPauseMs*3/4)
	k.listNextMs = k.listAskedMs + k.listPauseMs
	k.listOkMs, k.known = nowMs, true
	listed := make(map[string]bool, len(in.Runners))
	for _, e := range in.Runners {
		listed[e.ID] = true
		if k.listed(nowMs, e) {
			changed = true
		}
	}
	for _, r := range slices.Clone(k.sorted) {
		if listed[r.entry.ID] {
			continue
		}
		// A runner that the list lacks is not offered; one that it lacks twice
		// is gone.
		r.absent++
		switch {
		case r.absent == 1:
			k.touchRunner(r)
		case r.goneMs == 0:
			r.goneMs = nowMs
			if _, told := k.awayMs[r.entry.ID]; !told {
				k.awayMs[r.entry.ID] = nowMs
				changed = true
			}
			k.remove(nowMs, r)
		}
	}
	for id, goneMs := range k.awayMs {
		if !listed[id] && k.runners[id] == nil && nowMs-goneMs > goneKeptMs {
			delete(k.awayMs, id)
			delete(k.left, id)
			changed = true
		}
	}
	return changed
}

// listed takes one entry of the list; it says whether the runner began to
// leave.
func (k *Keeper) listed(nowMs int64, e protocol.RunnerEntry) (changed bool) {
	r := k.runners[e.ID]
	if r == nil {
		r = newRunner(e, k.service(e.Service))
		r.okMs, r.askedMs = nowMs, nowMs-lostCallMs
		k.insert(r)
		for name := range k.disks[diskKey(e)] {
			// The weights of the life before may still be on its disk: false is
			// that they may, so that the load counts against the store.
			r.disk[name] = false
		}
		r.adopt(nowMs, e.Models, k)
		k.touchRunner(r)
	}
	// The text that came in with the list is dropped; what counts changes here.
	models := e.Models
	e.Models = nil
	if r.entry.Address != e.Address || r.entry.Zone != e.Zone || r.entry.Slots != e.Slots {
		k.touchRunner(r)
	}
	r.entry = e
	// Until a runner has spoken for itself, the list does.
	if r.stateMs == 0 && r.order == nil {
		r.adopt(nowMs, models, k)
	}
	if r.absent > 0 {
		r.absent = 0
		k.touchRunner(r)
	}
	if e.LeftMs >= 0 && (e.Leaving || e.LeftMs > 0) {
		r.leftAtMs = nowMs + e.LeftMs
	}
	// Leaving is for ever, whatever a later list says.
	if e.Leaving {
		k.left[e.ID] = true
	}
	if k.left[e.ID] && !r.leaving {
		r.leaving = true
		k.touchRunner(r)
	}
	_, told := k.awayMs[e.ID]
	switch {
	case k.left[e.ID] && !told:
		k.awayMs[e.ID] = nowMs
		return true
	case k.left[e.ID]:
		k.awayMs[e.ID] = nowMs
	case told:
		// It was only missing from the list for a while.
		delete(k.awayMs, e.ID)
		return true
	}
	return false
}

func diskKey(e protocol.RunnerEntry) string { return e.Service + " " + e.Address }

func (k *Keeper) insert(r *runner) {
	k.runners[r.entry.ID] = r
	at, _ := slices.BinarySearchFunc(k.sorted, r, byID)
	k.sorted = slices.Insert(k.sorted, at, r)
	s := r.service
	at, _ = slices.BinarySearchFunc(s.runners, r, byID)
	s.runners = slices.Insert(s.runners, at, r)
}

func byID(a, b *runner) int { return cmp.Compare(a.entry.ID, b.entry.ID) }

// remove forgets a runner that is gone; a next life at its address may find
// the weights on the disk.
func (k *Keeper) remove(nowMs int64, r *runner) {
	if r.order != nil {
		k.store.settled(nowMs, r.order.number, true)
		r.order = nil
	}
	disk := map[string]bool{}
	for name := range r.disk {
		disk[name] = true
	}
	if len(k.disks) < 1000 {
		k.disks[diskKey(r.entry)] = disk
	}
	k.touchRunner(r)
	for name := range r.held {
		r.forget(name, k)
	}
	delete(k.runners, r.entry.ID)
	k.sorted = slices.DeleteFunc(k.sorted, func(o *runner) bool { return o == r })
	r.service.runners = slices.DeleteFunc(r.service.runners, func(o *runner) bool { return o == r })
}

func (k *Keeper) tickList(nowMs int64) {
	if k.reading && nowMs-k.listAskedMs > lostCallMs {
		k.reading = false
	}
	if !k.reading && nowMs >= k.listNextMs && k.listAddress != "" {
		k.reading, k.listAskedMs = true, nowMs
		k.calls = append(k.calls, protocol.OutboundCall{Address: k.listAddress, Body: protocol.ListRunners{}})
	}
}
