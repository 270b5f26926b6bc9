package faultsim

import (
	"fmt"
	"strings"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/disk"
)

// disasters are the faults that affect all controllers at the same time. The site must serve again
// within Bounds.RecoverMs.
var disasters = []fault{
	{"all killed", func(sim *Simulation) { sim.killAll(nil) }},
	{"core killed", (*Simulation).killControllers},
	{"all killed, one disk lost", (*Simulation).killAllAndWipeOne},
}

var controllerFaults = []fault{
	{"primary killed", onPrimary((*Simulation).killForRandomTime)},
	{"backup killed", onNonPrimary((*Simulation).killForRandomTime)},
	{"primary loses its disk", onPrimary((*Simulation).loseDisk)},
	{"backup loses its disk", onNonPrimary((*Simulation).loseDisk)},
	{"primary loses its disk after an acknowledgement", (*Simulation).loseDiskAfterAcknowledgement},
	{"core machine replaced", onController((*Simulation).replaceController)},
	{"primary replaced", onPrimary((*Simulation).replaceController)},
	{"primary frozen", onPrimary(func(sim *Simulation, n *node) {
		sim.freeze(n)
		sim.resumeAfter(n, sim.randomFaultMs()+sim.randomFaultMs())
	})},
	{"backup frozen", onNonPrimary(func(sim *Simulation, n *node) {
		sim.freeze(n)
		sim.resumeAfter(n, sim.randomFaultMs())
	})},
	{"core stopped in turn", (*Simulation).stopControllersInTurn},
	{"disk stalls", onPrimary((*Simulation).stallDisk)},
	{"disk slow", onController((*Simulation).slowDisk)},
	{"disk full", onController((*Simulation).fillDisk)},
	{"disk full, then another lost", onNonPrimary((*Simulation).fillDiskThenLoseAnother)},
	{"disk full, then another loses its disk", onNonPrimary((*Simulation).fillDiskThenWipeAnother)},
	{"new core machine dies as it is taken in, then another is replaced", onNonPrimary((*Simulation).killReplacementThenReplaceAnother)},
}

// killAll kills and restarts all daemons. It empties the disk of the node wiped, unless wiped is
// nil.
func (sim *Simulation) killAll(wiped *node) {
	for _, name := range sim.nodeNames() {
		n := sim.nodes[name]
		sim.kill(n)
		if n == wiped {
			sim.wipeDisk(n)
		}
		sim.startAfter(n, 700+sim.random.Int63n(600))
	}
}

func (sim *Simulation) killAllAndWipeOne() {
	wiped := sim.randomController()
	if !sim.isLossAllowed(wiped) {
		wiped = nil
	}
	sim.killAll(wiped)
}

func (sim *Simulation) killControllers() {
	for _, name := range sim.nodeNames(protocol.RoleController) {
		sim.killAndRestart(sim.nodes[name], 700+sim.random.Int63n(300))
	}
}

func (sim *Simulation) startAfter(n *node, ms int64) {
	sim.after(ms, func() { sim.startNode(n, false) })
}

func (sim *Simulation) resumeAfter(n *node, ms int64) {
	sim.after(ms, func() { sim.resume(n) })
}

func (sim *Simulation) killForRandomTime(n *node) { sim.killAndRestart(n, sim.randomFaultMs()) }

// loseDisk kills a controller and restarts it with an empty disk.
func (sim *Simulation) loseDisk(n *node) {
	sim.kill(n)
	sim.wipeDisk(n)
	sim.startAfter(n, sim.randomFaultMs())
}

// loseDiskAfterAcknowledgement kills the primary and empties its disk right after it acknowledged a
// configuration.
func (sim *Simulation) loseDiskAfterAcknowledgement() {
	const waitSteps, waitStepMs = 40, 25
	s := sim.submitConfig(sim.primaryOrRandom())
	sim.runUntil(waitSteps, waitStepMs, func() bool { return s.isDone })
	sim.applyIfLossAllowed(sim.primaryOrRandom(), (*Simulation).loseDisk)
}

// stopControllersInTurn gracefully shuts down one controller after the other.
func (sim *Simulation) stopControllersInTurn() {
	const settleMs = 1500
	var atMs int64
	for _, name := range sim.nodeNames(protocol.RoleController) {
		n := sim.nodes[name]
		sim.after(atMs, func() { sim.applyIfLossAllowed(n, (*Simulation).stopGracefully) })
		atMs += sim.Bounds.CatchUpMs + settleMs
	}
}

func (sim *Simulation) stallDisk(n *node) {
	sim.injectDiskFault(n, func(d *disk.Disk) { d.IsStalled = true })
}

func (sim *Simulation) slowDisk(n *node) {
	sim.injectDiskFault(n, func(d *disk.Disk) { d.SlowMs = 50 + sim.random.Int63n(400) })
}

func (sim *Simulation) fillDisk(n *node) {
	sim.injectDiskFault(n, func(d *disk.Disk) { d.IsFull = true })
}

// afterFullDiskMs returns how long after its disk became full a controller must have caught up
// again. The disk is full for up to 4300 ms.
func (sim *Simulation) afterFullDiskMs() int64 { return 4500 + sim.Bounds.CatchUpMs }

// fillDiskThenLoseAnother kills the primary, or a random controller if there is none, as soon as
// the controller whose disk was full must have caught up.
func (sim *Simulation) fillDiskThenLoseAnother(n *node) {
	const downMs = 12_000
	sim.fillDisk(n)
	sim.submitConfig(sim.randomController())
	sim.after(sim.afterFullDiskMs()+500, func() {
		sim.applyIfLossAllowed(sim.primaryOrRandom(), func(sim *Simulation, n *node) { sim.killAndRestart(n, downMs) })
	})
	sim.after(sim.afterFullDiskMs()+5000, func() { sim.submitConfig(sim.randomController()) })
}

// fillDiskThenWipeAnother is like fillDiskThenLoseAnother, but the second controller also loses its
// disk.
func (sim *Simulation) fillDiskThenWipeAnother(n *node) {
	const downMs = 700
	sim.fillDisk(n)
	sim.submitConfig(sim.randomController())
	sim.after(sim.afterFullDiskMs()+500, func() {
		sim.applyIfLossAllowed(sim.primaryOrRandom(), func(sim *Simulation, n *node) {
			sim.kill(n)
			sim.wipeDisk(n)
			sim.startAfter(n, downMs)
		})
	})
	sim.after(sim.afterFullDiskMs()+6000, func() { sim.submitConfig(sim.randomController()) })
}

// witnessReplacedLog is a part of the line that a controller logs when a new controller becomes a
// witness in place of another.
const witnessReplacedLog = " takes the place of witness"

// killReplacementThenReplaceAnother replaces a controller, kills the new one just as it becomes a
// witness, and later replaces another controller.
func (sim *Simulation) killReplacementThenReplaceAnother(removed *node) {
	const downMs = 300
	sim.replaceController(removed)
	name := controllerName(sim.controllersCreated)
	sim.runUntilWitness(name)
	sim.killAndRestart(sim.nodes[name], downMs)
	sim.after(sim.Bounds.CatchUpMs+1500, func() { sim.applyIfLossAllowed(sim.primaryOrRandom(), (*Simulation).replaceController) })
	sim.after(sim.Bounds.CatchUpMs+7000, func() { sim.submitConfig(sim.randomController()) })
}

// runUntilWitness runs until a controller becomes a witness, and reports whether that happened in
// time.
func (sim *Simulation) runUntilWitness(name string) bool {
	const waitSteps, waitStepMs = 4000, 1
	return sim.runUntil(waitSteps, waitStepMs, func() bool {
		return strings.Contains(sim.trace.Last(), name+witnessReplacedLog)
	})
}

func controllerName(number int) string { return fmt.Sprintf("core-%d", number) }
