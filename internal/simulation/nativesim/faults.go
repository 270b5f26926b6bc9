package nativesim

import "myrtlewinch/internal/protocol"

// fault is a fault that campaigns inject at random. Its name is used in
// docs/proofs.md and in tables of measurements.
type fault struct {
	name   string
	inject func(w *World)
}

// faults lists the faults that a campaign draws from. In their names "core"
// means the controllers, "pair" means the primary and the follower, "crowd"
// means a burst of requests, and a darkened runner is a blackholed one. Another
// order of the faults changes what each seed does.
var faults = []fault{
	{"kill a core daemon", (*World).killController},
	{"wipe a core daemon", (*World).wipeController},
	{"move a core daemon, empty, to a new address", (*World).moveController},
	{"freeze a core daemon", (*World).freezeController},
	{"fill a core disk", (*World).fillDisk},
	{"stall a core disk", (*World).stallDisk},
	{"slow a core disk", (*World).slowDisk},
	{"cut a core daemon off", (*World).isolateController},
	{"cut the core off from routers", (*World).partitionControllersFromRouters},
	{"cut some routers off from the core, with descriptions", (*World).partitionRoutersDuringSubmissions},
	{"cut the platform off", (*World).isolatePlatform},
	{"lose and double messages", (*World).loseAndDuplicateMessages},
	{"kill a router", (*World).killRouter},
	{"freeze a router", (*World).freezeRouter},
	{"kill the pair", (*World).killPrimaryAndFollower},
	{"kill two core daemons", (*World).killTwoControllers},
	{"kill all in the middle of a change", (*World).killAllDuringChange},
	{"delay and reorder messages", (*World).delayMessages},
	{"freeze all routers", (*World).freezeAllRouters},
	{"replace runners one after another", (*World).replaceRunnersInTurn},
	{"take a zone's runners away", (*World).removeZoneRunners},
	{"kill all daemons", (*World).killAllDaemons},
	{"crash a runner", (*World).crashRandomRunner},
	{"replace a runner at once", (*World).replaceRandomRunner},
	{"darken a runner", (*World).blackholeRandomRunner},
	{"take a runner away", (*World).removeRandomRunner},
	{"a crowd", (*World).burstForService},
	{"a crowd for rare models", (*World).burstForRareModels},
	{"descriptions in quick succession", (*World).submitInQuickSuccession},
	{"operators collide", (*World).submitConcurrently},
}

const (
	// A fault lasts from minFaultMs to minFaultMs+faultSpreadMs.
	minFaultMs    = 500
	faultSpreadMs = 6000
	// catchUpMs is how long after a controller's fault ended it still counts as
	// unhealthy, so that it can catch up.
	catchUpMs = 6000
)

func (w *World) randomNode(role string) string {
	names := w.nodeNames(role)
	return names[w.Random.Intn(len(names))]
}

func (w *World) randomRunner() string {
	return w.Description.Runners[w.Random.Intn(len(w.Description.Runners))].Name
}

func (w *World) randomService() string {
	return w.Description.Services[w.Random.Intn(len(w.Description.Services))].Name
}

// randomDurationMs draws how long a fault lasts.
func (w *World) randomDurationMs() int64 { return minFaultMs + w.Random.Int63n(faultSpreadMs) }

// oneInThree returns true with a probability of one third.
func (w *World) oneInThree() bool { return w.Random.Intn(3) == 0 }

// shuffled returns the names of the daemons of a role in random order.
func (w *World) shuffled(role string) []string {
	names := w.nodeNames(role)
	w.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (w *World) primaryOrRandom() string {
	if p := w.Primary(); p != "" && w.Random.Intn(2) == 0 {
		return p
	}
	return w.randomNode(protocol.RoleController)
}

// unhealthyControllers returns the number of controllers that have a fault or
// are recovering from one. A site is built to survive only one at a time.
func (w *World) unhealthyControllers() int {
	count := 0
	for _, name := range w.nodeNames(protocol.RoleController) {
		n := w.nodes[name]
		diskFails := n.disk.IsFull || n.disk.IsStalled
		if !n.up || n.frozen || diskFails || w.recovering[name] {
			count++
		}
	}
	return count
}

// faultController injects a fault into a controller if all controllers are
// healthy.
func (w *World) faultController(name string, inject func(name string)) {
	if name == "" || w.unhealthyControllers() > 0 {
		return
	}
	w.recovering[name] = true
	inject(name)
}

// faultTwoControllers injects a fault into two controllers at once if all
// controllers are healthy.
func (w *World) faultTwoControllers(first, second string, inject func(name string)) {
	if first == "" || second == "" || w.unhealthyControllers() > 0 {
		return
	}
	w.recovering[first], w.recovering[second] = true, true
	inject(first)
	inject(second)
}

// repairLater ends a controller's fault after a random time. The controller
// counts as healthy again catchUpMs later.
func (w *World) repairLater(name string, repair func()) {
	w.events.After(w.randomDurationMs(), func() {
		repair()
		w.events.After(catchUpMs, func() { delete(w.recovering, name) })
	})
}

// startLater starts a controller again when its fault ends.
func (w *World) startLater(name string) {
	w.repairLater(name, func() { w.Start(name) })
}

// RepairAll ends every remaining fault.
func (w *World) RepairAll() {
	w.Heal()
	for _, name := range w.nodeNames(anyRole) {
		w.repairNode(name)
	}
	for _, r := range w.Description.Runners {
		runner := w.runners[r.Name]
		runner.blackholed = false
		if !runner.up {
			w.StartRunner(r.Name)
		}
	}
}

func (w *World) repairNode(name string) {
	if disk := w.nodes[name].disk; disk != nil {
		// After a failed write a daemon must restart to know what its disk holds.
		if disk.IsFull && w.nodes[name].up {
			w.Kill(name)
		}
		disk.Repair()
	}
	w.Thaw(name)
	w.Start(name)
}
