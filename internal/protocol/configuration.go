package protocol

// ConfigPoll asks the primary for the configuration and for what else routers
// must know. Every router sends it at short intervals and names what it has
// already, so that the answer leaves that out.
type ConfigPoll struct {
	// EchoMs is the router's clock when it sent the poll; the answer repeats it.
	EchoMs int64
	// Version and Sum (a hash of the text) name the configuration that the
	// router uses; Version 0 means that it has none.
	Version uint64
	Sum     string
	// LeavingSum and ControllersSum are the hashes of the lists that the router
	// has; 0 means that it has none.
	LeavingSum, ControllersSum uint64
}

// ConfigUpdate answers a ConfigPoll. The primary also sends it without a poll
// to every router when a configuration has come into force, when a runner
// begins to leave, and when the primary has changed; EchoMs is then 0.
type ConfigUpdate struct {
	EchoMs int64
	// Epoch is that of the primary.
	Epoch uint64
	// Version and Sum name the configuration in force.
	Version uint64
	Sum     string
	// Packed is the configuration itself, compressed, as the operator wrote it.
	// It is left out where the router has it or was sent it a moment ago.
	Packed []byte
	// Text is Packed after decompression. The receiver sets it; it is empty on
	// the wire.
	Text string
	// Leaving lists the IDs of the runners that are leaving, and LeavingSum is
	// its hash. The list is left out where the router's poll had that hash.
	Leaving    []string
	LeavingSum uint64
	// AgeMs is how old the platform's list of runners is that Leaving rests on,
	// or -1 where the primary has not read one yet.
	AgeMs int64
	// Routers is how many routers share the retry budget; at least 1.
	Routers int
	// Controllers are the live controllers, to which look-ups and polls may go,
	// and ControllersSum is the hash of the list. It is left out where the
	// router's poll had that hash.
	Controllers    []Node
	ControllersSum uint64
}
