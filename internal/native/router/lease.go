package router

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// extendAfterMs is how long the primary must be silent before the peers are
// asked to extend the lease.
const extendAfterMs = 1000

// knowsNothingNewer reports whether this router knows of no revision above its
// own, neither in force nor pending.
func (m *Machine) knowsNothingNewer() bool {
	return m.description != nil && m.pendingDigest == "" && m.highestSeenRevision <= m.revision
}

// isMember reports whether the description in use lists the router.
func (m *Machine) isMember(name string) bool {
	for i := range m.description.Routers {
		if m.description.Routers[i].Name == name {
			return true
		}
	}
	return false
}

// extendLease asks the routers of the description in use to extend this one's
// lease while the primary is silent. If a majority has acknowledged no higher
// revision, none can be in force.
func (m *Machine) extendLease() {
	if !m.knowsNothingNewer() || m.nowMs-m.primaryConfirmedMs <= extendAfterMs || m.nowMs-m.lastExtendMs < pollEachMs {
		return
	}
	m.lastExtendMs = m.nowMs
	for _, member := range m.description.Routers {
		if node, known := m.detector.Node(member.Name); known && member.Name != m.settings.Self.Name {
			m.outbox.Send(node, protocol.ExtendLease{EchoMs: m.nowMs, Revision: m.revision})
		}
	}
	m.recordExtension(m.settings.Self.Name, m.nowMs)
}

// grantExtension extends a peer's lease. The primary learns of what was
// granted with the acknowledgement of the next revision, after which nothing
// is granted.
func (m *Machine) grantExtension(from protocol.Node, request protocol.ExtendLease) {
	if !m.knowsNothingNewer() || request.Revision != m.revision {
		return
	}
	if !m.isMember(from.Name) || !m.isMember(m.settings.Self.Name) {
		return
	}
	m.extensionsUntilMs = max(m.extensionsUntilMs, m.nowMs+leaseMs)
	m.outbox.Send(from, protocol.ExtendLeaseReply{EchoMs: request.EchoMs, For: from.Incarnation, Revision: request.Revision})
}

// extensionGranted takes a peer's extension of this router's lease.
func (m *Machine) extensionGranted(from protocol.Node, reply protocol.ExtendLeaseReply) {
	if !m.knowsNothingNewer() || reply.Revision != m.revision {
		return
	}
	if reply.For != m.settings.Self.Incarnation || reply.EchoMs > m.nowMs {
		return
	}
	m.recordExtension(from.Name, reply.EchoMs)
}

// recordExtension notes that a router granted the extension requested at
// requestedMs. The lease runs from the latest time that a majority of the
// routers, this one included, has granted.
func (m *Machine) recordExtension(router string, requestedMs int64) {
	m.extensions[router] = max(m.extensions[router], requestedMs)
	var granted []int64
	for _, member := range m.description.Routers {
		if grantedMs, ok := m.extensions[member.Name]; ok {
			granted = append(granted, grantedMs)
		}
	}
	majority := len(m.description.Routers)/2 + 1
	if len(granted) < majority {
		return
	}
	slices.Sort(granted)
	m.leaseUntilMs = max(m.leaseUntilMs, granted[len(granted)-majority]+leaseMs)
}
