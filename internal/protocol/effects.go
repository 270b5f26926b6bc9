package protocol

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/storage"
)

// Tick is the periodic input that tells the state machine that time has passed.
type Tick struct{}

// MachineInput marks Tick as an Input.
func (Tick) MachineInput() {}

// Effects are the actions that a state machine requests from a step. The process
// carries out each list in order.
type Effects struct {
	Sends      []Send
	DiskWrites []DiskWrite
	Responses  []Response
	Calls      []OutboundCall
	// LogLines are written to the log, one entry each.
	LogLines []string
	// Counts names counters of the process; each is increased by one.
	Counts []string
}

// Send is a message to another daemon.
type Send struct {
	// To is the receiver's name, empty if only the address is known.
	To      string
	Address string
	Body    Message
}

// DiskWrite is a write to the data folder. A DiskWriteDone with the same number
// follows as an input.
type DiskWrite struct {
	Number uint64
	Write  storage.Write
}

// DiskWriteDone is the input that reports the result of a DiskWrite. If Ok is false,
// it is unknown whether the write is on the disk.
type DiskWriteDone struct {
	Number uint64
	Ok     bool
}

// MachineInput marks DiskWriteDone as an Input.
func (DiskWriteDone) MachineInput() {}

// Response is the response to the client's or operator's request with this id.
type Response struct {
	ID   uint64
	Body Reply
}

// Rejection is the body of a response that rejects a request.
type Rejection struct {
	Kind   errkind.Kind
	Detail string
	// Faults lists the errors found in a submitted text.
	Faults []string
	// Revision is the active revision; 0 if it would not help the operator.
	Revision uint64
	// Primary is the controller to send the request to instead, if it is known.
	Primary string
	// RetryMs is how long to wait before a retry; 0 if that cannot be estimated.
	RetryMs int64
}

// ReplyBody marks Rejection as a Reply.
func (Rejection) ReplyBody() {}

// OutboundCall is an HTTP call to a runner or to the platform. Its
// OutboundResult follows as an input.
type OutboundCall struct {
	Address string
	Body    OutboundRequest
}
