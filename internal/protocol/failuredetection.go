package protocol

// Heartbeat is sent at each beat to the few peers that watch the sender.
type Heartbeat struct {
	// Epoch is the latest that the sender knows.
	Epoch uint64
	// Serving says that the sender is the primary and its lease runs. A daemon
	// may be alive and not serve.
	Serving bool
}

// PeersRequest asks a seed, or a peer, for the peers it knows. PeersReply
// answers it.
type PeersRequest struct{}

// PeersReply answers a PeersRequest.
type PeersReply struct {
	Peers []Node
	// Record is the latest that the sender knows.
	Record EpochRecord
}

// HeartbeatReports sends the primary which heartbeats the sender received.
type HeartbeatReports struct{ Seen []HeartbeatReport }

// HeartbeatReport says how long ago the heartbeat of a peer arrived.
type HeartbeatReport struct {
	Place Node
	AgoMs int64
}

// Retire notifies a daemon that its name has passed to another disk for good.
type Retire struct{ Record EpochRecord }
