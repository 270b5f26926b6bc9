package protocol

import "encoding/gob"

// Message is the body of an Envelope, sent from one daemon of a site to another.
// Packages that build on this one implement it for messages of their own. Each type must
// be registered with RegisterMessage.
type Message interface {
	// PeerMessage only marks the type; it does nothing.
	PeerMessage()
}

// messagePrefix is the prefix of the name under which a type of this package is encoded
// on connections between daemons. It does not follow the Go package's name, so that
// daemons of the previous release understand this one.
const messagePrefix = "myrtlewinch/wire."

// RegisterMessage registers a message type with gob under a name that must stay the same
// when the Go type is renamed. The names of the type's exported fields are part of the
// encoding as well and must not change.
func RegisterMessage(name string, message Message) { gob.RegisterName(name, message) }

// messageNames maps names on the wire to the message types of this package. They are
// part of the wire format and may differ from the names of the Go types.
var messageNames = map[string]Message{
	// Failure detection and discovery of peers.
	"Heartbeat": Heartbeat{},
	"Hello":     PeersRequest{},
	"Known":     PeersReply{},
	"Sightings": HeartbeatReports{},
	"Retire":    Retire{},
	// Election of the primary and its lease.
	"Promise":  Prepare{},
	"Promised": PrepareReply{},
	"Keep":     Accept{},
	"Kept":     AcceptReply{},
	"Renew":    RenewLease{},
	"Release":  ReleaseLease{},
	"Transfer": TransferPrimary{},
	"Opinion":  PrimaryQuery{},
	"Opined":   PrimaryReply{},
	// Replication of the control state.
	"Follow":   Append{},
	"Snapshot": Snapshot{},
	"Followed": AppendReply{},
	// Between routers and controllers of the native interface.
	"Ask":       RouterPoll{},
	"Word":      RouterUpdate{},
	"Nudge":     PollRequest{},
	"Prolong":   ExtendLease{},
	"Prolonged": ExtendLeaseReply{},
	"LookUp":    LookUp{},
	"Index":     LookUpReply{},
	"Demand":    DemandReport{},
	// Between routers and controllers of the interface to the operators' platform.
	"MapAsk":    ConfigPoll{},
	"MapWord":   ConfigUpdate{},
	"MapLookUp": IndexLookUp{},
	"MapIndex":  IndexReply{},
	"Prefill":   PrefillReport{},
}

func init() {
	for name, message := range messageNames {
		RegisterMessage(messagePrefix+name, message)
	}
}

// PeerMessage marks Heartbeat as a Message.
func (Heartbeat) PeerMessage() {}

// PeerMessage marks PeersRequest as a Message.
func (PeersRequest) PeerMessage() {}

// PeerMessage marks PeersReply as a Message.
func (PeersReply) PeerMessage() {}

// PeerMessage marks HeartbeatReports as a Message.
func (HeartbeatReports) PeerMessage() {}

// PeerMessage marks Retire as a Message.
func (Retire) PeerMessage() {}

// PeerMessage marks Prepare as a Message.
func (Prepare) PeerMessage() {}

// PeerMessage marks PrepareReply as a Message.
func (PrepareReply) PeerMessage() {}

// PeerMessage marks Accept as a Message.
func (Accept) PeerMessage() {}

// PeerMessage marks AcceptReply as a Message.
func (AcceptReply) PeerMessage() {}

// PeerMessage marks RenewLease as a Message.
func (RenewLease) PeerMessage() {}

// PeerMessage marks ReleaseLease as a Message.
func (ReleaseLease) PeerMessage() {}

// PeerMessage marks TransferPrimary as a Message.
func (TransferPrimary) PeerMessage() {}

// PeerMessage marks PrimaryQuery as a Message.
func (PrimaryQuery) PeerMessage() {}

// PeerMessage marks PrimaryReply as a Message.
func (PrimaryReply) PeerMessage() {}

// PeerMessage marks Append as a Message.
func (Append) PeerMessage() {}

// PeerMessage marks Snapshot as a Message.
func (Snapshot) PeerMessage() {}

// PeerMessage marks AppendReply as a Message.
func (AppendReply) PeerMessage() {}

// PeerMessage marks RouterPoll as a Message.
func (RouterPoll) PeerMessage() {}

// PeerMessage marks RouterUpdate as a Message.
func (RouterUpdate) PeerMessage() {}

// PeerMessage marks PollRequest as a Message.
func (PollRequest) PeerMessage() {}

// PeerMessage marks ExtendLease as a Message.
func (ExtendLease) PeerMessage() {}

// PeerMessage marks ExtendLeaseReply as a Message.
func (ExtendLeaseReply) PeerMessage() {}

// PeerMessage marks LookUp as a Message.
func (LookUp) PeerMessage() {}

// PeerMessage marks LookUpReply as a Message.
func (LookUpReply) PeerMessage() {}

// PeerMessage marks DemandReport as a Message.
func (DemandReport) PeerMessage() {}

// PeerMessage marks ConfigPoll as a Message.
func (ConfigPoll) PeerMessage() {}

// PeerMessage marks ConfigUpdate as a Message.
func (ConfigUpdate) PeerMessage() {}

// PeerMessage marks IndexLookUp as a Message.
func (IndexLookUp) PeerMessage() {}

// PeerMessage marks IndexReply as a Message.
func (IndexReply) PeerMessage() {}

// PeerMessage marks PrefillReport as a Message.
func (PrefillReport) PeerMessage() {}
