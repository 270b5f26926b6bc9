package protocol

// Input is what a state machine is stepped with: a type of this package, or a
// request that the machine's own package defines.
type Input interface {
	// MachineInput marks the type and does nothing.
	MachineInput()
}

// Reply is the body of a Response: the answer to a request of a caller or of an
// operator. Rejection is one; the machines' packages define the others.
type Reply interface {
	// ReplyBody marks the type and does nothing.
	ReplyBody()
}
