package faultsim

import (
	"myrtlewinch/internal/protocol"
)

var routerFaults = []fault{
	{"router killed", func(sim *Simulation) { sim.killForAWhile(sim.randomRouter()) }},
	{"all routers killed", (*Simulation).killRouters},
	{"router frozen", func(sim *Simulation) {
		n := sim.randomRouter()
		sim.freeze(n)
		sim.thawAfter(n, sim.randomDelayMs())
	}},
	{"routers stopped in turn", (*Simulation).stopRoutersInTurn},
	{"routers restarted in rounds", (*Simulation).restartRoutersInRounds},
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

// restartRoutersInRounds stops all routers so soon after each other that clients
// still come to those that stop, while streams are slow.
func (sim *Simulation) restartRoutersInRounds() {
	const intervalMs, slowness = 1200, 18
	names := sim.nodeNames(protocol.RoleRouter)
	sim.clients.useStopping, sim.fleet.streamSlowness = true, slowness
	for i, name := range names {
		sim.after(int64(i)*intervalMs, func() { sim.stopGracefully(sim.nodes[name]) })
	}
	sim.after(int64(len(names)-1)*intervalMs+sim.Bounds.GraceMs, func() {
		sim.clients.useStopping, sim.fleet.streamSlowness = false, 1
	})
}

var runnerFaults = []fault{
	{"runner leaves", func(sim *Simulation) { sim.replaceRunner(sim.randomRunner(""), false) }},
	{"runner taken away", func(sim *Simulation) { sim.replaceRunner(sim.randomRunner(""), true) }},
	{"runners leave for good", (*Simulation).removeRunners},
	{"runner crashes", func(sim *Simulation) { sim.crashRunner(sim.randomRunner(""), true) }},
	{"runner loses power", func(sim *Simulation) { sim.crashRunner(sim.randomRunner(""), false) }},
	{"runner goes dark", (*Simulation).silenceRunner},
	{"release", (*Simulation).releaseService},
	{"answers lost", func(sim *Simulation) {
		sim.fleet.lostAnswerShare = 0.1
		sim.after(sim.randomDelayMs(), func() { sim.fleet.lostAnswerShare = 0 })
	}},
	{"runners fail", func(sim *Simulation) {
		sim.fleet.errorShare = 0.3
		sim.after(sim.randomDelayMs(), func() { sim.fleet.errorShare = 0 })
	}},
	{"runners reset", func(sim *Simulation) {
		sim.fleet.resetShare = 0.4
		sim.after(sim.randomDelayMs(), func() { sim.fleet.resetShare = 0 })
	}},
}

// removeRunners drains a runner of each large service without a replacement.
func (sim *Simulation) removeRunners() {
	const minRemaining = 3
	for _, service := range []string{modelService, plainService} {
		if len(sim.fleet.activeRunners(service)) > minRemaining {
			sim.drainRunner(sim.randomRunner(service), false)
		}
	}
}

// silenceRunner makes a runner accept everything and answer nothing for a
// while, before it crashes.
func (sim *Simulation) silenceRunner() {
	r := sim.randomRunner("")
	if r == nil {
		return
	}
	r.isSilent = true
	sim.after(sim.randomDelayMs(), func() { sim.crashRunner(r, false) })
}

// releaseService replaces all runners of a service, one after the other.
func (sim *Simulation) releaseService() {
	const intervalMs = 1500
	service := services[sim.random.Intn(len(services))]
	for i, r := range sim.fleet.activeRunners(service) {
		sim.after(int64(i)*intervalMs, func() { sim.replaceRunner(r, false) })
	}
}

var demandFaults = []fault{
	{"demand moves", func(sim *Simulation) { sim.clients.popularModel = sim.random.Intn(modelCount) }},
	{"crowd for rare models", func(sim *Simulation) {
		sim.clients.wantRareModels, sim.clients.intervalMs = true, burstIntervalMs
		sim.after(sim.randomDelayMs(), func() {
			sim.clients.wantRareModels, sim.clients.intervalMs = false, usualIntervalMs
		})
	}},
}
