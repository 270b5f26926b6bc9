package placement

import (
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// IndexSnapshot is a compact copy of the primary's state, from which a follower
// answers look-ups. It and what it holds travel by gob, which matches fields by
// name.
type IndexSnapshot struct {
	// Epoch is the primary's, Change its Revision.
	Epoch, Change uint64
	// ListAgeMs is the age of the platform's list that it rests on, or -1.
	ListAgeMs int64
	Runners   []RunnerSnapshot
	// Loading lists the models that are being loaded.
	Loading []LoadSnapshot
	// LoadAgesMs are the ages of the loads that count against the weight store.
	LoadAgesMs []int64
	// Leaving holds the ids of runners that drain or are gone.
	Leaving []string
}

// RunnerSnapshot is a runner in a snapshot.
type RunnerSnapshot struct {
	ID, Service, Address, Zone string
	Slots                      int
	Leaving, Suspect           bool
	Active, Queued             int
	CacheUsed, CacheTotal      int64
	// AgeMs is the age of the state that the runner showed last.
	AgeMs  int64
	Models []ModelSnapshot
	// Disk lists what the runner has on disk beside Models.
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

// loadKey names a model that is being loaded.
type loadKey struct{ service, model string }

// Snapshot makes a snapshot as of the last tick.
func (m *Manager) Snapshot() IndexSnapshot {
	nowMs := m.nowMs
	out := IndexSnapshot{
		Epoch: m.epoch, Change: m.revision, ListAgeMs: m.ListAgeMs(nowMs),
		LoadAgesMs: m.store.AgesMs(nowMs), Leaving: m.LeavingRunners(),
	}
	for _, r := range m.sortedRunners {
		if r.MissedLists > 0 {
			continue
		}
		out.Runners = append(out.Runners, runnerSnapshot(nowMs, r))
		if o := r.Order; o != nil && o.LoadsModel() {
			leftMs := modelLoadLeftMs(nowMs, r, r.Service.Model(o.Model))
			out.Loading = append(out.Loading, LoadSnapshot{r.Service.Name, o.Model, leftMs})
		}
	}
	return out
}

func runnerSnapshot(nowMs int64, r *runnerstate.Runner) RunnerSnapshot {
	out := RunnerSnapshot{
		ID: r.Entry.ID, Service: r.Service.Name, Address: r.Entry.Address, Zone: r.Entry.Zone, Slots: r.Entry.Slots,
		Leaving: r.Leaving, Suspect: r.Suspect, Active: r.State.Active, Queued: r.State.Queued,
		CacheUsed: r.State.CacheUsed, CacheTotal: r.State.CacheTotal, AgeMs: nowMs - r.StateMs,
	}
	for _, name := range sortedKeys(r.Held) {
		if h := r.Held[name]; !h.Unloading {
			out.Models = append(out.Models, modelSnapshot(name, h))
		}
	}
	for _, name := range sortedKeys(r.OnDisk) {
		if r.OnDisk[name] && r.Held[name] == nil {
			out.Disk = append(out.Disk, name)
		}
	}
	return out
}

func modelSnapshot(name string, h *runnerstate.HeldModel) ModelSnapshot {
	out := ModelSnapshot{Name: name}
	for _, adapter := range sortedKeys(h.Adapters) {
		if !h.Adapters[adapter].Unloading {
			out.Adapters = append(out.Adapters, adapter)
		}
	}
	return out
}

// ApplySnapshot takes the primary's snapshot at a follower. One that is older
// than what is known is ignored.
func (m *Manager) ApplySnapshot(nowMs int64, s IndexSnapshot) {
	if m.active || m.isStale(s) {
		return
	}
	newEpoch := s.Epoch > m.epoch
	m.epoch = s.Epoch
	if s.ListAgeMs >= 0 {
		m.indexKnown = true
		m.list.readMs = max(1, nowMs-s.ListAgeMs)
	}
	m.priorLoadAgesMs, m.snapshotMs = s.LoadAgesMs, nowMs
	m.primaryLoads = map[loadKey]LoadSnapshot{}
	for _, load := range s.Loading {
		m.primaryLoads[loadKey{load.Service, load.Model}] = load
	}
	m.applyRunnerSnapshots(nowMs, s.Runners)
	m.leavingMs = map[string]int64{}
	for _, id := range s.Leaving {
		m.leavingMs[id] = nowMs
	}
	// The revision is the primary's, so that replies agree.
	if newEpoch || s.Change > m.revision {
		m.revision = s.Change
	}
}

// isStale says whether a snapshot is older than what is known here, or comes
// from a primary that knows nothing yet.
func (m *Manager) isStale(s IndexSnapshot) bool {
	older := s.Epoch < m.epoch || s.Epoch == m.epoch && s.Change < m.revision && m.indexKnown
	empty := len(s.Runners) == 0 && s.ListAgeMs < 0
	return older || empty && m.indexKnown
}

// applyRunnerSnapshots takes all runners of a snapshot and removes the others.
func (m *Manager) applyRunnerSnapshots(nowMs int64, snapshots []RunnerSnapshot) {
	present := make(map[string]bool, len(snapshots))
	for i := range snapshots {
		present[snapshots[i].ID] = true
		m.applyRunnerSnapshot(nowMs, &snapshots[i])
	}
	for _, r := range slices.Clone(m.sortedRunners) {
		if !present[r.Entry.ID] {
			m.removeRunner(nowMs, r)
		}
	}
}

func (m *Manager) applyRunnerSnapshot(nowMs int64, s *RunnerSnapshot) {
	r := m.runners[s.ID]
	if r == nil {
		r = m.addRunner(protocol.RunnerEntry{ID: s.ID, Service: s.Service})
		m.runnerChanged(r)
	}
	r.Entry.Service, r.Entry.Address, r.Entry.Zone, r.Entry.Slots = s.Service, s.Address, s.Zone, s.Slots
	r.MissedLists = 0
	if s.Leaving {
		m.everLeaving[s.ID] = true
	}
	if r.Leaving != s.Leaving || r.Suspect != s.Suspect {
		r.Leaving, r.Suspect = s.Leaving || r.Leaving, s.Suspect
		m.runnerChanged(r)
	}
	r.State.Active, r.State.Queued, r.State.CacheUsed, r.State.CacheTotal = s.Active, s.Queued, s.CacheUsed, s.CacheTotal
	r.StateMs = nowMs - s.AgeMs
	models := make([]protocol.HeldModel, 0, len(s.Models))
	for _, model := range s.Models {
		models = append(models, protocol.HeldModel{Name: model.Name, Adapters: model.Adapters})
	}
	r.ApplyModels(nowMs, models, m)
	for _, name := range s.Disk {
		r.OnDisk[name] = true
	}
}
