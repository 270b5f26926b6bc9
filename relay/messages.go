package relay

import "myrtlewinch/servicemap"

// Inputs of the data plane.
type (
	// Request is a whole request of a client.
	Request struct {
		ID         uint64
		Host, Path string
		Asked      Asked
	}
	// Told brings what the head of an answer says of a runner's load.
	Told struct {
		// ID is the request whose answer began.
		ID     uint64
		Runner string
		Heard  Heard
	}
	// Ended says how a send ended.
	Ended struct {
		ID      uint64
		Outcome Outcome
		// After is the last piece that was passed on; Passed says that the
		// client has the head of an answer.
		After  string
		Passed bool
		// Other says that a runner with another id answered.
		Other bool
		// Version is that of the weights that answered so far, or 0.
		Version int64
	}
	// Gone says that the client went away.
	Gone struct{ ID uint64 }
	// Leave begins a planned stop.
	Leave struct{}
	// Reseed gives the seeds anew.
	Reseed struct{ Seeds []string }
	// Look asks for the status page.
	Look struct{ ID uint64 }
)

// Answers of the machine beside wire.Dropped.
type (
	// Send tells the shell to send a request to a runner.
	Send struct {
		Go      Go
		Address string
		Route   *servicemap.Route
		// Single asks for a stream of its own.
		Single bool
		// UntilMs is the last moment at which the first byte may be written,
		// DeadlineMs when the client's time is over.
		UntilMs, DeadlineMs int64
	}
	// Keep tells the shell to pass on the failed answer that it has.
	Keep struct{}
	// Break tells the shell to break the client's answer off.
	Break struct{}
)
