package protocol

// Input is the input of one step of a state machine: a type of this package, or a
// request that the state machine's own package defines.
type Input interface {
	// MachineInput only marks the type; it does nothing.
	MachineInput()
}

// Reply is the body of a Response to a client's or an operator's request. Rejection is a
// Reply. The packages of the state machines define the other types.
type Reply interface {
	// ReplyBody only marks the type; it does nothing.
	ReplyBody()
}
