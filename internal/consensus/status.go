package consensus

import (
	"sort"

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
	Peers    []PeerStatus             `json:"fellows"`
	Rows     []*ledger.Row            `json:"rows"`
	Leaving  []protocol.LeavingRunner `json:"leaving"`
	Platform int64                    `json:"platformAgeMs"`
	Routers  []RouterStatus           `json:"routers"`
}

// PeerStatus is a peer and when it was last heard of (-1: never).
type PeerStatus struct {
	protocol.Node
	AgoMs int64 `json:"agoMs"`
}

// RouterStatus is a router's hold as the primary counts it.
type RouterStatus struct {
	Name   string `json:"name"`
	HeldMs int64  `json:"heldMs"`
	Acked  string `json:"acked,omitempty"`
}

// Described answers a look at the description.
type Described struct {
	Revision ledger.Revision
	Sure     bool
	Primary  string
	Past     []ledger.Past
}

func (m *Machine) look(in Look) {
	if in.Page != "status" {
		revision := m.state.Revision
		if m.isPrimary() {
			revision = m.offer.current
		}
		m.answer(in.ID, Described{Revision: revision, Sure: m.active(), Primary: m.record.Primary, Past: append([]ledger.Past{}, m.state.Past...)})
		return
	}
	s := Status{
		Site: m.set.Site, Name: m.set.Self.Name, Part: m.set.Self.Part, Incarnation: m.set.Self.Incarnation,
		Role: roleNames[m.election.role], Active: m.active(), Orders: m.mayOrder(), DiskBroken: m.broken, Retired: m.retired,
		WitnessBlank: m.witness.Blank(), Record: m.record, Position: m.state.Position, Revision: m.state.Revision.Number,
		LookUps: m.index.looked, Platform: -1,
	}
	for _, seat := range m.away() {
		s.Away = append(s.Away, seat.Name)
	}
	if m.offer.pending != nil {
		s.Pending = m.offer.pending.number
	}
	for _, place := range m.roster.Nodes() {
		agoMs, seen := m.roster.SilentMs(m.nowMs, place.Name)
		if !seen {
			agoMs = -1
		}
		if place.Name != m.set.Self.Name {
			s.Peers = append(s.Peers, PeerStatus{place, agoMs})
		}
	}
	// The page is read on another thread, so it gets rows of its own.
	copied := ledger.New()
	_ = copied.Take(m.state.Rowset())
	for _, row := range copied.Rows {
		s.Rows = append(s.Rows, row)
	}
	sort.Slice(s.Rows, func(i, j int) bool { return s.Rows[i].Runner < s.Rows[j].Runner })
	s.Leaving = m.duty.marks(m.state)
	if m.isPrimary() && m.duty.platformOkMs > 0 {
		s.Platform = m.nowMs - m.duty.platformOkMs
	}
	for seat, hold := range m.offer.holds {
		s.Routers = append(s.Routers, RouterStatus{seat.Name, hold.untilMs - m.nowMs, hold.acked})
	}
	sort.Slice(s.Routers, func(i, j int) bool { return s.Routers[i].Name < s.Routers[j].Name })
	m.answer(in.ID, s)
}
