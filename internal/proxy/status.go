package proxy

import "myrtlewinch/internal/errkind"

// Counters holds the counters of a router since its start.
type Counters struct {
	// Of the requests that were looked up, on arrival Hits had a runner, be it
	// a full one, and Misses had none. MissesDelayed counts the misses
	// that waited for at least missDelayedMs, LookUpRetries the look-ups repeated at
	// another controller.
	Requests      uint64
	LookUps       uint64
	LookUpRetries uint64 `json:"LookUpsAgain"`
	Hits          uint64
	Misses        uint64
	MissesDelayed uint64 `json:"MissesHeld"`
	// Attempts counts attempts, Retries those after the first of a request, and
	// Resumes those that continue a stream the client has a part of.
	Attempts uint64 `json:"Goes"`
	Retries  uint64 `json:"SecondGoes"`
	Resumes  uint64
	// Rejections counts the rejected requests by error kind, and broken-off streams.
	Rejections map[errkind.Kind]uint64 `json:"Drops"`
}

// Status is the status page of a router, as it is encoded to JSON.
type Status struct {
	Name string `json:"name"`
	// Version is that of the service map in use; Epoch and Primary are those
	// of the control plane as this router knows them.
	Version uint64 `json:"version"`
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// HeardMs is the age of the question that the primary answered last.
	HeardMs int64 `json:"heard_ms_ago"`
	// Routers is how many routers the site has, as the primary said last.
	Routers int  `json:"routers"`
	Leaving bool `json:"leaving"`
	// Entries, Runners, Requests and Waiting are the sizes of the cache, of the
	// runners' states, of all requests under way and of their waiting part.
	Entries  int      `json:"entries"`
	Runners  int      `json:"runners"`
	Requests int      `json:"requests"`
	Waiting  int      `json:"waiting"`
	Counters Counters `json:"tally"`
}

// status returns the status page; it shares nothing with the machine.
func (m *Machine) status() Status {
	tally := m.Counters
	tally.Rejections = map[errkind.Kind]uint64{}
	for kind, count := range m.Counters.Rejections {
		tally.Rejections[kind] = count
	}
	return Status{
		Name: m.settings.Self.Name, Version: m.mapVersion, Epoch: m.epoch, Primary: m.primary, HeardMs: m.nowMs - m.primaryConfirmedMs,
		Routers: m.routerCount, Leaving: m.draining, Entries: len(m.cache), Runners: len(m.runners),
		Requests: len(m.requests), Waiting: len(m.queue), Counters: tally,
	}
}
