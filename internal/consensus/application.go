package consensus

import (
	"slices"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Application is what runs on top of the replicated state, such as the platform's
// controller. It decides what the rows mean, which messages of routers it answers, and
// the orders to runners. All methods are called on the machine's own goroutine.
type Application interface {
	// StateChanged is called after one or more rows of the replicated state changed, and
	// once by New. Both at a primary and at a follower, the rows may not be committed yet.
	StateChanged(h Host)
	// BecamePrimary is called once this daemon is the primary and serves: all
	// replicas hold its first change.
	BecamePrimary(h Host)
	// LostPrimacy is called when this daemon is no longer the primary. If it was
	// elected but never served, BecamePrimary was not called before.
	LostPrimacy(h Host)
	// HandleMessage handles a message of another daemon. It returns false for a
	// message that is not the application's.
	HandleMessage(h Host, e protocol.Envelope) bool
	// HandleInput handles any other input, such as the result of an outbound call. It
	// returns false for an input that is not the application's.
	HandleInput(h Host, input protocol.Input) bool
	// Tick is called with each protocol.Tick, about every 50 ms, at the primary
	// and at all other controllers.
	Tick(h Host)
}

// Host is what the machine offers its application. It may be used only on the
// goroutine that calls Machine.Step.
type Host interface {
	// NowMs returns the time of the current step in ms, by this process's own clock.
	NowMs() int64
	// Serves reports whether this daemon may answer on behalf of the site now: it is the
	// primary, its lease has not expired, all replicas hold its first change, and the delay
	// after an operator's recovery has passed.
	Serves() bool
	// QuorumContact reports whether the primary is known to have held its lease within the
	// last lease time. The primary is this daemon or the daemon that it follows. If
	// QuorumContact returns false, the state may be outdated, and requests must not be
	// answered from it.
	QuorumContact() bool
	// LeaseUntilMs returns when this primary's lease expires unless it is renewed.
	LeaseUntilMs() int64
	// OrdersFromMs returns the earliest time at which a new primary may send orders to
	// runners: the previous primary may have sent some until its lease expired.
	OrdersFromMs() int64
	// Self returns this daemon.
	Self() protocol.Node
	// Epoch returns the epoch of the active record, as far as this daemon knows.
	Epoch() uint64
	// Primary returns the primary that this record names. It is the zero Node while the
	// primary or its address is unknown.
	Primary() protocol.Node
	// Controllers and Routers return the peers with that role that are alive, without
	// this daemon.
	Controllers() []protocol.Node
	Routers() []protocol.Node
	// Row returns the value of a row of the replicated state, empty if there is
	// none. It may not be committed yet.
	Row(key string) string
	// Submit starts to change rows; an empty value deletes the row. Only a primary
	// may call it. done is called with true once the change is committed. It is called
	// with false if this daemon loses the primacy before that; the change may then be
	// committed or not.
	Submit(rows map[string]string, done func(ok bool))
	// Send sends a message to another daemon. It may be lost.
	Send(to protocol.Node, body protocol.Message)
	// Call starts an outbound call to an address. Its result is an input for
	// Application.HandleInput.
	Call(address string, body protocol.OutboundRequest)
	// Respond sends the response to the client's or operator's request with this id.
	Respond(id uint64, body protocol.Reply)
	// Logf writes a line to the log, and Count adds one to a counter.
	Logf(format string, args ...any)
	Count(name string)
}

// host implements Host and ExtendedHost for a machine.
type host struct{ m *Machine }

func (h host) NowMs() int64        { return h.m.nowMs }
func (h host) Serves() bool        { return h.m.serves() }
func (h host) QuorumContact() bool { return h.m.hasQuorumContact() }
func (h host) LeaseUntilMs() int64 { return h.m.election.LeaseUntilMs }
func (h host) OrdersFromMs() int64 { return h.m.election.OrdersFromMs }
func (h host) Self() protocol.Node { return h.m.settings.Self }
func (h host) Epoch() uint64       { return h.m.record().Epoch }

func (h host) Primary() protocol.Node {
	node, _ := h.m.detector.Node(h.m.record().Primary)
	return node
}

func (h host) live(part string) []protocol.Node {
	isUnresponsive := func(node protocol.Node) bool { return !h.m.detector.Live(h.m.nowMs, node.Name) }
	return slices.DeleteFunc(h.m.detector.NodesOf(part), isUnresponsive)
}

func (h host) Controllers() []protocol.Node { return h.live(protocol.RoleController) }
func (h host) Routers() []protocol.Node     { return h.live(protocol.RoleRouter) }
func (h host) Row(key string) string        { return h.m.state.Row(key) }

func (h host) Submit(rows map[string]string, done func(ok bool)) {
	h.m.submit(done, statetable.Put{Rows: rows})
}

func (h host) Send(to protocol.Node, body protocol.Message) { h.m.send(to, body) }

func (h host) Call(address string, body protocol.OutboundRequest) {
	h.m.out.Calls = append(h.m.out.Calls, protocol.OutboundCall{Address: address, Body: body})
}

func (h host) Respond(id uint64, body protocol.Reply) { h.m.respond(id, body) }
func (h host) Logf(format string, args ...any)        { h.m.logf(format, args...) }
func (h host) Count(name string)                      { h.m.out.Counts = append(h.m.out.Counts, name) }
