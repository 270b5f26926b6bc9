package nativesim

import (
	"strings"

	"myrtlewinch/internal/protocol"
)

// controllerScenarios are about daemons that are killed, frozen or replaced, and
// about the submission of descriptions.
var controllerScenarios = map[string]Scenario{
	"primary killed while a description is being accepted": {
		Summary: "the description becomes active or is rejected, never both",
		Inject:  killPrimaryDuringSubmission,
		RunMs:   20_000,
	},
	"frozen primary wakes": {
		Summary: "a primary that was replaced while it was frozen sends no orders and accepts no description",
		Inject:  freezePrimaryDuringSubmission,
		RunMs:   20_000,
	},
	"orders on the way when holders change": {
		Summary: "orders arrive seconds after the lease holder that sent them was killed",
		Inject:  delayOrdersAcrossHolders,
		RunMs:   5000,
	},
	"a core machine stays away, then another goes": {
		Summary: "with a fourth controller the site survives the second loss",
		Inject:  loseTwoControllersInTurn,
		RunMs:   1000,
	},
	"an old core machine wakes beside its replacement": {
		Summary: "the old one is superseded for good and has no effect",
		Inject:  resumeReplacedController,
		RunMs:   3000,
	},
	"an old router wakes beside its replacement": {
		Summary: "only the replacement continues; no router returns to an old revision",
		Inject:  resumeReplacedRouter,
		RunMs:   3000,
	},
	"total loss": {
		Summary: "all daemons are killed and started",
		Inject:  killAllThenStart,
		RunMs:   25_000,
	},
	"all seed machines swapped, then all lost": {
		Summary: "each restarts with an empty disk at a new address, so no seed address of the routers works",
		Inject:  moveSeedsThenRestartAll,
		RunMs:   1000,
	},
	"descriptions large and many": {
		Summary: "descriptions close to the size limit, one after the other",
		Inject:  submitLargeDescriptions,
		RunMs:   5000,
	},
	"operators race": {
		Summary: "only one of several descriptions with the same base is accepted",
		Inject:  submitConflicting,
		RunMs:   10_000,
	},
}

func killPrimaryDuringSubmission(w *World) {
	primary := w.Primary()
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.Run(w.Random.Int63n(40))
	w.Kill(primary)
	w.Run(4000)
	w.Start(primary)
}

func freezePrimaryDuringSubmission(w *World) {
	primary := w.Primary()
	w.Freeze(primary)
	w.Run(3000 + w.Random.Int63n(4000))
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.Thaw(primary)
}

func delayOrdersAcrossHolders(w *World) {
	w.clients.uniformModels = true
	for range 4 {
		w.links.DelayRate, w.links.MaxDelayMs = 0.5, 9000
		w.Run(3000 + w.Random.Int63n(2000))
		primary := w.Primary()
		w.links.DelayRate = 0
		if primary != "" {
			w.Kill(primary)
		}
		w.Run(9000)
		if primary != "" {
			w.Start(primary)
		}
		w.Run(6000)
	}
}

func loseTwoControllersInTurn(w *World) {
	names := w.nodeNames(protocol.RoleController)
	first := names[w.Random.Intn(3)]
	w.Kill(first)
	w.Run(45_000)
	if len(names) > 3 {
		primary := w.Primary()
		w.Kill(primary)
		w.Run(6000)
		w.SubmitDescription(w.Primary(), 1, w.Variant(1))
		w.Run(9000)
		w.checkAccepted(2)
		w.Run(30_000)
		// The first controller restarts with its old disk after another controller
		// has replaced it.
		w.Start(first)
		w.Run(3000)
		w.Kill(w.Primary())
		w.Run(6000)
		w.Start(primary)
	} else {
		w.Start(first)
	}
	w.checkRecovery()
}

func resumeReplacedController(w *World) {
	name := w.nodeNames(protocol.RoleController)[w.Random.Intn(3)]
	old := w.StartReplacement(name)
	w.Run(3000 + w.Random.Int63n(8000))
	w.Thaw(old)
	w.Run(4000)
	w.checkSuperseded(old, name)
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(9000)
	w.checkAccepted(2)
	// It is still superseded after a restart.
	w.Kill(old)
	w.Start(old)
	w.Run(3000)
	w.checkSuperseded(old, name)
}

func resumeReplacedRouter(w *World) {
	name := w.randomNode(protocol.RoleRouter)
	old := w.StartReplacement(name)
	w.Run(500 + w.Random.Int63n(4000))
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(w.Random.Int63n(3000))
	w.Thaw(old)
	w.Run(6000)
	w.checkSuperseded(old, name)
	w.SubmitDescription(w.Primary(), 2, w.Variant(2))
	w.Run(9000)
	w.checkAccepted(3)
}

func killAllThenStart(w *World) {
	names := w.nodeNames(anyRole)
	for _, name := range names {
		w.Kill(name)
	}
	w.Run(1000)
	for _, name := range names {
		w.Start(name)
	}
}

func moveSeedsThenRestartAll(w *World) {
	for _, name := range w.nodeNames(protocol.RoleController)[:3] {
		w.Kill(name)
		w.Wipe(name)
		w.Move(name)
		w.Run(2000)
		w.Start(name)
		w.Run(8000)
	}
	for _, name := range w.nodeNames(anyRole) {
		w.Kill(name)
	}
	for _, name := range w.nodeNames(anyRole) {
		w.Start(name)
	}
	w.checkRecovery()
}

func submitLargeDescriptions(w *World) {
	for i := range 4 {
		w.SubmitDescription(w.Primary(), uint64(1+i), w.DescriptionText+strings.Repeat(" ", 1_000_000+i))
		w.Run(1000)
	}
}

func submitConflicting(w *World) {
	primary := w.Primary()
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.SubmitDescription(primary, 1, w.Variant(2))
	w.SubmitDescription(w.follower(), 1, w.Variant(3))
}
