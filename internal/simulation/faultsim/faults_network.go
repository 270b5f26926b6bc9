package faultsim

import (
	"myrtlewinch/internal/protocol"
)

var networkFaults = []fault{
	{"primary cut off", onPrimary((*Simulation).isolate)},
	{"primary heard by nobody", onPrimary(func(sim *Simulation, n *node) {
		sim.partition([]string{n.name}, sim.allExcept(n.name), true)
		sim.healAfter(sim.randomFaultMs())
	})},
	{"primary hears nobody", onPrimary(func(sim *Simulation, n *node) {
		sim.partition(sim.allExcept(n.name), []string{n.name}, true)
		sim.healAfter(sim.randomFaultMs())
	})},
	{"core in pieces", func(sim *Simulation) {
		controllers := sim.nodeNames(protocol.RoleController)
		sim.partition(controllers, controllers, false)
		sim.healAfter(sim.randomFaultMs())
	}},
	{"core cut off from routers", func(sim *Simulation) {
		sim.partition(sim.nodeNames(protocol.RoleController), sim.nodeNames(protocol.RoleRouter), sim.random.Intn(2) == 0)
		sim.healAfter(sim.randomFaultMs() + sim.randomFaultMs())
	}},
	{"router cut off", func(sim *Simulation) {
		sim.partition([]string{sim.randomRouter().name}, sim.nodeNames(protocol.RoleController), sim.random.Intn(2) == 0)
		sim.healAfter(sim.randomFaultMs() + sim.randomFaultMs())
	}},
	{"router cut off from runners", (*Simulation).partitionRouterFromRunners},
	{"messages lost", func(sim *Simulation) {
		sim.network.LossRate = 0.1 + 0.2*sim.random.Float64()
		sim.healAfter(sim.randomFaultMs())
	}},
	{"messages doubled", func(sim *Simulation) {
		sim.network.DuplicateRate = 0.3
		sim.healAfter(sim.randomFaultMs())
	}},
	{"messages late", func(sim *Simulation) {
		sim.network.DelayRate, sim.network.MaxDelayMs = 0.3, 1500
		sim.healAfter(sim.randomFaultMs())
	}},
	{"list away", func(sim *Simulation) {
		sim.isRunnerListDown = true
		sim.after(sim.randomFaultMs(), func() { sim.isRunnerListDown = false })
	}},
}

// partitionRouterFromRunners partitions a random router from about half of the runners.
func (sim *Simulation) partitionRouterFromRunners() {
	var addresses []string
	for _, r := range sim.fleet.activeRunners("") {
		if sim.random.Intn(2) == 0 {
			addresses = append(addresses, r.entry.Address)
		}
	}
	sim.partition([]string{sim.randomRouter().name}, addresses, false)
	sim.healAfter(sim.randomFaultMs())
}

var configFaults = []fault{
	{"map replaced", func(sim *Simulation) { sim.submitConfig(sim.randomController()) }},
	{"map changed", func(sim *Simulation) { sim.submitChange(sim.randomController()) }},
	{"maps in quick succession", (*Simulation).submitManyChanges},
	{"two operators at once", func(sim *Simulation) {
		sim.submitConfig(sim.randomController())
		sim.after(sim.random.Int63n(30), func() { sim.submitChange(sim.randomController()) })
	}},
	{"map with faults", func(sim *Simulation) { sim.submitInvalidConfig(sim.randomController()) }},
	{"map sent again", (*Simulation).resendAccepted},
}

func (sim *Simulation) submitManyChanges() {
	const changes, intervalMs = 12, 300
	for i := range changes {
		sim.after(int64(i)*intervalMs, func() { sim.submitChange(sim.randomController()) })
	}
}

// resendAccepted submits a change, and sends the same submission again several times after it was
// accepted.
func (sim *Simulation) resendAccepted() {
	const resends, intervalMs = 4, 700
	s := sim.submitChange(sim.randomController())
	for i := range resends {
		sim.after(int64(i)*intervalMs+sim.random.Int63n(600), func() {
			if !s.isDone || sim.Checker.configs.acceptedMs[s.version] == 0 {
				return
			}
			again := *s
			again.isDone, again.mustBeAccepted, again.sentMs = false, false, sim.NowMs()
			sim.callController(sim.randomController(), &again)
		})
	}
}
