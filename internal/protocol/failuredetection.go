package protocol

// Heartbeat is sent at a fixed interval to the few peers that watch the sender.
type Heartbeat struct {
	// Epoch is the latest epoch that the sender knows.
	Epoch uint64
	// Serving is true if the sender is the primary and holds the lease. A daemon may be
	// alive without serving.
	Serving bool
}

// PeersRequest asks a seed or a peer for the peers that it knows. PeersReply answers it.
type PeersRequest struct{}

// PeersReply answers a PeersRequest.
type PeersReply struct {
	Peers []Node
	// Record is the latest epoch record that the sender knows.
	Record EpochRecord
}

// HeartbeatReports tells the primary which heartbeats the sender received.
type HeartbeatReports struct{ Seen []HeartbeatReport }

// HeartbeatReport reports when the last heartbeat of the peer Place arrived: AgoMs
// milliseconds ago.
type HeartbeatReport struct {
	Place Node
	AgoMs int64
}

// Retire tells a daemon that it is superseded: its name now permanently belongs to another
// disk.
type Retire struct{ Record EpochRecord }
