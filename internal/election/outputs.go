package election

import "myrtlewinch/internal/protocol"

// Output is something that the owner of the machine has to do. Outputs must be
// carried out in order.
type Output interface{ isOutput() }

type (
	// Send is a message to a node, which may be this daemon itself.
	Send struct {
		To   protocol.Node
		Body protocol.Message
	}
	// LogLine is a line for the log.
	LogLine string
	// RecordAdopted reports that the active record has changed, or the ballot under
	// which it was accepted. It must be saved on the disk.
	RecordAdopted struct {
		Record protocol.EpochRecord
		Ballot protocol.Ballot
	}
	// RecordChanged reports that a record which this primary proposed was chosen and is
	// active. The followers should learn of it soon.
	RecordChanged struct{}
	// BecamePrimary reports that this daemon became the primary under the active record. It
	// serves once Establish is called. Recovered is true if an operator's recovery
	// made it the primary.
	BecamePrimary struct{ Recovered bool }
	// LostPrimacy reports that this daemon is no longer the primary.
	LostPrimacy struct{}
	// InitialDiskMarked reports that this disk took part in the first start of the site.
	// That must be saved on the disk before any vote.
	InitialDiskMarked struct{}
	// BootstrapFailed rejects a Bootstrap.
	BootstrapFailed struct {
		ID        uint64
		Rejection protocol.Rejection
	}
	// Retired reports that this daemon is permanently superseded: another disk has its name.
	Retired struct{}
)

func (Send) isOutput()              {}
func (LogLine) isOutput()           {}
func (RecordAdopted) isOutput()     {}
func (RecordChanged) isOutput()     {}
func (BecamePrimary) isOutput()     {}
func (LostPrimacy) isOutput()       {}
func (InitialDiskMarked) isOutput() {}
func (BootstrapFailed) isOutput()   {}
func (Retired) isOutput()           {}
