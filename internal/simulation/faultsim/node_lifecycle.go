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
	// exitDelayMs is the time between a controller's LeaveResult and its exit.
	exitDelayMs = 300
	// restartDelayMs is the time between a planned exit and the next start.
	restartDelayMs = 500
	// routerExitMarginMs is how long before the end of its grace period a stopping router exits.
	routerExitMarginMs = 500
)

// startNode starts a daemon, unless it is running or was removed. A controller starts from the
// contents of its disk.
func (sim *Simulation) startNode(n *node, isFirstStart bool) {
	if n.isUp || n.isRemoved {
		return
	}
	n.isUp, n.isFrozen, n.isStopping, n.backlog = true, false, false, nil
	n.incarnation++
	n.startedMs, n.clockOffsetMs = sim.NowMs(), clockStartMs+sim.random.Int63n(clockSpreadMs)
	n.requests = map[uint64]*proxiedRequest{}
	if isFirstStart && n.isController() {
		// The process writes these before it can be reached.
		maps.Copy(n.disk.Contents, consensus.InitialRows())
	}
	sim.createStateMachine(n, isFirstStart)
	sim.logf("%s starts", n.name)
	sim.connectivity.recordFault(n)
	incarnation := n.incarnation
	sim.after(sim.random.Int63n(tickIntervalMs), func() { sim.tickNode(n, incarnation) })
}

// kill ends a daemon at once, as a loss of power at its host does.
func (sim *Simulation) kill(n *node) {
	if !n.isUp {
		return
	}
	sim.logf("%s is killed", n.name)
	sim.connectivity.recordFault(n)
	n.isUp = false
	if n.disk != nil {
		// After a loss of power some prefix of the pending writes is durable.
		durable := sim.random.Intn(n.disk.Pending() + 1)
		n.disk.losePower(durable, sim.Bugs.LoseSyncedWrites)
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		n.requests[id].handleRouterCrash()
	}
	sim.operators.handleNodeCrash(n)
}

// stopGracefully begins a graceful shutdown. The daemon exits no later than at the end of its grace
// period, and then starts again.
func (sim *Simulation) stopGracefully(n *node) {
	if !n.isUp || n.isFrozen || n.isStopping {
		return
	}
	sim.logf("%s begins a graceful shutdown", n.name)
	n.isStopping, n.stopStartedMs = true, sim.NowMs()
	sim.connectivity.recordFault(n)
	incarnation := n.incarnation
	exit := func() { sim.exitAndRestart(n, incarnation) }
	if n.isController() {
		// A controller exits earlier if its LeaveResult arrives earlier; see handleResponse.
		sim.deliver(n, incarnation, consensus.Leave{})
		sim.after(sim.Bounds.GraceMs, exit)
		return
	}
	if !sim.Bugs.IgnoreShutdown {
		sim.deliver(n, incarnation, proxy.Drain{StartMs: n.clockMs(sim.NowMs())})
	}
	sim.after(sim.Bounds.GraceMs-routerExitMarginMs, exit)
}

// exitAndRestart ends an incarnation after a graceful shutdown, and starts the next one.
func (sim *Simulation) exitAndRestart(n *node, incarnation int) {
	if !n.isRunning(incarnation) {
		return
	}
	sim.Checker.recordPlannedExit(n)
	sim.killAndRestart(n, restartDelayMs)
}

// killAndRestart kills a daemon and starts it again after a delay.
func (sim *Simulation) killAndRestart(n *node, afterMs int64) {
	sim.kill(n)
	sim.after(afterMs, func() { sim.startNode(n, false) })
}

// freeze suspends a daemon's process until resume is called.
func (sim *Simulation) freeze(n *node) {
	if n.isUp && !n.isFrozen {
		sim.logf("%s freezes", n.name)
		n.isFrozen = true
		sim.connectivity.recordFault(n)
	}
}

// resume resumes a frozen daemon, which then handles its backlog. Its clock went on during the
// freeze.
func (sim *Simulation) resume(n *node) {
	if !n.isFrozen {
		return
	}
	sim.logf("%s resumes after a freeze", n.name)
	n.isFrozen = false
	sim.connectivity.recordFault(n)
	sim.resumedAtMs[n.name] = sim.NowMs()
	backlog := n.backlog
	n.backlog = nil
	for _, handle := range backlog {
		handle()
	}
}

// replaceController kills and removes a controller, and later starts one with an empty disk at a
// new address and gives all nodes the new seeds.
func (sim *Simulation) replaceController(removed *node) {
	sim.kill(removed)
	removed.isRemoved = true
	sim.controllersCreated++
	number := sim.controllersCreated
	n := sim.addNode(controllerName(number), fmt.Sprintf("10.0.0.%d", number), removed.zone, protocol.RoleController)
	sim.logf("%s replaces %s", n.name, removed.name)
	sim.after(sim.random.Int63n(1500), func() {
		sim.seeds = sim.newestControllerAddresses()
		sim.startNode(n, false)
		sim.updateSeeds(n)
	})
}

// updateSeeds gives the current seeds to all nodes except one.
func (sim *Simulation) updateSeeds(except *node) {
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

// newestControllerAddresses returns the addresses of the seedCount newest controllers, by
// controllerRank.
func (sim *Simulation) newestControllerAddresses() []string {
	names := sim.nodeNames(protocol.RoleController)
	slices.SortFunc(names, func(a, b string) int { return controllerRank(b) - controllerRank(a) })
	var addresses []string
	for _, name := range names[:seedCount] {
		addresses = append(addresses, sim.nodes[name].address+daemonPort)
	}
	return addresses
}

// controllerRank orders controllers roughly by number: by the length of the name, then by its last
// digit. This order must not change, because it affects what a recorded seed reproduces.
func controllerRank(name string) int { return len(name)*1000 + int(name[len(name)-1]) }
