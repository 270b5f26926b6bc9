package protocol

// The bounds of a configuration on its way to the disks and to all daemons. Each is derived from
// the one above it. A submission that exceeds one of them is rejected before anything is written.
const (
	// MaxMessageBytes bounds one message between daemons, in bytes.
	MaxMessageBytes = 8 << 20
	// MaxPackedBytes bounds a compressed configuration. As a row of the replicated state it is
	// encoded in base64, which makes it a third larger, and a snapshot carries the row beside the
	// history of submissions, the index and the orders, in one message.
	MaxPackedBytes = MaxMessageBytes / 4
	// MaxTextBytes bounds the text of a configuration. The primary applies a change to the text,
	// parses and compresses it in one step, during which it sends no heartbeats. Every daemon
	// holds the text and its parsed form, and while the configuration changes both of them twice.
	MaxTextBytes = MaxMessageBytes
)
