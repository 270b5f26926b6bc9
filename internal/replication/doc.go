// Package replication replicates the controllers' state from the primary to its
// followers. Primary holds what only the primary needs: the log of recent changes, the
// pending writes, and each follower's Progress. Follower holds the position of this
// daemon's own disk. Both are plain state: they read no clock and send nothing. Their
// caller passes the time and sends the messages that they return.
package replication

// Timing holds the timeouts of replication, in ms.
type Timing struct {
	// LiveMs is how long after its last acknowledgement a follower counts as alive.
	LiveMs int64
	// RetryMs is how long a change or a snapshot may stay unacknowledged before
	// it is sent again.
	RetryMs int64
	// DiskStallMs is how long a follower that lacks changes may acknowledge none before
	// its disk counts as stalled. It is also how long a write to the primary's own disk
	// may take.
	DiskStallMs int64
}
