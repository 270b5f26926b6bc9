package controller

import (
	"myrtlewinch/internal/placement"
	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/protocol"
)

// The messages between controllers. They are gob-encoded, which matches fields
// by name, so the names of exported fields are part of the wire format.

// IndexSnapshot is the primary's index. The other controllers answer look-ups
// from it; they decide nothing by it.
type IndexSnapshot struct {
	// Epoch is that of the primary.
	Epoch uint64
	// Sequence grows with each snapshot of the primary.
	Sequence uint64
	Ledger   placement.IndexSnapshot
}

// DemandReport reports to the primary which look-ups another controller has answered
// since its last report.
type DemandReport struct{ Counts demand.Counts }

// snapshotVersion orders snapshots. The zero value is older than all of them.
type snapshotVersion struct{ epoch, sequence uint64 }

// advance moves to the version of a snapshot and returns true if that is newer.
// Applying an older one, which was overtaken on its way, would bring back
// runners that have left.
func (v *snapshotVersion) advance(snapshot IndexSnapshot) bool {
	isOlderEpoch := snapshot.Epoch < v.epoch
	isRepeated := snapshot.Epoch == v.epoch && snapshot.Sequence <= v.sequence
	if isOlderEpoch || isRepeated {
		return false
	}
	*v = snapshotVersion{snapshot.Epoch, snapshot.Sequence}
	return true
}

// The names of the messages on the wire. They are constants of their own, so
// that the Go names can change while daemons of the release before are running.
const (
	indexSnapshotWireName = "myrtlewinch/steward.Soft"
	demandReportWireName  = "myrtlewinch/steward.Demand"
)

func init() {
	protocol.RegisterMessage(indexSnapshotWireName, IndexSnapshot{})
	protocol.RegisterMessage(demandReportWireName, DemandReport{})
}

// PeerMessage marks IndexSnapshot as a message between daemons.
func (IndexSnapshot) PeerMessage() {}

// PeerMessage marks DemandReport as a message between daemons.
func (DemandReport) PeerMessage() {}
