package nativesim

import (
	"fmt"
	"maps"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/disk"
)

const (
	// maxBacklog is how many inputs wait for a frozen daemon; the ring buffer
	// of a real one loses what is beyond.
	maxBacklog = 4096
	// A daemon's own clock begins at minClockMs to minClockMs+clockSpreadMs.
	minClockMs    = 3_600_000
	clockSpreadMs = 1_000_000
)

// node is a daemon. It keeps its name, address and disk from one process to the
// next.
type node struct {
	// name is the world's; ownName is the one that the daemon goes by. They
	// differ for a daemon that was replaced.
	name, ownName string
	zone, role    string
	address       string
	// seeds are those of its settings; only a replaced machine gets new ones.
	seeds []string
	// disk is nil for routers.
	disk *disk.Disk
	// incarnation counts its processes. incarnationName is the name that their
	// ids are made of, if it is another than name.
	incarnation     int
	incarnationName string

	// What follows belongs to the present process.
	machine       process.Machine
	up, frozen    bool
	frozenSinceMs int64
	startedMs     int64
	clockOffsetMs int64
	// backlog is what waits for a frozen daemon to wake.
	backlog []func()
	// pending are the clients' requests at a router, by id.
	pending map[uint64]*clientRequest
}

// nodeProcess is one process of a daemon. What was begun for it has no effect once
// it has ended.
type nodeProcess struct {
	node        *node
	incarnation int
}

// process gives the present process of a daemon.
func (n *node) process() nodeProcess { return nodeProcess{node: n, incarnation: n.incarnation} }

// running reports whether the process has not ended.
func (p nodeProcess) running() bool { return p.node.up && p.node.incarnation == p.incarnation }

func (w *World) addNode(member description.Member, role string) *node {
	n := &node{
		name: member.Name, ownName: member.Name, zone: member.Zone, role: role,
		address: member.Name + ":1", pending: map[uint64]*clientRequest{},
	}
	w.nodes[n.name] = n
	w.nodeAt[n.address] = n.name
	return n
}

// clock is the daemon's own clock: monotonic, with a start of its own.
func (n *node) clock(nowMs int64) int64 { return nowMs - n.startedMs + n.clockOffsetMs }

// clockNow reads a daemon's own clock.
func (w *World) clockNow(n *node) int64 { return n.clock(w.events.NowMs()) }

// deliver gives an input to a daemon's state machine; a frozen daemon gets it
// when it wakes.
func (w *World) deliver(p nodeProcess, input protocol.Input) {
	if !p.running() {
		return
	}
	n := p.node
	if n.frozen {
		if len(n.backlog) < maxBacklog {
			n.backlog = append(n.backlog, func() { w.deliver(p, input) })
		}
		return
	}
	w.applyEffects(n, n.machine.Step(w.clockNow(n), input))
}

// Start starts a daemon from what its disk holds.
func (w *World) Start(name string) {
	n := w.nodes[name]
	if n.up {
		return
	}
	n.up, n.frozen, n.backlog = true, false, nil
	n.incarnation++
	n.startedMs = w.events.NowMs()
	n.clockOffsetMs = minClockMs + w.Random.Int63n(clockSpreadMs)
	n.pending = map[uint64]*clientRequest{}
	n.machine = w.newMachine(n)
	w.tracef("%s starts", name)
	p := n.process()
	w.events.After(w.Random.Int63n(tickMs), func() { w.tick(p) })
}

func (w *World) newMachine(n *node) process.Machine {
	if n.role == protocol.RoleRouter {
		settings := router.Settings{Site: w.Description.Site, Self: w.identity(n), Seeds: n.seeds, Platform: platformEndpoint}
		return router.New(settings, w.clockNow(n))
	}
	settings := controller.Settings{
		Site: w.Description.Site, Self: w.identity(n), Seeds: n.seeds, Platform: platformEndpoint, GapMs: w.Bugs.HolderGapMs,
	}
	machine, err := controller.New(settings, maps.Clone(n.disk.Contents), w.clockNow(n))
	if err != nil {
		panic(fmt.Sprintf("nativesim: %s does not start: %v", n.name, err))
	}
	return machine
}

func (w *World) tick(p nodeProcess) {
	if !p.running() {
		return
	}
	if !p.node.frozen {
		w.deliver(p, protocol.Tick{})
	}
	w.events.After(tickMs, func() { w.tick(p) })
}

// Kill ends a daemon at once, as a power cut does.
func (w *World) Kill(name string) {
	n := w.nodes[name]
	if n == nil || !n.up {
		return
	}
	w.tracef("%s is killed", name)
	n.up = false
	if n.disk != nil {
		w.losePower(n.disk)
	}
	for _, id := range sortedIDs(n.pending) {
		n.pending[id].streamBroke()
	}
}

// Freeze stops a daemon where it is; Thaw lets it continue.
func (w *World) Freeze(name string) {
	w.tracef("%s freezes", name)
	w.nodes[name].frozen, w.nodes[name].frozenSinceMs = true, w.events.NowMs()
}

// Thaw wakes a frozen daemon. Its clock has gone on.
func (w *World) Thaw(name string) {
	n := w.nodes[name]
	if !n.frozen {
		return
	}
	w.tracef("%s wakes", name)
	n.frozen = false
	if w.Bugs.ForgetLeases {
		n.startedMs += w.events.NowMs() - n.frozenSinceMs
	}
	backlog := n.backlog
	n.backlog = nil
	for _, resume := range backlog {
		resume()
	}
}

// applyEffects carries out what a daemon's state machine decided.
func (w *World) applyEffects(n *node, effects protocol.Effects) {
	p := n.process()
	for _, line := range effects.LogLines {
		w.tracef("%s: %s", n.name, line)
	}
	for _, write := range effects.DiskWrites {
		w.writeToDisk(p, write)
	}
	for _, send := range effects.Sends {
		w.send(n, send)
	}
	for _, call := range effects.Calls {
		w.startCall(p, call)
	}
	for _, response := range effects.Responses {
		w.respond(n, response)
	}
}

// respond gives a response to the operator or client who asked.
func (w *World) respond(n *node, response protocol.Response) {
	if w.operator.pending[response.ID] != nil && n.role == protocol.RoleController {
		w.operatorAnswered(n, response)
		return
	}
	if request := n.pending[response.ID]; request != nil {
		request.routerAnswered(response.Body)
	}
}

// identity is how a daemon names itself to others.
func (w *World) identity(n *node) protocol.Node {
	return protocol.Node{Name: n.ownName, Address: n.address, Zone: n.zone, Part: n.role, Incarnation: n.incarnationID()}
}

// incarnationID is that of the disk, or of the process where there is no disk.
func (n *node) incarnationID() string {
	if n.role == protocol.RoleController {
		return n.disk.Incarnation()
	}
	name := n.name
	if n.incarnationName != "" {
		name = n.incarnationName
	}
	return fmt.Sprintf("%s-life-%d", name, n.incarnation)
}
