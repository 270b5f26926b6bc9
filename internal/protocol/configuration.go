package protocol

// ConfigPoll asks the primary for the configuration and the other state that routers
// need. Every router sends it at short intervals and names what it already has, so
// that the reply leaves that out.
type ConfigPoll struct {
	// EchoMs is the router's clock when it sent the poll; the reply echoes it.
	EchoMs int64
	// Version and Sum (a hash of the text) identify the configuration that the router uses.
	// Version is 0 if the router has none.
	Version uint64
	Sum     string
	// LeavingSum and ControllersSum are hashes of the lists of draining runners and
	// of controllers that the router has; 0 means that it has none.
	LeavingSum, ControllersSum uint64
}

// ConfigUpdate is the reply to a ConfigPoll. The primary also sends it to every router
// without a poll when a configuration becomes active, when a runner starts draining, and
// when the primary has changed. EchoMs is 0 in an update without a poll.
type ConfigUpdate struct {
	EchoMs int64
	// Epoch is the primary's epoch.
	Epoch uint64
	// Version and Sum identify the active configuration.
	Version uint64
	Sum     string
	// Packed is the configuration as the operator wrote it, compressed. It is left out if
	// the router has it, or if it was sent to the router so recently that it may be in
	// transit.
	Packed []byte
	// Text is Packed after decompression. The receiver sets it; it is empty on
	// the wire.
	Text string
	// Leaving lists the IDs of the draining runners. LeavingSum is the hash of the list. The
	// list is left out if the router's poll contained the same hash.
	Leaving    []string
	LeavingSum uint64
	// AgeMs is the age of the platform's runner list from which Leaving was taken, or
	// -1 if the primary has not read one yet.
	AgeMs int64
	// Routers is how many routers share the retry budget; at least 1.
	Routers int
	// Controllers lists the live controllers. Look-ups and polls may be sent to them.
	// ControllersSum is the hash of the list. The list is left out if the router's poll
	// contained the same hash.
	Controllers    []Node
	ControllersSum uint64
}
