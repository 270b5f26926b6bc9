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
	tickIntervalMs = 50
	// maxBacklog bounds how many inputs are kept for a frozen daemon.
	maxBacklog = 4096
	// The clock of a daemon starts at a random value from clockStartMs to
	// clockStartMs+clockSpreadMs.
	clockStartMs      = 3_600_000
	clockSpreadMs     = 1_000_000
	runnerListAddress = "list"
	// maxListCallsPerSec is how many calls per second the platform's runner list accepts.
	maxListCallsPerSec = 47.0
)

// stateMachine is the part of a daemon whose real code runs in the simulation.
type stateMachine interface {
	Step(nowMs int64, input protocol.Input) protocol.Effects
}

// node is one daemon with the host that it runs on.
type node struct {
	name, zone, role, address string
	stateMachine              stateMachine
	// isFrozen is true while the process is suspended: it handles no input, but its clock goes on.
	isUp, isFrozen bool
	// isRemoved is true if the host was permanently replaced by another.
	isRemoved bool
	// isStopping is true during a graceful shutdown, which began at stopStartedMs.
	isStopping    bool
	stopStartedMs int64
	// incarnation counts the starts of the process. stateMachinesCreated counts its state machines,
	// over all starts: a process whose disk failed creates another one.
	incarnation, stateMachinesCreated int
	// startedMs is when the process started, and clockOffsetMs the reading of its own clock at that
	// time.
	startedMs, clockOffsetMs int64
	// backlog holds what the process does once it is no longer frozen.
	backlog []func()
	// disk is nil for routers.
	disk *controllerDisk
	// requests are the requests that the router is handling, by ID.
	requests      map[uint64]*proxiedRequest
	lastRequestID uint64
}

func (n *node) isController() bool { return n.role == protocol.RoleController }

// isHealthy reports whether the daemon is running normally and its disk, if it has one, works.
func (n *node) isHealthy() bool {
	isRunning := n.isUp && !n.isFrozen && !n.isStopping
	return isRunning && (n.disk == nil || n.disk.IsHealthy())
}

// isRunning reports whether the given incarnation of the process is running; it may be frozen.
func (n *node) isRunning(incarnation int) bool { return n.isUp && n.incarnation == incarnation }

// clockMs returns the time on the daemon's own monotonic clock, which starts at a random value.
func (n *node) clockMs(nowMs int64) int64 { return nowMs - n.startedMs + n.clockOffsetMs }

// identity returns the identity that the daemon states in its messages.
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

// nodeNames returns the sorted names of the nodes with one of the given roles, or of all nodes if
// no role is given. It leaves out removed nodes.
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

// createStateMachine gives a daemon a new state machine. That of a controller starts from the
// contents of the disk.
func (sim *Simulation) createStateMachine(n *node, isFirstStart bool) {
	n.stateMachinesCreated++
	if n.isController() {
		n.disk.reopen()
		n.stateMachine = sim.newController(n, isFirstStart)
		return
	}
	n.stateMachine = proxy.New(proxy.Settings{
		Site: siteName, Self: n.identity(), Seeds: slices.Clone(sim.seeds), Bounds: sim.Bounds, RunnerListAddress: runnerListAddress,
	}, jsonFormat{}, n.clockMs(sim.NowMs()))
}

func (sim *Simulation) newController(n *node, isFirstStart bool) stateMachine {
	self, catchUpMs := n.identity(), sim.Bounds.CatchUpMs
	application := controller.New(controller.Settings{
		Self: self, Bounds: sim.Bounds, RunnerListAddress: runnerListAddress, RunnerListCallsPerSec: maxListCallsPerSec,
		OperatorPort: strings.TrimPrefix(operatorPort, ":"),
	}, jsonFormat{})
	machine, err := consensus.New(consensus.Settings{
		Site: siteName, Self: self, Seeds: slices.Clone(sim.seeds), Application: sim.withBugs(application),
		MaxLosses: sim.maxLostControllers, FirstStart: isFirstStart, OrderDelayMs: sim.Bounds.LeaseMs + sim.Bounds.ThawMs,
		WitnessTimeoutMs: consensus.WitnessTimeoutFor(catchUpMs), ReplicaGraceMs: consensus.ReplicaGraceFor(catchUpMs),
		Timing: consensus.TimingFor(catchUpMs), LeaveTimeoutMs: controller.ShutdownHandoverMs(sim.Bounds),
	}, maps.Clone(n.disk.Contents), n.clockMs(sim.NowMs()))
	if err != nil {
		panic(fmt.Sprintf("faultsim: creating the state machine of %s failed: %v", n.name, err))
	}
	return machine
}

// tickNode delivers a Tick to a daemon periodically until the incarnation ends.
func (sim *Simulation) tickNode(n *node, incarnation int) {
	if !n.isRunning(incarnation) {
		return
	}
	if !n.isFrozen {
		sim.deliver(n, incarnation, protocol.Tick{})
	}
	sim.after(tickIntervalMs, func() { sim.tickNode(n, incarnation) })
}

// deliver passes an input to a daemon's state machine. A frozen daemon handles it once it resumes.
func (sim *Simulation) deliver(n *node, incarnation int, input protocol.Input) {
	switch {
	case !n.isRunning(incarnation):
	case n.isFrozen:
		if len(n.backlog) < maxBacklog {
			n.backlog = append(n.backlog, func() { sim.deliver(n, incarnation, input) })
		}
	default:
		sim.applyEffects(n, n.stateMachine.Step(n.clockMs(sim.NowMs()), input))
	}
}

// applyEffects carries out the effects of a step of a daemon's state machine.
func (sim *Simulation) applyEffects(n *node, effects protocol.Effects) {
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
	for _, response := range effects.Responses {
		sim.handleResponse(n, incarnation, response)
	}
}

// handleResponse passes a daemon's response to the caller that waits for it. A controller's
// LeaveResult means that the daemon may exit.
func (sim *Simulation) handleResponse(n *node, incarnation int, response protocol.Response) {
	if _, hasLeft := response.Body.(consensus.LeaveResult); hasLeft {
		sim.after(exitDelayMs, func() { sim.exitAndRestart(n, incarnation) })
		return
	}
	if n.isController() {
		sim.operators.sendResponse(n, response)
		return
	}
	request := n.requests[response.ID]
	if request == nil {
		sim.Checker.report(RuleAnswer, sim.NowMs(), "%s responded to a request that has ended: %T", n.name, response.Body)
		return
	}
	request.handleOutput(response.Body.(proxy.Output))
}
