package faultsim

import (
	"myrtlewinch/internal/protocol"
)

var routerFaults = []fault{
	{"router killed", func(sim *Simulation) { sim.killForRandomTime(sim.randomRouter()) }},
	{"all routers killed", (*Simulation).killRouters},
	{"router frozen", func(sim *Simulation) {
		n := sim.randomRouter()
		sim.freeze(n)
		sim.resumeAfter(n, sim.randomFaultMs())
	}},
	{"routers stopped in turn", (*Simulation).stopRoutersInTurn},
	{"routers restarted in rounds", (*Simulation).stopRoutersInQuickSuccession},
}

func (sim *Simulation) killRouters() {
	for _, name := range sim.nodeNames(protocol.RoleRouter) {
		sim.killAndRestart(sim.nodes[name], 500+sim.random.Int63n(700))
	}
}

func (sim *Simulation) stopRoutersInTurn() {
	const intervalMs = 9000
	for i, name := range sim.nodeNames(protocol.RoleRouter) {
		sim.after(int64(i)*intervalMs, func() { sim.stopGracefully(sim.nodes[name]) })
	}
}

// stopRoutersInQuickSuccession gracefully shuts down all routers in quick succession, while streams
// are slow. Clients meanwhile also send requests to the routers that are shutting down.
func (sim *Simulation) stopRoutersInQuickSuccession() {
	const intervalMs, timeFactor = 1200, 18
	names := sim.nodeNames(protocol.RoleRouter)
	sim.clients.useStoppingRouters, sim.fleet.chunkTimeFactor = true, timeFactor
	for i, name := range names {
		sim.after(int64(i)*intervalMs, func() { sim.stopGracefully(sim.nodes[name]) })
	}
	sim.after(int64(len(names)-1)*intervalMs+sim.Bounds.GraceMs, func() {
		sim.clients.useStoppingRouters, sim.fleet.chunkTimeFactor = false, 1
	})
}

var runnerFaults = []fault{
	{"runner leaves", func(sim *Simulation) { sim.replaceRunner(sim.randomRunner(""), false) }},
	{"runner taken away", func(sim *Simulation) { sim.replaceRunner(sim.randomRunner(""), true) }},
	{"runners leave for good", (*Simulation).removeRunners},
	{"runner crashes", func(sim *Simulation) { sim.crashRunner(sim.randomRunner(""), true) }},
	{"runner loses power", func(sim *Simulation) { sim.crashRunner(sim.randomRunner(""), false) }},
	{"runner goes dark", (*Simulation).makeRunnerUnresponsive},
	{"release", (*Simulation).replaceServiceRunners},
	{"answers lost", func(sim *Simulation) {
		sim.fleet.lostResponseRate = 0.1
		sim.after(sim.randomFaultMs(), func() { sim.fleet.lostResponseRate = 0 })
	}},
	{"runners fail", func(sim *Simulation) {
		sim.fleet.errorRate = 0.3
		sim.after(sim.randomFaultMs(), func() { sim.fleet.errorRate = 0 })
	}},
	{"runners reset", func(sim *Simulation) {
		sim.fleet.resetRate = 0.4
		sim.after(sim.randomFaultMs(), func() { sim.fleet.resetRate = 0 })
	}},
}

// removeRunners drains one runner of each of the two larger services without a replacement, unless
// fewer than minRemaining active runners would remain.
func (sim *Simulation) removeRunners() {
	const minRemaining = 3
	for _, service := range []string{modelService, plainService} {
		if len(sim.fleet.activeRunners(service)) > minRemaining {
			sim.drainRunner(sim.randomRunner(service), false)
		}
	}
}

// makeRunnerUnresponsive makes a runner unresponsive for a random time, after which it crashes.
// Until then it accepts connections but sends no responses.
func (sim *Simulation) makeRunnerUnresponsive() {
	r := sim.randomRunner("")
	if r == nil {
		return
	}
	r.isUnresponsive = true
	sim.after(sim.randomFaultMs(), func() { sim.crashRunner(r, false) })
}

// replaceServiceRunners replaces all runners of a service one after the other, as the release of a
// new version of the runners does.
func (sim *Simulation) replaceServiceRunners() {
	const intervalMs = 1500
	service := services[sim.random.Intn(len(services))]
	for i, r := range sim.fleet.activeRunners(service) {
		sim.after(int64(i)*intervalMs, func() { sim.replaceRunner(r, false) })
	}
}

var demandFaults = []fault{
	{"demand moves", func(sim *Simulation) { sim.clients.popularModel = sim.random.Intn(modelCount) }},
	{"crowd for rare models", func(sim *Simulation) {
		sim.clients.drawAllModels, sim.clients.intervalMs = true, burstIntervalMs
		sim.after(sim.randomFaultMs(), func() {
			sim.clients.drawAllModels, sim.clients.intervalMs = false, usualIntervalMs
		})
	}},
}
