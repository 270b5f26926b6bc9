package placement

import (
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// IndexSnapshot is a compact form of the primary's state, from which a follower answers
// look-ups. It and the types in it are sent as gob, which matches fields by name.
type IndexSnapshot struct {
	// Epoch is the primary's epoch, and Change the revision of its index.
	Epoch, Change uint64
	// ListAgeMs is the age of the runner list that the snapshot is based on, or -1 if none was
	// read.
	ListAgeMs int64
	Runners   []RunnerSnapshot
	// Loading lists the models that are being loaded.
	Loading []LoadSnapshot
	// LoadAgesMs holds the ages of the loads that count against the weight store's rate limit.
	LoadAgesMs []int64
	// Leaving holds the ids of runners that are draining or gone.
	Leaving []string
}

// RunnerSnapshot is a runner in a snapshot. Leaving is true if it is draining.
type RunnerSnapshot struct {
	ID, Service, Address, Zone string
	Slots                      int
	Leaving, Suspect           bool
	Active, Queued             int
	CacheUsed, CacheTotal      int64
	// AgeMs is the age of the runner's last state.
	AgeMs  int64
	Models []ModelSnapshot
	// Disk lists the models that the runner has on disk and that are not in Models.
	Disk []string
}

// ModelSnapshot is a model that a runner offers.
type ModelSnapshot struct {
	Name     string
	Adapters []string
}

// LoadSnapshot is a load in progress. LeftMs is the expected time until it ends.
type LoadSnapshot struct {
	Service, Model string
	LeftMs         int64
}

// loadKey identifies a model that is being loaded.
type loadKey struct{ service, model string }

// Snapshot returns a snapshot as of the last tick.
func (m *Manager) Snapshot() IndexSnapshot {
	nowMs := m.nowMs
	out := IndexSnapshot{
		Epoch: m.epoch, Change: m.revision, ListAgeMs: m.ListAgeMs(nowMs),
		LoadAgesMs: m.storeLimiter.AgesMs(nowMs), Leaving: m.LeavingRunners(),
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
		Leaving: r.Draining, Suspect: r.Suspect, Active: r.State.Active, Queued: r.State.Queued,
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

// ApplySnapshot applies the primary's snapshot on a follower. A stale one is ignored.
func (m *Manager) ApplySnapshot(nowMs int64, s IndexSnapshot) {
	if m.active || m.isStale(s) {
		return
	}
	newEpoch := s.Epoch > m.epoch
	m.epoch = s.Epoch
	if s.ListAgeMs >= 0 {
		m.indexKnown = true
		m.runnerList.readMs = max(1, nowMs-s.ListAgeMs)
	}
	m.priorLoadAgesMs, m.snapshotMs = s.LoadAgesMs, nowMs
	m.primaryLoads = map[loadKey]LoadSnapshot{}
	for _, load := range s.Loading {
		m.primaryLoads[loadKey{load.Service, load.Model}] = load
	}
	m.applyRunnerSnapshots(nowMs, s.Runners)
	m.leavingSeenMs = map[string]int64{}
	for _, id := range s.Leaving {
		m.leavingSeenMs[id] = nowMs
	}
	// The revision is the primary's, so that replies of all daemons are comparable.
	if newEpoch || s.Change > m.revision {
		m.revision = s.Change
	}
}

// isStale reports whether a snapshot is older than the current state. If the index is known
// here, a snapshot from a primary that has neither runners nor a list yet counts as stale too.
func (m *Manager) isStale(s IndexSnapshot) bool {
	older := s.Epoch < m.epoch || s.Epoch == m.epoch && s.Change < m.revision && m.indexKnown
	empty := len(s.Runners) == 0 && s.ListAgeMs < 0
	return older || empty && m.indexKnown
}

// applyRunnerSnapshots applies the runners of a snapshot and removes all others.
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
		m.drainingSeen[s.ID] = true
	}
	if r.Draining != s.Leaving || r.Suspect != s.Suspect {
		r.Draining, r.Suspect = s.Leaving || r.Draining, s.Suspect
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
