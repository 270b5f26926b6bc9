package controller

import (
	"encoding/gob"

	"myrtlewinch/internal/placement"
	"myrtlewinch/internal/placement/demand"
)

// IndexSnapshot tells the other controllers what the primary's ledger holds. It is a
// hint: they answer look-ups from it and decide nothing by it.
type IndexSnapshot struct {
	Epoch uint64
	// Sequence grows with each snapshot of a primary.
	Sequence uint64
	Ledger   placement.IndexSnapshot
}

// softOrder is the newest index snapshot that a follower took.
type softOrder struct {
	epoch, sequence uint64
}

// later says whether a snapshot is newer than all before, and notes it. One
// that was overtaken on its way would bring back runners that have left.
func (o *softOrder) later(soft IndexSnapshot) bool {
	if soft.Epoch < o.epoch || soft.Epoch == o.epoch && soft.Sequence <= o.sequence {
		return false
	}
	*o = softOrder{soft.Epoch, soft.Sequence}
	return true
}

// DemandReport tells the primary what look-ups another controller answered.
type DemandReport struct{ Counts demand.Counts }

// The names under which the messages of this package are known between daemons.
// They are not derived from the Go package, so that daemons of the release
// before understand them.
const (
	softWireName   = "myrtlewinch/steward.Soft"
	demandWireName = "myrtlewinch/steward.Demand"
)

func init() {
	gob.RegisterName(softWireName, IndexSnapshot{})
	gob.RegisterName(demandWireName, DemandReport{})
}
