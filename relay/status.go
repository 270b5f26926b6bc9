package relay

import "myrtlewinch/defect"

// Tally counts what a router did.
type Tally struct {
	Requests, LookUps, LookUpsAgain, Hits, Misses, MissesHeld uint64
	Goes, SecondGoes, Resumes                                 uint64
	Drops                                                     map[defect.Kind]uint64
}

// Status is the status page of a router.
type Status struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Epoch    uint64 `json:"epoch"`
	Primary  string `json:"primary"`
	HeardMs  int64  `json:"heard_ms_ago"`
	Routers  int    `json:"routers"`
	Leaving  bool   `json:"leaving"`
	Entries  int    `json:"entries"`
	Runners  int    `json:"runners"`
	Requests int    `json:"requests"`
	Waiting  int    `json:"waiting"`
	Tally    Tally  `json:"tally"`
}

func (m *Machine) status() Status {
	tally := m.Tally
	tally.Drops = map[defect.Kind]uint64{}
	for kind, count := range m.Tally.Drops {
		tally.Drops[kind] = count
	}
	return Status{
		Name: m.set.Self.Name, Version: m.version, Epoch: m.epoch, Primary: m.primary, HeardMs: m.nowMs - m.heardMs,
		Routers: m.routers, Leaving: m.leaving, Entries: len(m.cache), Runners: len(m.runners),
		Requests: len(m.requests), Waiting: len(m.waiting), Tally: tally,
	}
}
