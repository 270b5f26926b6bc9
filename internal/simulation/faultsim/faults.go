package faultsim

import (
	"slices"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
)

// fault is something that goes wrong, or is done, at the site. Whatever it
// begins, it also ends.
type fault struct {
	// name is what the command line and docs/proofs.md know it by.
	name   string
	inject func(sim *Simulation)
}

// faults lists all faults but disasters. Campaigns draw from it by index, so its
// order is part of what a seed means.
var faults = slices.Concat(controllerFaults, routerFaults, networkFaults, configFaults, runnerFaults, demandFaults)

// findFault finds a fault by name; isDisaster says that it ends a run.
func findFault(name string) (found fault, isDisaster, isKnown bool) {
	for _, f := range faults {
		if f.name == name {
			return f, false, true
		}
	}
	for _, f := range disasters {
		if f.name == name {
			return f, true, true
		}
	}
	return fault{}, false, false
}

// The fault's effect on a controller, if the site can lose one now.
type controllerEffect func(sim *Simulation, n *node)

func onPrimary(effect controllerEffect) func(sim *Simulation) {
	return func(sim *Simulation) { sim.ifLosable(sim.primaryOrRandom(), effect) }
}

func onBackup(effect controllerEffect) func(sim *Simulation) {
	return func(sim *Simulation) { sim.ifLosable(sim.randomBackup(), effect) }
}

func onController(effect controllerEffect) func(sim *Simulation) {
	return func(sim *Simulation) { sim.ifLosable(sim.randomController(), effect) }
}

// ifLosable does something to a controller if the site must be able to lose it
// now.
func (sim *Simulation) ifLosable(n *node, effect controllerEffect) {
	if !sim.isLosable(n) {
		sim.logf("no controller may be lost now")
		return
	}
	effect(sim, n)
}

// isLosable says whether the site must be able to lose a controller now. A lost
// controller counts as lost until it has had its time to catch up.
func (sim *Simulation) isLosable(n *node) bool {
	lost := 0
	for _, name := range sim.nodeNames(protocol.RoleController) {
		if other := sim.nodes[name]; other != n && sim.countsAsLost(other) {
			lost++
		}
	}
	isRunning := n.isUp && !n.isFrozen && !n.isRemoved
	return isRunning && lost < sim.allowedLosses
}

func (sim *Simulation) countsAsLost(n *node) bool {
	lastMs, isKnown := sim.connectivity.disturbedMs[n.name]
	isCatchingUp := isKnown && sim.NowMs()-lastMs < sim.Bounds.CatchUpMs
	return !n.isHealthy() || isCatchingUp
}

// primary finds the controller that says it is the primary, or nil.
func (sim *Simulation) primary() *node {
	for _, name := range sim.nodeNames(protocol.RoleController) {
		n := sim.nodes[name]
		if n.isUp && !n.isFrozen && sim.isPrimary(n) {
			return n
		}
	}
	return nil
}

// isPrimary asks a controller for its status.
func (sim *Simulation) isPrimary(n *node) bool {
	effects := n.machine.Step(n.clock(sim.NowMs()), controller.ReadStatus{})
	isActive := false
	effects.Responses = slices.DeleteFunc(effects.Responses, func(answer protocol.Response) bool {
		status, isStatus := answer.Body.(controller.Status)
		if isStatus {
			isActive = status.Active
		}
		return isStatus
	})
	sim.apply(n, effects)
	return isActive
}

func (sim *Simulation) primaryOrRandom() *node {
	if primary := sim.primary(); primary != nil {
		return primary
	}
	return sim.randomController()
}

// randomBackup draws a controller that is not the primary.
func (sim *Simulation) randomBackup() *node {
	primary := sim.primaryOrRandom()
	for {
		if n := sim.randomController(); n != primary {
			return n
		}
	}
}

func (sim *Simulation) randomRouter() *node {
	names := sim.nodeNames(protocol.RoleRouter)
	return sim.nodes[names[sim.random.Intn(len(names))]]
}

// randomDelayMs draws how long a fault lasts: up to a few seconds.
func (sim *Simulation) randomDelayMs() int64 { return 300 + sim.random.Int63n(4000) }

// allExcept lists all endpoints of the network but clients and one more.
func (sim *Simulation) allExcept(endpoint string) []string {
	endpoints := append(sim.nodeNames(), listAddress, operatorEndpoint)
	return slices.DeleteFunc(endpoints, func(name string) bool { return name == endpoint })
}

// isolate cuts the links from and to a node for a while.
func (sim *Simulation) isolate(n *node) {
	sim.cut([]string{n.name}, sim.allExcept(n.name), false)
	sim.healAfter(sim.randomDelayMs())
}

func (sim *Simulation) healAfter(ms int64) { sim.after(ms, sim.heal) }
