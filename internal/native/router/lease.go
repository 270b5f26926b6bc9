package router

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// extendAfterMs is how long the primary is silent before peers are asked.
const extendAfterMs = 1000

// knowsNothingNewer says whether this router knows of nothing newer than its revision.
func (m *Machine) knowsNothingNewer() bool {
	return m.description != nil && m.pendingDigest == "" && m.highestSeenRevision <= m.revision
}

func (m *Machine) isMember(name string) bool {
	for _, member := range m.description.Routers {
		if member.Name == name {
			return true
		}
	}
	return false
}

// extendLease asks the peer routers of the description in use to renew this
// one's hold while the primary is silent. A majority of them that has
// acknowledged nothing newer shows that nothing newer can be in force.
func (m *Machine) extendLease() {
	if !m.knowsNothingNewer() || m.nowMs-m.primaryConfirmedMs <= extendAfterMs || m.nowMs-m.lastExtendMs < pollEachMs {
		return
	}
	m.lastExtendMs = m.nowMs
	for _, member := range m.description.Routers {
		if place, ok := m.detector.Node(member.Name); ok && member.Name != m.settings.Self.Name {
			m.send(place, protocol.ExtendLease{EchoMs: m.nowMs, Revision: m.revision})
		}
	}
	m.recordExtension(m.settings.Self.Name, m.nowMs)
}

// grantExtension renews a peer's hold. What is given is told to the primary
// with the acknowledgement of a next revision, and none is given after it.
func (m *Machine) grantExtension(from protocol.Node, ask protocol.ExtendLease) {
	if !m.knowsNothingNewer() || ask.Revision != m.revision || !m.isMember(from.Name) || !m.isMember(m.settings.Self.Name) {
		return
	}
	m.extensionsUntilMs = max(m.extensionsUntilMs, m.nowMs+leaseMs)
	m.send(from, protocol.ExtendLeaseReply{EchoMs: ask.EchoMs, For: from.Incarnation, Revision: ask.Revision})
}

func (m *Machine) extensionGranted(from protocol.Node, said protocol.ExtendLeaseReply) {
	if !m.knowsNothingNewer() || said.For != m.settings.Self.Incarnation || said.Revision != m.revision || said.EchoMs > m.nowMs {
		return
	}
	m.recordExtension(from.Name, said.EchoMs)
}

// recordExtension counts the renewals of peers, and of itself, from when they were
// asked for: the hold runs from the latest that a majority has granted.
func (m *Machine) recordExtension(name string, askedMs int64) {
	m.extensions[name] = max(m.extensions[name], askedMs)
	var asked []int64
	for _, member := range m.description.Routers {
		if at, ok := m.extensions[member.Name]; ok {
			asked = append(asked, at)
		}
	}
	most := len(m.description.Routers)/2 + 1
	if len(asked) < most {
		return
	}
	slices.Sort(asked)
	m.leaseUntilMs = max(m.leaseUntilMs, asked[len(asked)-most]+leaseMs)
}
