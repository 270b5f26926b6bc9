package protocol

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/storage"
)

// Tick is the input that says only that time has passed.
type Tick struct{}

// MachineInput marks Tick as an Input.
func (Tick) MachineInput() {}

// Effects is what a state machine wants done after a step. The process carries
// them out in their order within each list.
type Effects struct {
	Sends      []Send
	DiskWrites []DiskWrite
	Responses  []Response
	Calls      []OutboundCall
	// LogLines are sentences for the log.
	LogLines []string
	// Counts names counters of the process; each is increased by one.
	Counts []string
}

// Send is a message to another daemon.
type Send struct {
	// To is the receiver's name, empty where only the address is known.
	To      string
	Address string
	Body    Message
}

// DiskWrite is a change of the disk. DiskWriteDone with the same number follows
// as an input.
type DiskWrite struct {
	Number uint64
	Write  storage.Write
}

// DiskWriteDone is the input that ends a DiskWrite. Where Ok is false, it is
// unknown whether the change is on the disk.
type DiskWriteDone struct {
	Number uint64
	Ok     bool
}

// MachineInput marks DiskWriteDone as an Input.
func (DiskWriteDone) MachineInput() {}

// Response answers a request that a caller or an operator submitted with this id.
type Response struct {
	ID   uint64
	Body Reply
}

// Rejection is the body of a response that refuses a request.
type Rejection struct {
	Kind   errkind.Kind
	Detail string
	// Faults lists what is wrong with a text that was submitted.
	Faults []string
	// Revision is the one in force, where that helps.
	Revision uint64
	// Primary is the controller that can answer, if it is known.
	Primary string
	// RetryMs is when to come back, where that can be estimated.
	RetryMs int64
}

// ReplyBody marks Rejection as a Reply.
func (Rejection) ReplyBody() {}

// OutboundCall is a call over HTTP to a runner or to the platform. Its
// OutboundResult follows as an input.
type OutboundCall struct {
	Address string
	Body    OutboundRequest
}
