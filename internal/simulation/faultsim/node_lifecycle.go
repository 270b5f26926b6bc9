package faultsim

import (
	"fmt"
	"maps"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

const (
	// exitDelayMs passes between a controller's hand-over and its exit.
	exitDelayMs = 300
	// restartDelayMs passes between a planned exit and the next start.
	restartDelayMs = 500
	// routerExitEarlyMs is how long before the end of its grace a router exits.
	routerExitEarlyMs = 500
)

// startNode starts a daemon from what its disk holds.
func (sim *Simulation) startNode(n *node, isFirstStart bool) {
	if n.isUp || n.isRemoved {
		return
	}
	n.isUp, n.isFrozen, n.isStopping, n.backlog = true, false, false, nil
	n.incarnation++
	n.startedMs, n.clockOffsetMs = sim.NowMs(), clockStartMs+sim.random.Int63n(clockSpreadMs)
	n.requests = map[uint64]*proxiedRequest{}
	sim.createMachine(n, isFirstStart)
	sim.logf("%s starts", n.name)
	sim.connectivity.disturb(n)
	incarnation := n.incarnation
	sim.after(sim.random.Int63n(tickMs), func() { sim.tickNode(n, incarnation) })
}

// kill ends a daemon at once.
func (sim *Simulation) kill(n *node) {
	if !n.isUp {
		return
	}
	sim.logf("%s is killed", n.name)
	sim.connectivity.disturb(n)
	n.isUp = false
	if n.disk != nil {
		// A loss of power leaves some prefix of the writes that were not synced.
		durable := sim.random.Intn(n.disk.Pending() + 1)
		n.disk.losePower(durable, sim.Bugs.LoseSyncedWrites)
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		n.requests[id].routerCrashed()
	}
	sim.operators.nodeCrashed(n)
}

// stopGracefully begins a planned stop. The daemon exits at the latest when its
// grace is over, and starts again.
func (sim *Simulation) stopGracefully(n *node) {
	if !n.isUp || n.isFrozen || n.isStopping {
		return
	}
	sim.logf("%s is told to stop", n.name)
	n.isStopping, n.stopStartedMs = true, sim.NowMs()
	sim.connectivity.disturb(n)
	incarnation := n.incarnation
	exit := func() { sim.exitAndRestart(n, incarnation) }
	if n.isController() {
		// It exits earlier, once it has handed over; see handleAnswer.
		sim.deliver(n, incarnation, consensus.Leave{})
		sim.after(sim.Bounds.GraceMs, exit)
		return
	}
	if !sim.Bugs.IgnoreShutdown {
		sim.deliver(n, incarnation, proxy.Drain{StartMs: n.clock(sim.NowMs())})
	}
	sim.after(sim.Bounds.GraceMs-routerExitEarlyMs, exit)
}

// exitAndRestart ends an incarnation that stops as planned, and starts the next.
func (sim *Simulation) exitAndRestart(n *node, incarnation int) {
	if !n.runs(incarnation) {
		return
	}
	sim.Checker.recordPlannedExit(n)
	sim.killAndRestart(n, restartDelayMs)
}

// killAndRestart kills a daemon and starts it again after a while.
func (sim *Simulation) killAndRestart(n *node, afterMs int64) {
	sim.kill(n)
	sim.after(afterMs, func() { sim.startNode(n, false) })
}

// freeze stops a daemon without ending it; thaw lets it continue.
func (sim *Simulation) freeze(n *node) {
	if n.isUp && !n.isFrozen {
		sim.logf("%s freezes", n.name)
		n.isFrozen = true
		sim.connectivity.disturb(n)
	}
}

// thaw lets a frozen daemon go on with what waits. Its clock has gone on.
func (sim *Simulation) thaw(n *node) {
	if !n.isFrozen {
		return
	}
	sim.logf("%s thaws", n.name)
	n.isFrozen = false
	sim.connectivity.disturb(n)
	sim.thawedAtMs[n.name] = sim.NowMs()
	backlog := n.backlog
	n.backlog = nil
	for _, handle := range backlog {
		handle()
	}
}

// replaceController removes a controller and starts an empty one at a new
// address. All nodes are notified of the new seeds.
func (sim *Simulation) replaceController(removed *node) {
	sim.kill(removed)
	removed.isRemoved = true
	sim.controllersMade++
	number := sim.controllersMade
	n := sim.addNode(controllerName(number), fmt.Sprintf("10.0.0.%d", number), removed.zone, protocol.RoleController)
	sim.logf("%s takes the place of %s", n.name, removed.name)
	sim.after(sim.random.Int63n(1500), func() {
		sim.seeds = sim.newestControllers()
		sim.startNode(n, false)
		sim.reseed(n)
	})
}

// reseed notifies all nodes but one of the new seeds.
func (sim *Simulation) reseed(except *node) {
	for _, name := range sim.nodeNames() {
		n := sim.nodes[name]
		switch {
		case n == except:
		case n.isController():
			sim.deliver(n, n.incarnation, consensus.SetSeeds{Seeds: slices.Clone(sim.seeds)})
		default:
			sim.deliver(n, n.incarnation, proxy.SetSeeds{Seeds: slices.Clone(sim.seeds)})
		}
	}
}

// newestControllers gives the addresses of the controllers that were made last.
func (sim *Simulation) newestControllers() []string {
	names := sim.nodeNames(protocol.RoleController)
	slices.SortFunc(names, func(a, b string) int { return controllerRank(b) - controllerRank(a) })
	var addresses []string
	for _, name := range names[:seedCount] {
		addresses = append(addresses, sim.nodes[name].address+daemonPort)
	}
	return addresses
}

// controllerRank orders controllers roughly by number: a longer name first,
// then the last digit. Recorded seeds depend on this order.
func controllerRank(name string) int { return len(name)*1000 + int(name[len(name)-1]) }
