package proxy

import (
	"maps"

	"myrtlewinch/internal/errkind"
)

// Counters counts what a router did since its start. They are part of the
// status page.
type Counters struct {
	// Requests counts the requests that arrived, LookUps those whose route was
	// found and that were therefore looked up, once each.
	Requests uint64
	LookUps  uint64
	// LookUpRetries counts look-ups that were repeated at another controller.
	LookUpRetries uint64 `json:"LookUpsAgain"`
	// Hits counts the looked-up requests for which a runner was known on arrival, even if
	// it was full. Misses counts the other looked-up requests.
	Hits   uint64
	Misses uint64
	// MissesDelayed counts the misses that waited for at least 50 ms.
	MissesDelayed uint64 `json:"MissesHeld"`
	// Attempts counts all attempts. Retries counts the attempts after the first one of a
	// request. Resumes counts the attempts that continue a stream after the client has
	// received a part of it.
	Attempts uint64 `json:"Goes"`
	Retries  uint64 `json:"SecondGoes"`
	Resumes  uint64
	// Rejections counts the rejected requests by error kind, and the aborted streams
	// under abortedStreams.
	Rejections map[errkind.Kind]uint64 `json:"Drops"`
}

// abortedStreams is the key of Counters.Rejections for aborted streams.
const abortedStreams errkind.Kind = "stream broken off"

// Status is the status page of a router, as it is encoded to JSON.
type Status struct {
	// Name is the router's name in the settings.
	Name string `json:"name"`
	// Version is the version of the active configuration, or 0 if there is none.
	Version uint64 `json:"version"`
	// Epoch and Primary are the epoch and the primary of the control plane that
	// this router knows.
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// PrimaryContactAgeMs is the age of the last poll that the primary answered.
	PrimaryContactAgeMs int64 `json:"heard_ms_ago"`
	// Routers is the number of routers of the site according to the primary's last
	// report, or 0 before its first report.
	Routers int `json:"routers"`
	// Draining is true while a planned shutdown is in progress.
	Draining bool `json:"leaving"`
	// Entries is the number of cached index entries.
	Entries int `json:"entries"`
	// Runners is the number of runners whose load is tracked.
	Runners int `json:"runners"`
	// Requests is the number of unfinished requests, Waiting the number of queued ones
	// among them.
	Requests int      `json:"requests"`
	Waiting  int      `json:"waiting"`
	Counters Counters `json:"tally"`
}

// status returns the status page; it shares no memory with the machine.
func (m *Machine) status() Status {
	counters := m.Counters
	counters.Rejections = map[errkind.Kind]uint64{}
	maps.Copy(counters.Rejections, m.Counters.Rejections)
	return Status{
		Name: m.settings.Self.Name, Version: m.configVersion, Epoch: m.epoch, Primary: m.primary,
		PrimaryContactAgeMs: m.nowMs - m.primaryConfirmedMs, Routers: m.routerCount, Draining: m.shutdown.draining,
		Entries: m.cache.len(), Runners: len(m.runners), Requests: len(m.requests), Waiting: len(m.queue),
		Counters: counters,
	}
}
