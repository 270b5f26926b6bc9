package control

import "myrtlewinch/wire"

// Tenant is what a controller does with the copied state beside keeping it:
// the description or the service map, the runners, the index and the orders.
// All methods run on the machine's own thread.
type Tenant interface {
	// Changed says that rows of the state changed, or all of them.
	Changed(h Host)
	// Began says that this daemon has become the primary and may speak.
	Began(h Host)
	// Ended says that it is the primary no more.
	Ended(h Host)
	// Receive takes a message of a fellow or a router; false is unknown.
	Receive(h Host, e wire.Envelope) bool
	// Input takes any other input, such as what a call outward brought.
	Input(h Host, input any) bool
	// Tick is called about each 50 ms, also where this is not the primary.
	Tick(h Host)
}

// Host is what a tenant may ask of the machine that keeps the state.
type Host interface {
	NowMs() int64
	// Active says whether this daemon may speak for the site now.
	Active() bool
	// HoldUntilMs is until when it may, if nothing more is heard.
	HoldUntilMs() int64
	Self() wire.Place
	Epoch() uint64
	// Primary is whom this daemon takes for the primary; its name may be empty.
	Primary() wire.Place
	// Controllers and Routers list the live fellows of a part, without itself.
	Controllers() []wire.Place
	Routers() []wire.Place
	// Row reads the copied state; a primary's own may be ahead of what is safe.
	Row(key string) string
	// Submit changes rows (an empty value forgets one); then runs with true
	// once they are safe on all copies that must have them, or with false when
	// that can't be known any more.
	Submit(rows map[string]string, then func(ok bool))
	Send(to wire.Place, body any)
	Call(address string, body any)
	Answer(id uint64, body any)
	Note(format string, args ...any)
	Count(name string)
}
