package consensus

import (
	"slices"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// Application is what a controller does with the copied state beside keeping it:
// the description or the service map, the runners, the index and the orders.
// All methods run on the machine's own thread.
type Application interface {
	// StateChanged says that rows of the state changed, or all of them.
	StateChanged(h Host)
	// BecamePrimary says that this daemon has become the primary and may speak.
	BecamePrimary(h Host)
	// LostPrimacy says that it is the primary no more.
	LostPrimacy(h Host)
	// HandleMessage takes a message of a peer or a router; false is unknown.
	HandleMessage(h Host, e protocol.Envelope) bool
	// HandleInput takes any other input, such as what a call outward brought.
	HandleInput(h Host, input any) bool
	// Tick is called about each 50 ms, also where this is not the primary.
	Tick(h Host)
}

// Host is what a tenant may ask of the machine that keeps the state.
type Host interface {
	NowMs() int64
	// Active says whether this daemon may speak for the site now.
	Active() bool
	// QuorumContact says whether a majority of the site stood behind what this daemon
	// knows within the last lease: the primary by its lease, a follower by the
	// primary's word. Without it nothing may be handed out.
	QuorumContact() bool
	// LeaseUntilMs is until when it may, if nothing more is heard.
	LeaseUntilMs() int64
	// OrdersFromMs is from when a new primary may order, since the one before
	// may have ordered until its lease ran out.
	OrdersFromMs() int64
	Self() protocol.Node
	Epoch() uint64
	// Primary is whom this daemon takes for the primary; its name may be empty.
	Primary() protocol.Node
	// Controllers and Routers list the live peers of a part, without itself.
	Controllers() []protocol.Node
	Routers() []protocol.Node
	// Row reads the copied state; a primary's own may be ahead of what is safe.
	Row(key string) string
	// Submit changes rows (an empty value forgets one); then runs with true
	// once they are safe on all copies that must have them, or with false when
	// that can't be known any more.
	Submit(rows map[string]string, then func(ok bool))
	Send(to protocol.Node, body protocol.Message)
	Call(address string, body protocol.OutboundRequest)
	Answer(id uint64, body any)
	Logf(format string, args ...any)
	Count(name string)
}

// host lets a tenant ask the machine.
type host struct{ m *Machine }

func (h host) NowMs() int64        { return h.m.nowMs }
func (h host) Active() bool        { return h.m.serves() }
func (h host) QuorumContact() bool { return h.m.inContact() }
func (h host) LeaseUntilMs() int64 { return h.m.election.LeaseUntilMs }
func (h host) OrdersFromMs() int64 { return h.m.election.OrdersFromMs }
func (h host) Self() protocol.Node { return h.m.set.Self }
func (h host) Epoch() uint64       { return h.m.record().Epoch }

func (h host) Primary() protocol.Node {
	place, _ := h.m.detector.Node(h.m.record().Primary)
	return place
}

func (h host) live(part string) []protocol.Node {
	return slices.DeleteFunc(h.m.detector.NodesOf(part), func(p protocol.Node) bool { return !h.m.detector.Live(h.m.nowMs, p.Name) })
}

func (h host) Controllers() []protocol.Node { return h.live(protocol.RoleController) }
func (h host) Routers() []protocol.Node     { return h.live(protocol.RoleRouter) }
func (h host) Row(key string) string        { return h.m.state.Kept[key] }

func (h host) Submit(rows map[string]string, then func(ok bool)) {
	h.m.submit(then, ledger.Put{Rows: rows})
}

func (h host) Send(to protocol.Node, body protocol.Message) { h.m.send(to, body) }

func (h host) Call(address string, body protocol.OutboundRequest) {
	h.m.out.Calls = append(h.m.out.Calls, protocol.OutboundCall{Address: address, Body: body})
}

func (h host) Answer(id uint64, body any)      { h.m.respond(id, body) }
func (h host) Logf(format string, args ...any) { h.m.logf(format, args...) }
func (h host) Count(name string)               { h.m.out.Counts = append(h.m.out.Counts, name) }
