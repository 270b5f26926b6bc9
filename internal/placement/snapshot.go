package placement

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/protocol"
)

// IndexSnapshot is a compact image of the ledger, from which a follower answers
// look-ups.
type IndexSnapshot struct {
	Epoch, Change uint64
	// ListAgeMs is the age of the list that it rests on, or -1.
	ListAgeMs int64
	Runners   []RunnerSnapshot
	// Loading lists the models that are being loaded.
	Loading []LoadSnapshot
	// LoadAgesMs are the ages of the loads that count against the store.
	LoadAgesMs []int64
	Leaving    []string
}

// RunnerSnapshot is a runner in the image.
type RunnerSnapshot struct {
	ID, Service, Address, Zone string
	Slots                      int
	Leaving, Suspect           bool
	Active, Queued             int
	CacheUsed, CacheTotal      int64
	AgeMs                      int64
	Models                     []ModelSnapshot
	// Disk lists what it has held beside the models.
	Disk []string
}

// ModelSnapshot is a model that a runner offers.
type ModelSnapshot struct {
	Name     string
	Adapters []string
}

// LoadSnapshot is a load under way, and in how many ms it should be done.
type LoadSnapshot struct {
	Service, Model string
	LeftMs         int64
}

type DemandKey struct{ Service, Model, Adapter string }

// DemandCount is what a follower was asked for a key since it last told.
type DemandCount struct {
	Service, Model, Adapter string
	Requests, Tokens, Waits int64
	// Prompt sums the tokens of prompts; ReadMs is the least that 1,000 of them
	// took to be read, or 0.
	Prompt int64
	ReadMs float64
}

// DemandCounts is the demand that a follower tells the primary.
type DemandCounts []DemandCount

// maxPendingDemand bounds how many keys a follower counts between two tellings.
const maxPendingDemand = 2_000

// Snapshot makes the image as of the last tick.
func (k *Manager) Snapshot() IndexSnapshot {
	nowMs := k.nowMs
	out := IndexSnapshot{Epoch: k.epoch, Change: k.revision, ListAgeMs: k.ListAgeMs(nowMs), LoadAgesMs: k.store.AgesMs(nowMs), Leaving: k.LeavingRunners()}
	for _, r := range k.sortedRunners {
		if r.MissedLists > 0 {
			continue
		}
		sr := RunnerSnapshot{
			ID: r.Entry.ID, Service: r.Service.Name, Address: r.Entry.Address, Zone: r.Entry.Zone, Slots: r.Entry.Slots,
			Leaving: r.Leaving, Suspect: r.Suspect, Active: r.State.Active, Queued: r.State.Queued,
			CacheUsed: r.State.CacheUsed, CacheTotal: r.State.CacheTotal, AgeMs: nowMs - r.StateMs,
		}
		for _, name := range sortedKeys(r.Held) {
			h := r.Held[name]
			if h.Unloading {
				continue
			}
			sm := ModelSnapshot{Name: name}
			for _, a := range sortedKeys(h.Adapters) {
				if !h.Adapters[a].Unloading {
					sm.Adapters = append(sm.Adapters, a)
				}
			}
			sr.Models = append(sr.Models, sm)
		}
		for _, name := range sortedKeys(r.OnDisk) {
			if r.OnDisk[name] && r.Held[name] == nil {
				sr.Disk = append(sr.Disk, name)
			}
		}
		out.Runners = append(out.Runners, sr)
		if o := r.Order; o != nil && o.Load && o.Adapter == "" {
			m := r.Service.Model(o.Model)
			out.Loading = append(out.Loading, LoadSnapshot{r.Service.Name, o.Model, max(100, k.expectedLoadMs(r, m)+150-(nowMs-o.FirstSentMs))})
		}
	}
	return out
}

// ApplySnapshot takes the primary's image at a follower.
func (k *Manager) ApplySnapshot(nowMs int64, s IndexSnapshot) {
	if k.active || s.Epoch < k.epoch || s.Epoch == k.epoch && s.Change < k.revision && k.indexKnown {
		return
	}
	// A primary that begins cold knows less than is known here.
	if len(s.Runners) == 0 && s.ListAgeMs < 0 && k.indexKnown {
		return
	}
	moved := s.Epoch > k.epoch
	k.epoch = s.Epoch
	if s.ListAgeMs >= 0 {
		k.indexKnown = true
		k.listReadMs = max(1, nowMs-s.ListAgeMs)
	}
	k.priorLoadAgesMs, k.priorLoadAgesAtMs = s.LoadAgesMs, nowMs
	k.primaryLoads = map[string]LoadSnapshot{}
	for _, l := range s.Loading {
		k.primaryLoads[l.Service+" "+l.Model] = l
	}
	for _, id := range s.Leaving {
		k.leavingMs[id] = nowMs
	}
	there := make(map[string]bool, len(s.Runners))
	for i := range s.Runners {
		there[s.Runners[i].ID] = true
		k.applyRunnerSnapshot(nowMs, &s.Runners[i])
	}
	for _, r := range slices.Clone(k.sortedRunners) {
		if !there[r.Entry.ID] {
			k.removeRunner(nowMs, r)
		}
	}
	for id := range k.leavingMs {
		if !slices.Contains(s.Leaving, id) {
			delete(k.leavingMs, id)
		}
	}
	// The count of changes is the primary's, so that answers agree.
	if moved || s.Change > k.revision {
		k.revision = s.Change
	}
}

func (k *Manager) applyRunnerSnapshot(nowMs int64, s *RunnerSnapshot) {
	r := k.runners[s.ID]
	if r == nil {
		r = NewRunner(protocol.RunnerEntry{ID: s.ID}, k.serviceNamed(s.Service))
		k.addRunner(r)
		k.runnerChanged(r)
	}
	r.Entry.Service, r.Entry.Address, r.Entry.Zone, r.Entry.Slots = s.Service, s.Address, s.Zone, s.Slots
	r.MissedLists = 0
	if s.Leaving {
		k.everLeaving[s.ID] = true
	}
	if r.Leaving != s.Leaving || r.Suspect != s.Suspect {
		r.Leaving, r.Suspect = s.Leaving || r.Leaving, s.Suspect
		k.runnerChanged(r)
	}
	r.State.Active, r.State.Queued, r.State.CacheUsed, r.State.CacheTotal = s.Active, s.Queued, s.CacheUsed, s.CacheTotal
	r.StateMs = nowMs - s.AgeMs
	models := make([]protocol.HeldModel, 0, len(s.Models))
	for _, m := range s.Models {
		models = append(models, protocol.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	r.ApplyModels(nowMs, models, k)
	for _, name := range s.Disk {
		r.OnDisk[name] = true
	}
}

// recordFollowerDemand counts a look-up at a follower.
func (k *Manager) recordFollowerDemand(key DemandKey, in protocol.IndexLookUp, waits int) {
	c := k.pendingDemand[key]
	if c == nil {
		if len(k.pendingDemand) >= maxPendingDemand {
			return
		}
		c = &DemandCount{Service: key.Service, Model: key.Model, Adapter: key.Adapter}
		k.pendingDemand[key] = c
	}
	c.Requests++
	c.Tokens += in.Tokens
	c.Prompt += in.Prompt
	if in.ReadMs > 0 && (c.ReadMs == 0 || in.ReadMs < c.ReadMs) {
		c.ReadMs = in.ReadMs
	}
	c.Waits += int64(waits)
}

// HasWaitingRequests says whether a follower was asked for what nobody holds since it last
// told: then its demand should go to the primary at once.
func (k *Manager) HasWaitingRequests() bool {
	for _, c := range k.pendingDemand {
		if c.Waits > 0 {
			return true
		}
	}
	return false
}

// DrainDemand gives what a follower was asked since the last time.
func (k *Manager) DrainDemand() DemandCounts {
	if len(k.pendingDemand) == 0 {
		return nil
	}
	out := make(DemandCounts, 0, len(k.pendingDemand))
	for _, c := range k.pendingDemand {
		out = append(out, *c)
	}
	clear(k.pendingDemand)
	slices.SortFunc(out, func(a, b DemandCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// AddDemand counts, at the primary, what a follower was asked.
func (k *Manager) AddDemand(nowMs int64, demand DemandCounts) {
	if !k.active {
		return
	}
	for _, c := range demand {
		if m := k.findModel(c.Service, c.Model); m != nil && c.Requests > 0 {
			m.AddPrefill(float64(c.Prompt)/float64(c.Requests), c.ReadMs, int(c.Requests))
		}
		k.addDemand(nowMs, DemandKey{c.Service, c.Model, c.Adapter}, float64(c.Requests), float64(c.Tokens), float64(c.Waits))
	}
}
