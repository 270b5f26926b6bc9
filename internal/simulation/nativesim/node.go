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
	// maxBacklog is how many inputs are kept for a frozen daemon. The ring buffer
	// of a real one also loses further inputs once it is full.
	maxBacklog = 4096
	// A daemon's own clock starts at minClockMs to minClockMs+clockSpreadMs.
	minClockMs    = 3_600_000
	clockSpreadMs = 1_000_000
)

// node is a daemon. It keeps its name, address and disk when its process is
// restarted.
type node struct {
	// name is the key in World.nodes. configuredName is the name in the
	// daemon's settings. They differ for a daemon that was replaced.
	name, configuredName string
	zone, role           string
	address              string
	// seeds are the addresses of controllers in its settings. Only Move changes
	// them.
	seeds []string
	// disk is nil for routers.
	disk *disk.Disk
	// incarnation counts its processes. incarnationName is used in their ids in
	// place of name, unless it is empty.
	incarnation     int
	incarnationName string

	// The fields below belong to the current process.
	machine       process.Machine
	up, frozen    bool
	frozenSinceMs int64
	startedMs     int64
	clockOffsetMs int64
	// backlog holds what a frozen daemon handles once it resumes.
	backlog []func()
	// pending holds the clients' requests at a router, by submission id.
	pending map[uint64]*clientRequest
}

// nodeProcess is one process of a daemon. Events that are scheduled for it have
// no effect once it has ended.
type nodeProcess struct {
	node        *node
	incarnation int
}

// process returns the current process of a daemon.
func (n *node) process() nodeProcess { return nodeProcess{node: n, incarnation: n.incarnation} }

// running reports whether the process has not ended.
func (p nodeProcess) running() bool { return p.node.up && p.node.incarnation == p.incarnation }

func (w *World) addNode(member description.Member, role string) *node {
	n := &node{
		name: member.Name, configuredName: member.Name, zone: member.Zone, role: role,
		address: member.Name + ":1", pending: map[uint64]*clientRequest{},
	}
	w.nodes[n.name] = n
	w.nodeAt[n.address] = n.name
	return n
}

// clock returns the time on the daemon's own clock, which is monotonic and has
// a start of its own.
func (n *node) clock(nowMs int64) int64 { return nowMs - n.startedMs + n.clockOffsetMs }

// clockNow returns the current time on a daemon's own clock.
func (w *World) clockNow(n *node) int64 { return n.clock(w.events.NowMs()) }

// deliver gives an input to a daemon's state machine. A frozen daemon gets it
// when it resumes.
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

// Start starts a daemon from the contents of its disk.
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
		settings := router.Settings{Site: w.Description.Site, Self: w.identity(n), Seeds: n.seeds, RunnerListAddress: platformEndpoint}
		return router.New(settings, w.clockNow(n))
	}
	settings := controller.Settings{
		Site: w.Description.Site, Self: w.identity(n), Seeds: n.seeds, RunnerListAddress: platformEndpoint, OrderDelayMs: w.Bugs.HolderGapMs,
	}
	machine, err := controller.New(settings, maps.Clone(n.disk.Contents), w.clockNow(n))
	if err != nil {
		panic(fmt.Sprintf("nativesim: starting %s failed: %v", n.name, err))
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

// Kill ends a daemon at once, as a power failure does.
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
		n.pending[id].connectionLost()
	}
}

// Freeze suspends a daemon's process until Thaw resumes it.
func (w *World) Freeze(name string) {
	w.tracef("%s freezes", name)
	w.nodes[name].frozen, w.nodes[name].frozenSinceMs = true, w.events.NowMs()
}

// Thaw resumes a frozen daemon. Its clock ran on while it was frozen.
func (w *World) Thaw(name string) {
	n := w.nodes[name]
	if !n.frozen {
		return
	}
	w.tracef("%s resumes", name)
	n.frozen = false
	if w.Bugs.StopFrozenClocks {
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

// respond passes a response to the operator or client that sent the request.
func (w *World) respond(n *node, response protocol.Response) {
	if w.operator.pending[response.ID] != nil && n.role == protocol.RoleController {
		w.respondToOperator(n, response)
		return
	}
	if request := n.pending[response.ID]; request != nil {
		request.handleRouterReply(response.Body)
	}
}

// identity returns how a daemon identifies itself to other daemons.
func (w *World) identity(n *node) protocol.Node {
	return protocol.Node{Name: n.configuredName, Address: n.address, Zone: n.zone, Part: n.role, Incarnation: n.incarnationID()}
}

// incarnationID returns the incarnation of the daemon's disk. For a daemon
// without a disk it returns the incarnation of the process.
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
