package faultsim

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// The moments of faultsim's campaign with 12 faults and seed 234, after the primary was replaced: when
// the controllers were cut off from each other, for how long, and when the next one was lost.
const (
	cutAfterMs      = 1187
	cutMs           = 2581
	nextLossAfterMs = 679
)

// replaceThenCut replaces the primary, cuts all controllers off from each other while its successor
// catches up, and runs until the moment of the next loss.
func replaceThenCut(seed int64) *Simulation {
	sim := New(seed, InjectedBugs{})
	sim.Begin()
	sim.replaceController(sim.primary())
	sim.Run(cutAfterMs)
	controllers := sim.nodeNames(protocol.RoleController)
	sim.partition(controllers, controllers, false)
	sim.Run(cutMs)
	sim.heal()
	sim.Run(nextLossAfterMs)
	return sim
}

// Guards against campaigns that lose more at once than a site must tolerate (12 faults, seed 234): a
// successor that is cut off while it catches up counts as lost until it has been back for the
// catch-up time, and with it the controller that it replaces. After that time the next one may go.
func TestSuccessorCatchesUpAfterACut(t *testing.T) {
	for seed := int64(2); seed <= 20; seed += 2 {
		sim := replaceThenCut(seed)
		other := sim.otherThan(controllerName(sim.controllersCreated))
		qt.Assert(t, sim.isLossAllowed(other), qt.IsFalse, qt.Commentf("seed %d", seed))
		sim.Run(sim.Bounds.CatchUpMs - nextLossAfterMs + observeIntervalMs)
		qt.Assert(t, sim.primary() != nil, qt.IsTrue, qt.Commentf("seed %d", seed))
		qt.Assert(t, sim.isLossAllowed(sim.primary()), qt.IsTrue, qt.Commentf("seed %d", seed))
		sim.replaceController(sim.primary())
		assertNoViolation(t, sim.SettleAndFinish())
	}
}

// otherThan returns a controller that has not been removed, other than the named one.
func (sim *Simulation) otherThan(name string) *node {
	for _, other := range sim.nodeNames(protocol.RoleController) {
		if other != name && !sim.nodes[other].isRemoved {
			return sim.nodes[other]
		}
	}
	return nil
}

// A cut alone is no loss: right after it any one controller may go, with its disk.
func TestLossRightAfterACutIsTolerated(t *testing.T) {
	for seed := int64(2); seed <= 20; seed += 2 {
		sim := New(seed, InjectedBugs{})
		sim.Begin()
		controllers := sim.nodeNames(protocol.RoleController)
		sim.partition(controllers, controllers, false)
		sim.Run(cutMs)
		sim.heal()
		sim.Run(nextLossAfterMs)
		lost := sim.primaryOrRandom()
		qt.Assert(t, sim.isLossAllowed(lost), qt.IsTrue, qt.Commentf("seed %d", seed))
		sim.replaceController(lost)
		assertNoViolation(t, sim.SettleAndFinish())
	}
}

// The way back of docs/operators.md for a site that has lost too many disks for good: all daemons are
// stopped, the disks of the controllers emptied, and the site is started as at its first start.
func TestSiteIsStartedAnewAfterItsMajorityIsLost(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		sim := New(seed, InjectedBugs{})
		sim.Begin()
		sim.replaceController(sim.nodes[controllerName(1)])
		sim.replaceController(sim.nodes[controllerName(2)])
		sim.Run(settleAfterFaultsMs)
		qt.Assert(t, sim.primary() == nil, qt.IsTrue, qt.Commentf("seed %d", seed))
		sim.startAnew()
		sim.Run(bootstrapMs)
		qt.Assert(t, sim.primary() != nil, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// startAnew stops all daemons, empties the disks of the controllers and starts all for the first time.
func (sim *Simulation) startAnew() {
	sim.seeds = sim.newestControllerAddresses()
	for _, name := range sim.nodeNames() {
		n := sim.nodes[name]
		sim.kill(n)
		if n.isController() {
			sim.wipeDisk(n)
		}
	}
	// Nothing that an old process sent may reach a new one.
	sim.Run(warmUpMs)
	for _, name := range sim.nodeNames() {
		sim.startNode(sim.nodes[name], true)
	}
}
