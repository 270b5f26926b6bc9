package router

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// prolongAfterMs is how long the primary is silent before peers are asked.
const prolongAfterMs = 1000

// steady says whether this router knows of nothing newer than its revision.
func (m *Machine) steady() bool {
	return m.described != nil && m.heldSum == "" && m.higher <= m.revision
}

func (m *Machine) listed(name string) bool {
	for _, member := range m.described.Routers {
		if member.Name == name {
			return true
		}
	}
	return false
}

// prolong asks the peer routers of the description in use to renew this
// one's hold while the primary is silent. A majority of them that has
// acknowledged nothing newer shows that nothing newer can be in force.
func (m *Machine) prolong() {
	if !m.steady() || m.nowMs-m.echoMs <= prolongAfterMs || m.nowMs-m.prolongMs < askMs {
		return
	}
	m.prolongMs = m.nowMs
	for _, member := range m.described.Routers {
		if place, ok := m.roster.Node(member.Name); ok && member.Name != m.set.Self.Name {
			m.send(place, protocol.ExtendLease{EchoMs: m.nowMs, Revision: m.revision})
		}
	}
	m.grant(m.set.Self.Name, m.nowMs)
}

// giveProlong renews a peer's hold. What is given is told to the primary
// with the acknowledgement of a next revision, and none is given after it.
func (m *Machine) giveProlong(from protocol.Node, ask protocol.ExtendLease) {
	if !m.steady() || ask.Revision != m.revision || !m.listed(from.Name) || !m.listed(m.set.Self.Name) {
		return
	}
	m.givenUntilMs = max(m.givenUntilMs, m.nowMs+wordHoldMs)
	m.send(from, protocol.ExtendLeaseReply{EchoMs: ask.EchoMs, For: from.Incarnation, Revision: ask.Revision})
}

func (m *Machine) takeProlonged(from protocol.Node, said protocol.ExtendLeaseReply) {
	if !m.steady() || said.For != m.set.Self.Incarnation || said.Revision != m.revision || said.EchoMs > m.nowMs {
		return
	}
	m.grant(from.Name, said.EchoMs)
}

// grant counts the renewals of peers, and of itself, from when they were
// asked for: the hold runs from the latest that a majority has granted.
func (m *Machine) grant(name string, askedMs int64) {
	m.prolonged[name] = max(m.prolonged[name], askedMs)
	var asked []int64
	for _, member := range m.described.Routers {
		if at, ok := m.prolonged[member.Name]; ok {
			asked = append(asked, at)
		}
	}
	most := len(m.described.Routers)/2 + 1
	if len(asked) < most {
		return
	}
	slices.Sort(asked)
	m.revUntilMs = max(m.revUntilMs, asked[len(asked)-most]+wordHoldMs)
}
