package router

import (
	"maps"
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Counters counts what a router did since its start. It is part of the status page.
type Counters struct {
	Requests uint64
	// LookUps counts the look-ups, one for each request that was not rejected on arrival.
	// LookUpRetries counts the look-ups that were repeated at another controller.
	LookUps       uint64
	LookUpRetries uint64 `json:"LookUpsAgain"`
	// Hits counts the requests for which a holder was cached on arrival, Misses those for which
	// none was, and MissesDelayed the misses that waited for at least 50 ms.
	Hits          uint64
	Misses        uint64
	MissesDelayed uint64 `json:"MissesHeld"`
	// Attempts counts all attempts. Retries counts the attempts after the first one of a request.
	Attempts uint64 `json:"Goes"`
	Retries  uint64 `json:"SecondGoes"`
	// Rejections counts the rejected requests by error kind.
	Rejections map[errkind.Kind]uint64 `json:"Drops"`
}

// Status is the status page of a router, as it is encoded to JSON.
type Status struct {
	Site string `json:"site"`
	Name string `json:"name"`
	// Part is the daemon's role: router.
	Part string `json:"part"`
	// Epoch and Primary are the epoch and the primary that this router knows.
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Revision is the revision of the description in use. Acknowledged identifies the pending
	// description that this router has acknowledged. It is empty if there is none.
	Revision     uint64 `json:"revision"`
	Acknowledged string `json:"held,omitempty"`
	// Usable is true if this router may send requests to runners now. UsableMs is for how much
	// longer it may send them. UsableMs is 0 or negative if Usable is false.
	Usable   bool  `json:"usable"`
	Stopping bool  `json:"stopping"`
	Retired  bool  `json:"retired"`
	UsableMs int64 `json:"usableMs"`
	// DrainingAgeMs is the age of the router's information about draining runners.
	DrainingAgeMs int64 `json:"wordAgeMs"`
	// ActiveRequests is the number of requests that are queued or in flight.
	ActiveRequests int                      `json:"waiting"`
	Leaving        []protocol.LeavingRunner `json:"leaving"`
	Cache          []EntryStatus            `json:"cache"`
	Counters       Counters                 `json:"tally"`
}

// EntryStatus is an entry of the cache: the holders of a key.
type EntryStatus struct {
	Key     string            `json:"key"`
	At      protocol.Position `json:"at"`
	AgeMs   int64             `json:"ageMs"`
	Runners []string          `json:"runners"`
}

// status returns the status page, which shares no memory with the machine.
func (m *Machine) status() Status {
	status := Status{
		Site: m.settings.Site, Name: m.settings.Self.Name, Part: m.settings.Self.Part,
		Epoch: m.epoch, Primary: m.primary, Revision: m.revision, Acknowledged: m.pendingDigest,
		Usable: m.maySendNow(), Stopping: m.draining, Retired: m.retired,
		UsableMs: m.maySendUntil() - m.nowMs, DrainingAgeMs: m.nowMs - m.drainingAsOfMs,
		ActiveRequests: len(m.requests), Counters: m.Counters,
	}
	status.Counters.Rejections = map[errkind.Kind]uint64{}
	maps.Copy(status.Counters.Rejections, m.Counters.Rejections)
	for runner := range m.drainingProcesses {
		status.Leaving = append(status.Leaving, runner)
	}
	sort.Slice(status.Leaving, func(i, j int) bool { return status.Leaving[i].Runner < status.Leaving[j].Runner })
	for key, entry := range m.cache {
		line := EntryStatus{Key: key.String(), At: entry.position, AgeMs: m.nowMs - entry.asOfMs}
		for _, holder := range entry.holders {
			line.Runners = append(line.Runners, holder.Runner)
		}
		status.Cache = append(status.Cache, line)
	}
	sort.Slice(status.Cache, func(i, j int) bool { return status.Cache[i].Key < status.Cache[j].Key })
	return status
}
