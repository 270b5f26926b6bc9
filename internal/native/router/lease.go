package router

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// extendAfterMs is how long the primary must be unresponsive before this router asks its peers
// to extend the lease.
const extendAfterMs = 1000

// knowsNoNewerRevision reports whether this router has a description and knows of no higher
// revision, active or pending.
func (m *Machine) knowsNoNewerRevision() bool {
	return m.description != nil && m.pendingDigest == "" && m.highestSeenRevision <= m.revision
}

// isListedRouter reports whether the description in use lists the router.
func (m *Machine) isListedRouter(name string) bool {
	for i := range m.description.Routers {
		if m.description.Routers[i].Name == name {
			return true
		}
	}
	return false
}

// extendLease asks the routers of the description in use to extend this one's lease while the
// primary is unresponsive. As long as a majority has acknowledged no higher revision, none can
// be active.
func (m *Machine) extendLease() {
	if !m.knowsNoNewerRevision() || m.nowMs-m.primaryConfirmedMs <= extendAfterMs || m.nowMs-m.lastExtendMs < pollIntervalMs {
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

// grantExtension extends a peer's lease. When this router acknowledges the next revision, it also
// reports to the primary how long the extensions that it granted are still valid. After it has
// acknowledged, it grants none.
func (m *Machine) grantExtension(from protocol.Node, request protocol.ExtendLease) {
	if !m.knowsNoNewerRevision() || request.Revision != m.revision {
		return
	}
	if !m.isListedRouter(from.Name) || !m.isListedRouter(m.settings.Self.Name) {
		return
	}
	m.extensionsUntilMs = max(m.extensionsUntilMs, m.nowMs+leaseMs)
	m.outbox.Send(from, protocol.ExtendLeaseReply{EchoMs: request.EchoMs, For: from.Incarnation, Revision: request.Revision})
}

// handleExtension handles a peer's extension of this router's lease.
func (m *Machine) handleExtension(from protocol.Node, reply protocol.ExtendLeaseReply) {
	if !m.knowsNoNewerRevision() || reply.Revision != m.revision {
		return
	}
	if reply.For != m.settings.Self.Incarnation || reply.EchoMs > m.nowMs {
		return
	}
	m.recordExtension(from.Name, reply.EchoMs)
}

// recordExtension records that a router granted the extension that was requested at
// requestedMs. The lease starts at the latest time T such that a majority of the routers,
// including this one, has granted an extension that was requested at T or later.
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
