package router

import (
	"maps"
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// StatusQuery asks for the status.
type StatusQuery struct{ ID uint64 }

// Status is what a router believes.
type Status struct {
	Site     string                   `json:"site"`
	Name     string                   `json:"name"`
	Part     string                   `json:"part"`
	Epoch    uint64                   `json:"epoch"`
	Primary  string                   `json:"primary"`
	Revision uint64                   `json:"revision"`
	Held     string                   `json:"held,omitempty"`
	Usable   bool                     `json:"usable"`
	Stopping bool                     `json:"stopping"`
	Retired  bool                     `json:"retired"`
	UsableMs int64                    `json:"usableMs"`
	WordMs   int64                    `json:"wordAgeMs"`
	Waiting  int                      `json:"waiting"`
	Leaving  []protocol.LeavingRunner `json:"leaving"`
	Cache    []EntryStatus            `json:"cache"`
	Counters Counters                 `json:"tally"`
}

// EntryStatus is a cached entry.
type EntryStatus struct {
	Key     string            `json:"key"`
	At      protocol.Position `json:"at"`
	AgeMs   int64             `json:"ageMs"`
	Runners []string          `json:"runners"`
}

func (m *Machine) reportStatus(in StatusQuery) {
	s := Status{
		Site: m.settings.Site, Name: m.settings.Self.Name, Part: m.settings.Self.Part, Epoch: m.epoch, Primary: m.primary,
		Revision: m.revision, Held: m.pendingDigest, Usable: m.maySendNow(), Stopping: m.draining, Retired: m.retired,
		UsableMs: m.maySendUntil() - m.nowMs, WordMs: m.nowMs - m.drainingAsOfMs, Waiting: len(m.requests), Counters: m.Counters,
	}
	s.Counters.Rejections = map[errkind.Kind]uint64{}
	maps.Copy(s.Counters.Rejections, m.Counters.Rejections)
	for mark := range m.drained {
		s.Leaving = append(s.Leaving, mark)
	}
	sort.Slice(s.Leaving, func(i, j int) bool { return s.Leaving[i].Runner < s.Leaving[j].Runner })
	for key, e := range m.cache {
		line := EntryStatus{Key: key.String(), At: e.position, AgeMs: m.nowMs - e.asOfMs}
		for _, h := range e.holders {
			line.Runners = append(line.Runners, h.Runner)
		}
		s.Cache = append(s.Cache, line)
	}
	sort.Slice(s.Cache, func(i, j int) bool { return s.Cache[i].Key < s.Cache[j].Key })
	m.answer(in.ID, s)
}
