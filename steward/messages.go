package steward

import (
	"encoding/gob"

	"myrtlewinch/holdings"
)

// Soft tells the other controllers what the primary's ledger holds. It is a
// hint: they answer look-ups from it and decide nothing by it.
type Soft struct {
	Epoch  uint64
	Ledger holdings.Soft
}

// Demand tells the primary what look-ups another controller answered.
type Demand struct{ Counts holdings.Counts }

func init() {
	gob.Register(Soft{})
	gob.Register(Demand{})
}
