package faultsim

import (
	"fmt"
	"strings"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/disk"
)

// disasters affect all controllers at the same time. The site has
// Bounds.RecoverMs to serve again.
var disasters = []fault{
	{"all killed", func(sim *Simulation) { sim.killAll(nil) }},
	{"core killed", (*Simulation).killControllers},
	{"all killed, one disk lost", (*Simulation).killAllAndWipeOne},
}

var controllerFaults = []fault{
	{"primary killed", onPrimary((*Simulation).killForAWhile)},
	{"backup killed", onBackup((*Simulation).killForAWhile)},
	{"primary loses its disk", onPrimary((*Simulation).loseDisk)},
	{"backup loses its disk", onBackup((*Simulation).loseDisk)},
	{"primary loses its disk after an acknowledgement", (*Simulation).loseDiskAfterAcknowledgement},
	{"core machine replaced", onController((*Simulation).replaceController)},
	{"primary replaced", onPrimary((*Simulation).replaceController)},
	{"primary frozen", onPrimary(func(sim *Simulation, n *node) {
		sim.freeze(n)
		sim.thawAfter(n, sim.randomDelayMs()+sim.randomDelayMs())
	})},
	{"backup frozen", onBackup(func(sim *Simulation, n *node) {
		sim.freeze(n)
		sim.thawAfter(n, sim.randomDelayMs())
	})},
	{"core stopped in turn", (*Simulation).stopControllersInTurn},
	{"disk stalls", onPrimary((*Simulation).stallDisk)},
	{"disk slow", onController((*Simulation).slowDisk)},
	{"disk full", onController((*Simulation).fillDisk)},
	{"disk full, then another lost", onBackup((*Simulation).fillDiskThenLoseAnother)},
	{"disk full, then another loses its disk", onBackup((*Simulation).fillDiskThenWipeAnother)},
	{"new core machine dies as it is taken in, then another is replaced", onBackup((*Simulation).killReplacementThenReplaceAnother)},
}

// killAll kills all daemons, empties one disk if it is given, and restarts all.
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
	if !sim.isLosable(wiped) {
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

func (sim *Simulation) thawAfter(n *node, ms int64) {
	sim.after(ms, func() { sim.thaw(n) })
}

func (sim *Simulation) killForAWhile(n *node) { sim.killAndRestart(n, sim.randomDelayMs()) }

// loseDisk kills a controller and restarts it with an empty disk.
func (sim *Simulation) loseDisk(n *node) {
	sim.kill(n)
	sim.wipeDisk(n)
	sim.startAfter(n, sim.randomDelayMs())
}

// loseDiskAfterAcknowledgement lets the primary lose its disk right after it
// acknowledged a configuration.
func (sim *Simulation) loseDiskAfterAcknowledgement() {
	const waitSteps, waitStepMs = 40, 25
	s := sim.submitConfig(sim.primaryOrRandom())
	sim.runUntil(waitSteps, waitStepMs, func() bool { return s.isDone })
	sim.ifLosable(sim.primaryOrRandom(), (*Simulation).loseDisk)
}

// stopControllersInTurn stops one controller after the other as planned.
func (sim *Simulation) stopControllersInTurn() {
	const settleMs = 1500
	var atMs int64
	for _, name := range sim.nodeNames(protocol.RoleController) {
		n := sim.nodes[name]
		sim.after(atMs, func() { sim.ifLosable(n, (*Simulation).stopGracefully) })
		atMs += sim.Bounds.CatchUpMs + settleMs
	}
}

func (sim *Simulation) stallDisk(n *node) {
	sim.degradeDisk(n, func(d *disk.Disk) { d.IsStalled = true })
}

func (sim *Simulation) slowDisk(n *node) {
	sim.degradeDisk(n, func(d *disk.Disk) { d.SlowMs = 50 + sim.random.Int63n(400) })
}

func (sim *Simulation) fillDisk(n *node) {
	sim.degradeDisk(n, func(d *disk.Disk) { d.IsFull = true })
}

// afterFullDiskMs is when a controller whose disk was full has caught up; the
// disk is full for up to 4300 ms.
func (sim *Simulation) afterFullDiskMs() int64 { return 4500 + sim.Bounds.CatchUpMs }

// fillDiskThenLoseAnother kills a second controller as soon as the one whose
// disk was full must have caught up.
func (sim *Simulation) fillDiskThenLoseAnother(n *node) {
	const downMs = 12_000
	sim.fillDisk(n)
	sim.submitConfig(sim.randomController())
	sim.after(sim.afterFullDiskMs()+500, func() {
		sim.ifLosable(sim.primaryOrRandom(), func(sim *Simulation, n *node) { sim.killAndRestart(n, downMs) })
	})
	sim.after(sim.afterFullDiskMs()+5000, func() { sim.submitConfig(sim.randomController()) })
}

// fillDiskThenWipeAnother empties a second controller's disk as soon as the one
// whose disk was full must have caught up.
func (sim *Simulation) fillDiskThenWipeAnother(n *node) {
	const downMs = 700
	sim.fillDisk(n)
	sim.submitConfig(sim.randomController())
	sim.after(sim.afterFullDiskMs()+500, func() {
		sim.ifLosable(sim.primaryOrRandom(), func(sim *Simulation, n *node) {
			sim.kill(n)
			sim.wipeDisk(n)
			sim.startAfter(n, downMs)
		})
	})
	sim.after(sim.afterFullDiskMs()+6000, func() { sim.submitConfig(sim.randomController()) })
}

// witnessReplacedLog is part of the line that package consensus logs when a new
// controller becomes a witness.
const witnessReplacedLog = " takes the place of witness"

// killReplacementThenReplaceAnother replaces a controller, kills the new one
// just as it becomes a witness, and replaces another one later.
func (sim *Simulation) killReplacementThenReplaceAnother(removed *node) {
	const downMs = 300
	sim.replaceController(removed)
	name := controllerName(sim.controllersMade)
	sim.runUntilWitness(name)
	sim.killAndRestart(sim.nodes[name], downMs)
	sim.after(sim.Bounds.CatchUpMs+1500, func() { sim.ifLosable(sim.primaryOrRandom(), (*Simulation).replaceController) })
	sim.after(sim.Bounds.CatchUpMs+7000, func() { sim.submitConfig(sim.randomController()) })
}

// runUntilWitness runs until a controller becomes a witness, and says whether it
// did in time.
func (sim *Simulation) runUntilWitness(name string) bool {
	const waitSteps, waitStepMs = 4000, 1
	return sim.runUntil(waitSteps, waitStepMs, func() bool {
		return strings.Contains(sim.trace.Last(), name+witnessReplacedLog)
	})
}

func controllerName(number int) string { return fmt.Sprintf("core-%d", number) }
