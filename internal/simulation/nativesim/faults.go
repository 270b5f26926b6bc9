package nativesim

import "myrtlewinch/internal/protocol"

// fault is something that a campaign brings about at random. Its name stands in
// docs/proofs.md and in tables of measurements.
type fault struct {
	name   string
	inject func(w *World)
}

// faults lists what a campaign draws from. The order is part of what a seed
// means.
var faults = []fault{
	{"kill a core daemon", (*World).killController},
	{"wipe a core daemon", (*World).wipeController},
	{"move a core daemon, empty, to a new address", (*World).moveController},
	{"freeze a core daemon", (*World).freezeController},
	{"fill a core disk", (*World).fillDisk},
	{"stall a core disk", (*World).stallDisk},
	{"slow a core disk", (*World).slowDisk},
	{"cut a core daemon off", (*World).cutOffController},
	{"cut the core off from routers", (*World).cutOffControllersFromRouters},
	{"cut some routers off from the core, with descriptions", (*World).cutOffRoutersDuringSubmissions},
	{"cut the platform off", (*World).cutOffPlatform},
	{"lose and double messages", (*World).loseAndDuplicateMessages},
	{"kill a router", (*World).killRouter},
	{"freeze a router", (*World).freezeRouter},
	{"kill the pair", (*World).killReplicaPair},
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

// oneInThree draws whether a cut is one way, and the like.
func (w *World) oneInThree() bool { return w.Random.Intn(3) == 0 }

// shuffled gives the names of the daemons of a role in random order.
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

// unhealthyControllers counts the controllers that are not up and well. A site
// is built to survive only one of them at a time.
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

// faultController injects a fault into a controller if all are healthy.
func (w *World) faultController(name string, inject func(name string)) {
	if name == "" || w.unhealthyControllers() > 0 {
		return
	}
	w.recovering[name] = true
	inject(name)
}

// faultTwoControllers injects a fault into two controllers at once if all are
// healthy.
func (w *World) faultTwoControllers(first, second string, inject func(name string)) {
	if first == "" || second == "" || w.unhealthyControllers() > 0 {
		return
	}
	w.recovering[first], w.recovering[second] = true, true
	inject(first)
	inject(second)
}

// repairLater ends a controller's fault; it counts as healthy once it has had
// time to catch up.
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

// RepairAll ends every fault that is still there.
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
		// What a failed write left is known only after a restart.
		if disk.IsFull && w.nodes[name].up {
			w.Kill(name)
		}
		disk.Repair()
	}
	w.Thaw(name)
	w.Start(name)
}
