package controller

import (
	"sort"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// Look asks for a page: "status", "description", "history" or "soundness".
type Look struct {
	ID   uint64
	Page string
}

// Status is what a controller believes.
type Status struct {
	Site         string               `json:"site"`
	Name         string               `json:"name"`
	Part         string               `json:"part"`
	Incarnation  string               `json:"incarnation"`
	Role         string               `json:"role"`
	Active       bool                 `json:"active"`
	Orders       bool                 `json:"orders"`
	DiskBroken   bool                 `json:"diskBroken"`
	Retired      bool                 `json:"retired"`
	WitnessBlank bool                 `json:"witnessBlank"`
	Record       protocol.EpochRecord `json:"record"`
	// Away lists the witnesses that the primary misses for long.
	Away     []string                 `json:"witnessesAway"`
	Position protocol.Position        `json:"position"`
	Revision uint64                   `json:"revision"`
	Pending  uint64                   `json:"pending"`
	LookUps  uint64                   `json:"lookUps"`
	Peers    []consensus.PeerStatus   `json:"fellows"`
	Rows     []*ledger.RunnerRow      `json:"rows"`
	Leaving  []protocol.LeavingRunner `json:"leaving"`
	Platform int64                    `json:"platformAgeMs"`
	Routers  []RouterStatus           `json:"routers"`
}

// RouterStatus is a router's hold as the primary counts it.
type RouterStatus struct {
	Name   string `json:"name"`
	HeldMs int64  `json:"heldMs"`
	Acked  string `json:"acked,omitempty"`
}

// DescriptionReply answers a look at the description.
type DescriptionReply struct {
	Revision      ledger.Revision
	Authoritative bool
	Primary       string
	History       []ledger.HistoryEntry
}

func (a *application) handlePageRequest(in Look) {
	if in.Page != "status" {
		revision := a.state().Revision
		if a.host.IsPrimary() {
			revision = a.proposals.current
		}
		a.host.Answer(in.ID, DescriptionReply{Revision: revision, Authoritative: a.host.Active(), Primary: a.host.Record().Primary, History: append([]ledger.HistoryEntry{}, a.state().History...)})
		return
	}
	member := a.host.MemberStatus()
	s := Status{
		Site: a.settings.Site, Name: a.host.Self().Name, Part: a.host.Self().Part, Incarnation: a.host.Self().Incarnation,
		Role: member.Role, Active: a.host.Active(), Orders: a.mayOrder(), DiskBroken: member.DiskBroken, Retired: member.Retired,
		WitnessBlank: member.WitnessBlank, Record: a.host.Record(), Away: member.Away, Peers: member.Peers, Position: a.host.Position(), Revision: a.state().Revision.Number,
		LookUps: a.index.lookUps, Platform: -1,
	}
	if a.proposals.pending != nil {
		s.Pending = a.proposals.pending.number
	}
	// The page is read on another thread, so it gets rows of its own.
	for _, row := range a.state().Copy().Rows {
		s.Rows = append(s.Rows, row)
	}
	sort.Slice(s.Rows, func(i, j int) bool { return s.Rows[i].Runner < s.Rows[j].Runner })
	s.Leaving = a.primary.leavingRunners(a.state())
	if a.host.IsPrimary() && a.primary.listReceivedMs > 0 {
		s.Platform = a.host.NowMs() - a.primary.listReceivedMs
	}
	for seat, hold := range a.proposals.leases {
		s.Routers = append(s.Routers, RouterStatus{seat.Name, hold.untilMs - a.host.NowMs(), hold.acknowledged})
	}
	sort.Slice(s.Routers, func(i, j int) bool { return s.Routers[i].Name < s.Routers[j].Name })
	a.host.Answer(in.ID, s)
}
