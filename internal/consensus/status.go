package consensus

import "myrtlewinch/internal/protocol"

// MemberStatus is the part of the status page about this controller as a member of the
// site and about its peers.
type MemberStatus struct {
	Role         string
	DiskFailed   bool
	Retired      bool
	WitnessBlank bool
	// UnresponsiveWitnesses are the names of the witnesses that were unresponsive for longer
	// than Settings.WitnessTimeoutMs. Only the primary fills it in.
	UnresponsiveWitnesses []string
	Peers                 []PeerStatus
}

// PeerStatus is a peer and how long ago, in ms, it was last known to be alive. The time is
// -1 if the peer was never known to be alive.
type PeerStatus struct {
	protocol.Node
	AgoMs int64 `json:"agoMs"`
}

// MemberStatus returns what this daemon knows of itself and of its peers.
func (h host) MemberStatus() MemberStatus {
	m := h.m
	status := MemberStatus{
		Role: m.election.Role.String(), DiskFailed: m.disk.failed, Retired: m.retired, WitnessBlank: m.witness.acceptor.Blank(),
	}
	for _, witness := range m.unresponsiveWitnesses() {
		status.UnresponsiveWitnesses = append(status.UnresponsiveWitnesses, witness.Name)
	}
	for _, node := range m.detector.Nodes() {
		if node.Name == m.settings.Self.Name {
			continue
		}
		agoMs, seen := m.detector.SinceSeenMs(m.nowMs, node.Name)
		if !seen {
			agoMs = -1
		}
		status.Peers = append(status.Peers, PeerStatus{node, agoMs})
	}
	return status
}
