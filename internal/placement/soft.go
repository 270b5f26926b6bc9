package placement

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/protocol"
)

// Soft is a compact image of the ledger, from which a follower answers
// look-ups.
type Soft struct {
	Epoch, Change uint64
	// ListAgeMs is the age of the list that it rests on, or -1.
	ListAgeMs int64
	Runners   []SoftRunner
	// Loading lists the models that are being loaded.
	Loading []SoftLoad
	// LoadAgesMs are the ages of the loads that count against the store.
	LoadAgesMs []int64
	Leaving    []string
}

// SoftRunner is a runner in the image.
type SoftRunner struct {
	ID, Service, Address, Zone string
	Slots                      int
	Leaving, Suspect           bool
	Active, Queued             int
	CacheUsed, CacheTotal      int64
	AgeMs                      int64
	Models                     []SoftModel
	// Disk lists what it has held beside the models.
	Disk []string
}

// SoftModel is a model that a runner offers.
type SoftModel struct {
	Name     string
	Adapters []string
}

// SoftLoad is a load under way, and in how many ms it should be done.
type SoftLoad struct {
	Service, Model string
	LeftMs         int64
}

type demandKey struct{ Service, Model, Adapter string }

// DemandCount is what a follower was asked for a key since it last told.
type DemandCount struct {
	Service, Model, Adapter string
	Requests, Tokens, Waits int64
	// Prompt sums the tokens of prompts; ReadMs is the least that 1,000 of them
	// took to be read, or 0.
	Prompt int64
	ReadMs float64
}

// Counts is the demand that a follower tells the primary.
type Counts []DemandCount

// pendingMost bounds how many keys a follower counts between two tellings.
const pendingMost = 2_000

// Soft makes the image as of the last tick.
func (k *Keeper) Soft() Soft {
	nowMs := k.nowMs
	out := Soft{Epoch: k.epoch, Change: k.change, ListAgeMs: k.ListAgeMs(nowMs), LoadAgesMs: k.store.agesMs(nowMs), Leaving: k.Leaving()}
	for _, r := range k.sorted {
		if r.absent > 0 {
			continue
		}
		sr := SoftRunner{
			ID: r.entry.ID, Service: r.service.name, Address: r.entry.Address, Zone: r.entry.Zone, Slots: r.entry.Slots,
			Leaving: r.leaving, Suspect: r.suspect, Active: r.state.Active, Queued: r.state.Queued,
			CacheUsed: r.state.CacheUsed, CacheTotal: r.state.CacheTotal, AgeMs: nowMs - r.stateMs,
		}
		for _, name := range sortedKeys(r.held) {
			h := r.held[name]
			if h.going {
				continue
			}
			sm := SoftModel{Name: name}
			for _, a := range sortedKeys(h.adapters) {
				if !h.adapters[a].going {
					sm.Adapters = append(sm.Adapters, a)
				}
			}
			sr.Models = append(sr.Models, sm)
		}
		for _, name := range sortedKeys(r.disk) {
			if r.disk[name] && r.held[name] == nil {
				sr.Disk = append(sr.Disk, name)
			}
		}
		out.Runners = append(out.Runners, sr)
		if o := r.order; o != nil && o.load && o.Adapter == "" {
			m := r.service.model(o.Model)
			out.Loading = append(out.Loading, SoftLoad{r.service.name, o.Model, max(100, k.likelyMs(r, m)+150-(nowMs-o.firstMs))})
		}
	}
	return out
}

// TakeSoft takes the primary's image at a follower.
func (k *Keeper) TakeSoft(nowMs int64, s Soft) {
	if k.active || s.Epoch < k.epoch || s.Epoch == k.epoch && s.Change < k.change && k.known {
		return
	}
	// A primary that begins cold knows less than is known here.
	if len(s.Runners) == 0 && s.ListAgeMs < 0 && k.known {
		return
	}
	moved := s.Epoch > k.epoch
	k.epoch = s.Epoch
	if s.ListAgeMs >= 0 {
		k.known = true
		k.listOkMs = max(1, nowMs-s.ListAgeMs)
	}
	k.agesMs, k.agesAt = s.LoadAgesMs, nowMs
	k.soft = map[string]SoftLoad{}
	for _, l := range s.Loading {
		k.soft[l.Service+" "+l.Model] = l
	}
	for _, id := range s.Leaving {
		k.awayMs[id] = nowMs
	}
	there := make(map[string]bool, len(s.Runners))
	for i := range s.Runners {
		there[s.Runners[i].ID] = true
		k.takeRunner(nowMs, &s.Runners[i])
	}
	for _, r := range slices.Clone(k.sorted) {
		if !there[r.entry.ID] {
			k.remove(nowMs, r)
		}
	}
	for id := range k.awayMs {
		if !slices.Contains(s.Leaving, id) {
			delete(k.awayMs, id)
		}
	}
	// The count of changes is the primary's, so that answers agree.
	if moved || s.Change > k.change {
		k.change = s.Change
	}
}

func (k *Keeper) takeRunner(nowMs int64, s *SoftRunner) {
	r := k.runners[s.ID]
	if r == nil {
		r = newRunner(protocol.RunnerEntry{ID: s.ID}, k.service(s.Service))
		k.insert(r)
		k.touchRunner(r)
	}
	r.entry.Service, r.entry.Address, r.entry.Zone, r.entry.Slots = s.Service, s.Address, s.Zone, s.Slots
	r.absent = 0
	if s.Leaving {
		k.left[s.ID] = true
	}
	if r.leaving != s.Leaving || r.suspect != s.Suspect {
		r.leaving, r.suspect = s.Leaving || r.leaving, s.Suspect
		k.touchRunner(r)
	}
	r.state.Active, r.state.Queued, r.state.CacheUsed, r.state.CacheTotal = s.Active, s.Queued, s.CacheUsed, s.CacheTotal
	r.stateMs = nowMs - s.AgeMs
	models := make([]protocol.HeldModel, 0, len(s.Models))
	for _, m := range s.Models {
		models = append(models, protocol.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	r.adopt(nowMs, models, k)
	for _, name := range s.Disk {
		r.disk[name] = true
	}
}

// pend counts a look-up at a follower.
func (k *Keeper) pend(key demandKey, in protocol.IndexLookUp, waits int) {
	c := k.pending[key]
	if c == nil {
		if len(k.pending) >= pendingMost {
			return
		}
		c = &DemandCount{Service: key.Service, Model: key.Model, Adapter: key.Adapter}
		k.pending[key] = c
	}
	c.Requests++
	c.Tokens += in.Tokens
	c.Prompt += in.Prompt
	if in.ReadMs > 0 && (c.ReadMs == 0 || in.ReadMs < c.ReadMs) {
		c.ReadMs = in.ReadMs
	}
	c.Waits += int64(waits)
}

// Waits says whether a follower was asked for what nobody holds since it last
// told: then its demand should go to the primary at once.
func (k *Keeper) Waits() bool {
	for _, c := range k.pending {
		if c.Waits > 0 {
			return true
		}
	}
	return false
}

// DrainDemand gives what a follower was asked since the last time.
func (k *Keeper) DrainDemand() Counts {
	if len(k.pending) == 0 {
		return nil
	}
	out := make(Counts, 0, len(k.pending))
	for _, c := range k.pending {
		out = append(out, *c)
	}
	clear(k.pending)
	slices.SortFunc(out, func(a, b DemandCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// TakeDemand counts, at the primary, what a follower was asked.
func (k *Keeper) TakeDemand(nowMs int64, demand Counts) {
	if !k.active {
		return
	}
	for _, c := range demand {
		if m := k.lookedUp(c.Service, c.Model); m != nil && c.Requests > 0 {
			m.reading(float64(c.Prompt)/float64(c.Requests), c.ReadMs, int(c.Requests))
		}
		k.count(nowMs, demandKey{c.Service, c.Model, c.Adapter}, float64(c.Requests), float64(c.Tokens), float64(c.Waits))
	}
}
