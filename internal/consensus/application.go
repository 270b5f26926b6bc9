package consensus

import (
	"slices"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Application is what runs on top of the replicated state, such as the platform's
// controller: what the rows mean, which messages of routers it answers, and the
// orders to runners. All methods run on the machine's own thread.
type Application interface {
	// StateChanged says that rows of the replicated state changed, or all of them. At
	// a primary they may not be committed yet.
	StateChanged(h Host)
	// BecamePrimary says that this daemon has become the primary and serves.
	BecamePrimary(h Host)
	// LostPrimacy says that this daemon is the primary no more. It may come without a
	// BecamePrimary before it.
	LostPrimacy(h Host)
	// HandleMessage takes a message of another daemon; false says that it is not the
	// application's.
	HandleMessage(h Host, e protocol.Envelope) bool
	// HandleInput takes any other input, such as the result of an outbound call; false
	// says that it is not the application's.
	HandleInput(h Host, input protocol.Input) bool
	// Tick is called about each 50 ms, also where this daemon is not the primary.
	Tick(h Host)
}

// Host is what an application may ask of the machine that keeps its state.
type Host interface {
	// NowMs is the time of the present step, on this process's own clock.
	NowMs() int64
	// Active says whether this daemon may speak for the site now: it is the primary,
	// its lease runs, and all replicas hold what it has.
	Active() bool
	// QuorumContact says whether a majority of the site stood behind what this daemon
	// knows within the last lease: the primary by its lease, a follower by the
	// primary's messages. Without it no answers may be given from the state.
	QuorumContact() bool
	// LeaseUntilMs is when the lease runs out unless it is renewed.
	LeaseUntilMs() int64
	// OrdersFromMs is from when a new primary may give orders, since the one before
	// may have given some until its lease ran out.
	OrdersFromMs() int64
	// Self is this daemon.
	Self() protocol.Node
	// Epoch is that of the record in force, as far as this daemon knows.
	Epoch() uint64
	// Primary is the primary by that record; its name may be empty.
	Primary() protocol.Node
	// Controllers and Routers list the live peers of a part, without this daemon.
	Controllers() []protocol.Node
	Routers() []protocol.Node
	// Row reads the replicated state; a primary's may be ahead of what is committed.
	Row(key string) string
	// Submit changes rows; an empty value deletes one. Done is called with true once
	// the change is committed, or with false when that can't be known any more.
	Submit(rows map[string]string, done func(ok bool))
	// Send sends a message to another daemon. It may be lost.
	Send(to protocol.Node, body protocol.Message)
	// Call makes an outbound call to an address; its result comes back as an input.
	Call(address string, body protocol.OutboundRequest)
	// Answer ends a request of a caller or an operator.
	Answer(id uint64, body protocol.Reply)
	// Logf writes a line to the log, and Count adds one to a counter.
	Logf(format string, args ...any)
	Count(name string)
}

// host shows a machine to its application.
type host struct{ m *Machine }

func (h host) NowMs() int64        { return h.m.nowMs }
func (h host) Active() bool        { return h.m.serves() }
func (h host) QuorumContact() bool { return h.m.inContact() }
func (h host) LeaseUntilMs() int64 { return h.m.election.LeaseUntilMs }
func (h host) OrdersFromMs() int64 { return h.m.election.OrdersFromMs }
func (h host) Self() protocol.Node { return h.m.set.Self }
func (h host) Epoch() uint64       { return h.m.record().Epoch }

func (h host) Primary() protocol.Node {
	node, _ := h.m.detector.Node(h.m.record().Primary)
	return node
}

func (h host) live(part string) []protocol.Node {
	isSilent := func(node protocol.Node) bool { return !h.m.detector.Live(h.m.nowMs, node.Name) }
	return slices.DeleteFunc(h.m.detector.NodesOf(part), isSilent)
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

func (h host) Answer(id uint64, body protocol.Reply) { h.m.respond(id, body) }
func (h host) Logf(format string, args ...any)       { h.m.logf(format, args...) }
func (h host) Count(name string)                     { h.m.out.Counts = append(h.m.out.Counts, name) }
