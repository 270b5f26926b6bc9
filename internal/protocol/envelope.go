package protocol

// Envelope carries one message from one daemon of a site to another.
//
// Envelopes are gob-encoded, which matches fields by their Go names: the names
// of exported fields of Envelope, of each Message and of the types nested in
// them are part of the wire format.
type Envelope struct {
	// Site is the name of the sender's site; receivers of another site reject the
	// envelope.
	Site string
	// From is the sender.
	From Node
	// To is the name of the intended receiver. It is empty if the sender knows only an
	// address, such as that of a seed.
	To   string
	Body Message
}

// MachineInput marks Envelope as an Input.
func (Envelope) MachineInput() {}
