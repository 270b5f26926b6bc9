// Package replication copies the controllers' state from the primary to its
// followers. Primary holds what only the primary needs: the log of recent
// changes, the writes that are pending, and each follower's Progress. Follower
// holds how far this daemon's own disk has followed. Both are plain state: they
// read no clock and send nothing; their caller passes the time and sends the
// messages that they make.
package replication

// Timing holds the time-outs of replication, in ms.
type Timing struct {
	// LiveMs is for how long after its last acknowledgement a follower counts
	// as live.
	LiveMs int64
	// RetryMs is how long a change or a snapshot may stay unacknowledged before
	// it is sent again.
	RetryMs int64
	// DiskStallMs is how long a follower that is behind may acknowledge no
	// change before its disk counts as stalled.
	DiskStallMs int64
}
