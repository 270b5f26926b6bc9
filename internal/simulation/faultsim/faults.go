package faultsim

import (
	"slices"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
)

// fault is a failure or an operation at the site. It also ends whatever it begins.
type fault struct {
	// name is the name on the command line and in docs/proofs.md. In names, the core is the
	// controllers, a backup is a controller that is not the primary, a map is a configuration, and
	// the list is the platform's runner list. A core machine is a controller with its host. It is
	// taken in when it becomes a witness.
	name   string
	inject func(sim *Simulation)
}

// faults lists all faults except the disasters. Campaigns draw from it by index, so with another
// order a seed would give another run.
var faults = slices.Concat(controllerFaults, routerFaults, networkFaults, configFaults, runnerFaults, demandFaults)

// findFault returns the fault with the given name. isDisaster is true if it is a disaster, which
// ends a run.
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

// controllerEffect is what a fault does to a controller.
type controllerEffect func(sim *Simulation, n *node)

func onPrimary(effect controllerEffect) func(sim *Simulation) {
	return func(sim *Simulation) { sim.applyIfLossAllowed(sim.primaryOrRandom(), effect) }
}

func onNonPrimary(effect controllerEffect) func(sim *Simulation) {
	return func(sim *Simulation) { sim.applyIfLossAllowed(sim.randomNonPrimary(), effect) }
}

func onController(effect controllerEffect) func(sim *Simulation) {
	return func(sim *Simulation) { sim.applyIfLossAllowed(sim.randomController(), effect) }
}

// applyIfLossAllowed applies an effect to a controller, unless more controllers than the site must
// tolerate would then be lost at the same time.
func (sim *Simulation) applyIfLossAllowed(n *node, effect controllerEffect) {
	if !sim.isLossAllowed(n) {
		sim.logf("fault skipped: the site need not tolerate the loss of another controller now")
		return
	}
	effect(sim, n)
}

// isLossAllowed reports whether the controller is running and the site must tolerate its loss now.
// A lost controller counts as lost until Bounds.CatchUpMs after it works again; one that is cut off
// from the majority within that time, until Bounds.CatchUpMs after it is connected again.
func (sim *Simulation) isLossAllowed(n *node) bool {
	lost := 0
	for _, name := range sim.nodeNames(protocol.RoleController) {
		if other := sim.nodes[name]; other != n && sim.countsAsLost(other) {
			lost++
		}
	}
	isRunning := n.isUp && !n.isFrozen && !n.isRemoved
	return isRunning && lost < sim.maxLostControllers
}

func (sim *Simulation) countsAsLost(n *node) bool {
	lastMs, isKnown := sim.connectivity.lastNodeFaultMs[n.name]
	isCatchingUp := isKnown && sim.NowMs()-lastMs < sim.Bounds.CatchUpMs
	return !n.isHealthy() || isCatchingUp
}

// primary returns the controller that reports that it is the primary, or nil.
func (sim *Simulation) primary() *node {
	for _, name := range sim.nodeNames(protocol.RoleController) {
		n := sim.nodes[name]
		if n.isUp && !n.isFrozen && sim.isPrimary(n) {
			return n
		}
	}
	return nil
}

// isPrimary reports whether a controller's own status says that it is the primary.
func (sim *Simulation) isPrimary(n *node) bool {
	effects := n.stateMachine.Step(n.clockMs(sim.NowMs()), controller.ReadStatus{})
	isPrimary := false
	effects.Responses = slices.DeleteFunc(effects.Responses, func(response protocol.Response) bool {
		status, isStatus := response.Body.(controller.Status)
		if isStatus {
			isPrimary = status.Active
		}
		return isStatus
	})
	sim.applyEffects(n, effects)
	return isPrimary
}

func (sim *Simulation) primaryOrRandom() *node {
	if primary := sim.primary(); primary != nil {
		return primary
	}
	return sim.randomController()
}

// randomNonPrimary draws a controller other than the primary.
func (sim *Simulation) randomNonPrimary() *node {
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

// randomFaultMs draws how long a fault lasts: up to a few seconds.
func (sim *Simulation) randomFaultMs() int64 { return 300 + sim.random.Int63n(4000) }

// allExcept returns all endpoints of the network except the clients' and the given one. It leaves
// out runners.
func (sim *Simulation) allExcept(endpoint string) []string {
	endpoints := append(sim.nodeNames(), runnerListAddress, operatorEndpoint)
	return slices.DeleteFunc(endpoints, func(name string) bool { return name == endpoint })
}

// isolate partitions a node from all others for a random time.
func (sim *Simulation) isolate(n *node) {
	sim.partition([]string{n.name}, sim.allExcept(n.name), false)
	sim.healAfter(sim.randomFaultMs())
}

func (sim *Simulation) healAfter(ms int64) { sim.after(ms, sim.heal) }
