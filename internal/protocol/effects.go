package protocol

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/storage"
)

// Send is a message to be sent. The address leads; the name may be unknown
// when a seed is called for the first time.
type Send struct {
	To      string
	Address string
	Body    Message
}

// DiskWrite is a change of the disk; its end comes back as Saved with the number.
type DiskWrite struct {
	Number uint64
	Write  storage.Write
}

// DiskWriteDone ends a Save.
type DiskWriteDone struct {
	Number uint64
	Ok     bool
}

// Response ends something a caller or an operator asked.
type Response struct {
	ID   uint64
	Body any
}

// Rejection answers with a kind of defect.
type Rejection struct {
	Kind     errkind.Kind
	Detail   string
	Faults   []string
	Revision uint64
	Primary  string
	// RetryMs says when to come back, where that could be worked out.
	RetryMs int64
}

// OutboundCall goes outward, over HTTP: to a runner or to the platform.
type OutboundCall struct {
	Address string
	Body    OutboundRequest
}

// Effects is what a state machine returns from a step.
type Effects struct {
	Sends      []Send
	DiskWrites []DiskWrite
	Responses  []Response
	Calls      []OutboundCall
	// LogLines are short sentences for the log.
	LogLines []string
	// Counts are added to the counters of the process.
	Counts []string
}
