package faultsim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

const (
	tickMs = 50
	// maxBacklog bounds the inputs that wait for a frozen daemon.
	maxBacklog = 4096
	// Clocks of daemons begin at clockStartMs plus up to clockSpreadMs.
	clockStartMs  = 3_600_000
	clockSpreadMs = 1_000_000
	listAddress   = "list"
	// listPerSec is how many calls a second the platform's list answers.
	listPerSec = 47.0
)

// stateMachine is the part of a daemon that is simulated in its own code.
type stateMachine interface {
	Step(nowMs int64, input protocol.Input) protocol.Effects
}

// node is one daemon on a machine of its own.
type node struct {
	name, zone, role, address string
	machine                   stateMachine
	isUp, isFrozen            bool
	// isRemoved says that the machine was replaced for good.
	isRemoved bool
	// isStopping says that a planned stop is under way, since stopStartedMs.
	isStopping    bool
	stopStartedMs int64
	// incarnation counts the runs of the process, machines all machines of all
	// runs: a process whose disk failed makes another one.
	incarnation, machines int
	// startedMs is when the process started, and clockOffsetMs what its own clock
	// showed then.
	startedMs, clockOffsetMs int64
	// backlog is what waits for the end of a freeze.
	backlog []func()
	// disk is nil for routers.
	disk *controllerDisk
	// requests are those that the router handles, by ID.
	requests      map[uint64]*proxiedRequest
	lastRequestID uint64
}

func (n *node) isController() bool { return n.role == protocol.RoleController }

// isHealthy says that it runs and its disk, if it has one, works.
func (n *node) isHealthy() bool {
	isRunning := n.isUp && !n.isFrozen && !n.isStopping
	return isRunning && (n.disk == nil || n.disk.IsHealthy())
}

// runs says whether an incarnation of the process is the running one.
func (n *node) runs(incarnation int) bool { return n.isUp && n.incarnation == incarnation }

// clock is the daemon's own clock: monotonic, with a start of its own.
func (n *node) clock(nowMs int64) int64 { return nowMs - n.startedMs + n.clockOffsetMs }

// identity is the node that the daemon states in its messages.
func (n *node) identity() protocol.Node {
	identity := protocol.Node{
		Name: n.name, Address: n.address + daemonPort, Zone: n.zone, Part: n.role,
		Incarnation: fmt.Sprintf("%s-life-%d", n.name, n.incarnation),
	}
	if n.isController() {
		identity.Incarnation = n.disk.Incarnation()
	}
	return identity
}

func (sim *Simulation) addNode(name, address, zone, role string) *node {
	n := &node{name: name, address: address, zone: zone, role: role, requests: map[uint64]*proxiedRequest{}}
	if role == protocol.RoleController {
		n.disk = newControllerDisk(name)
	}
	sim.nodes[name] = n
	return n
}

// nodeNames lists the nodes that were not removed, of some roles or all, in
// order.
func (sim *Simulation) nodeNames(roles ...string) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(sim.nodes)) {
		n := sim.nodes[name]
		if !n.isRemoved && (len(roles) == 0 || slices.Contains(roles, n.role)) {
			names = append(names, name)
		}
	}
	return names
}

// createMachine gives a daemon a new machine; that of a controller starts from
// what the disk holds.
func (sim *Simulation) createMachine(n *node, isFirstStart bool) {
	n.machines++
	if n.isController() {
		n.disk.reopen()
		n.machine = sim.newController(n, isFirstStart)
		return
	}
	n.machine = proxy.New(proxy.Settings{
		Site: siteName, Self: n.identity(), Seeds: slices.Clone(sim.seeds), Bounds: sim.Bounds, ListAddress: listAddress,
	}, format{}, n.clock(sim.NowMs()))
}

func (sim *Simulation) newController(n *node, isFirstStart bool) stateMachine {
	self, catchUpMs := n.identity(), sim.Bounds.CatchUpMs
	application := controller.New(controller.Settings{
		Self: self, Bounds: sim.Bounds, ListAddress: listAddress, ListPerSec: listPerSec,
		ControlPort: strings.TrimPrefix(controlPort, ":"),
	}, format{})
	machine, err := consensus.New(consensus.Settings{
		Site: siteName, Self: self, Seeds: slices.Clone(sim.seeds), Application: sim.withBugs(application),
		MaxLosses: sim.allowedLosses, FirstStart: isFirstStart, GapMs: sim.Bounds.LeaseMs + sim.Bounds.ThawMs,
		WitnessTimeoutMs: consensus.WitnessTimeoutFor(catchUpMs), ReplicaGraceMs: consensus.ReplicaGraceFor(catchUpMs),
		Timing: consensus.TimingFor(catchUpMs), LeaveTimeoutMs: controller.ShutdownHandoverMs(sim.Bounds),
	}, maps.Clone(n.disk.Contents), n.clock(sim.NowMs()))
	if err != nil {
		panic(fmt.Sprintf("faultsim: %s does not start: %v", n.name, err))
	}
	return machine
}

// tickNode gives a daemon its periodic input.
func (sim *Simulation) tickNode(n *node, incarnation int) {
	if !n.runs(incarnation) {
		return
	}
	if !n.isFrozen {
		sim.deliver(n, incarnation, protocol.Tick{})
	}
	sim.after(tickMs, func() { sim.tickNode(n, incarnation) })
}

// deliver gives a daemon an input; a frozen one handles it once it thaws.
func (sim *Simulation) deliver(n *node, incarnation int, input protocol.Input) {
	switch {
	case !n.runs(incarnation):
	case n.isFrozen:
		if len(n.backlog) < maxBacklog {
			n.backlog = append(n.backlog, func() { sim.deliver(n, incarnation, input) })
		}
	default:
		sim.apply(n, n.machine.Step(n.clock(sim.NowMs()), input))
	}
}

// apply carries out the effects of a daemon's step.
func (sim *Simulation) apply(n *node, effects protocol.Effects) {
	incarnation := n.incarnation
	for _, line := range effects.LogLines {
		sim.logf("%s: %s", n.name, line)
	}
	for _, write := range effects.DiskWrites {
		sim.enqueueWrite(n, write)
	}
	for _, send := range effects.Sends {
		sim.sendMessage(n, send)
	}
	for _, call := range effects.Calls {
		sim.startOutboundCall(n, incarnation, call)
	}
	for _, answer := range effects.Responses {
		sim.handleAnswer(n, incarnation, answer)
	}
}

// handleAnswer passes a daemon's answer to the caller that waits for it.
func (sim *Simulation) handleAnswer(n *node, incarnation int, answer protocol.Response) {
	if _, isDeparted := answer.Body.(consensus.LeaveResult); isDeparted {
		sim.after(exitDelayMs, func() { sim.exitAndRestart(n, incarnation) })
		return
	}
	if n.isController() {
		sim.operators.receiveAnswer(n, answer)
		return
	}
	request := n.requests[answer.ID]
	if request == nil {
		sim.Checker.report(RuleAnswer, sim.NowMs(), "%s answered a request that has ended: %T", n.name, answer.Body)
		return
	}
	request.handleOutput(answer.Body.(proxy.Output))
}
