package controller

import (
	"myrtlewinch/internal/placement"
	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/protocol"
)

// The messages between controllers. They are gob-encoded, which matches fields
// by name, so the names of exported fields are part of the wire format.

// IndexSnapshot is the primary's index. The other controllers use it only to answer
// look-ups, not to make placement decisions.
type IndexSnapshot struct {
	// Epoch is the primary's epoch.
	Epoch uint64
	// Sequence increases with each snapshot of the primary.
	Sequence uint64
	// Ledger is the index.
	Ledger placement.IndexSnapshot
}

// DemandReport reports to the primary the demand from the look-ups that another
// controller has answered since its last report.
type DemandReport struct{ Counts demand.Counts }

// snapshotVersion orders snapshots. The zero value is older than all of them.
type snapshotVersion struct{ epoch, sequence uint64 }

// advance moves to the version of a snapshot and returns true if that is newer.
// Applying an older one, which arrived out of order, would bring back runners that
// have left.
func (v *snapshotVersion) advance(snapshot IndexSnapshot) bool {
	isOlderEpoch := snapshot.Epoch < v.epoch
	isRepeated := snapshot.Epoch == v.epoch && snapshot.Sequence <= v.sequence
	if isOlderEpoch || isRepeated {
		return false
	}
	*v = snapshotVersion{snapshot.Epoch, snapshot.Sequence}
	return true
}

// The names of the messages on the wire, kept from earlier releases. They are independent
// of the Go names, which can therefore change while daemons of the previous release are
// running.
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
