package nativesim

import (
	"myrtlewinch/internal/protocol"
)

// diskScenarios are about controllers' disks.
var diskScenarios = map[string]Scenario{
	"primary loses its disk right after": {
		Summary: "an accepted description survives the loss of the primary's disk",
		Inject:  wipePrimaryAfterSubmission,
		RunMs:   20_000,
	},
	"backup loses its disk right after": {
		Summary: "an accepted description survives the loss of the follower's disk",
		Inject:  wipeFollowerAfterSubmission,
		RunMs:   20_000,
	},
	"core machines wiped one after the other": {
		Summary: "an accepted description survives the loss of each disk, one after the other",
		Inject:  wipeControllersInTurn,
		RunMs:   5000,
	},
	"disk full at the primary": {
		Summary: "it steps down and another controller becomes primary",
		Inject:  fillPrimaryDisk,
		RunMs:   15_000,
	},
	"disk full at the backup for long": {
		Summary: "a further controller, if there is one, replaces it",
		Inject:  fillFollowerDisk,
		RunMs:   10_000,
	},
	"disk stalled at the backup for long": {
		Summary: "a further controller, if there is one, replaces it",
		Inject:  stallFollowerDisk,
		RunMs:   10_000,
	},
	"disk stalled at the primary": {
		Summary: "it steps down and another controller becomes primary",
		Inject:  stallPrimaryDisk,
		RunMs:   15_000,
	},
}

func wipePrimaryAfterSubmission(w *World) {
	primary := w.Primary()
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.Run(300 + w.Random.Int63n(500))
	w.Kill(primary)
	w.Wipe(primary)
	w.Run(2000)
	w.Start(primary)
}

func wipeFollowerAfterSubmission(w *World) {
	follower := w.follower()
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(300 + w.Random.Int63n(500))
	w.Kill(follower)
	w.Wipe(follower)
	w.Run(1000)
	w.Start(follower)
}

func wipeControllersInTurn(w *World) {
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(1000)
	for range 2 {
		for _, name := range w.nodeNames(protocol.RoleController) {
			w.Kill(name)
			w.Wipe(name)
			w.Run(500)
			w.Start(name)
			w.Run(8000)
		}
	}
}

func fillPrimaryDisk(w *World) {
	primary := w.Primary()
	w.nodes[primary].disk.IsFull = true
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.Run(6000)
	w.SubmitDescription(w.Primary(), 1, w.Variant(2))
}

func fillFollowerDisk(w *World) {
	follower := w.follower()
	w.nodes[follower].disk.IsFull = true
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(15_000)
	w.checkAccepted(2)
	w.nodes[follower].disk.IsFull = false
	w.Kill(follower)
	w.Start(follower)
}

func stallFollowerDisk(w *World) {
	follower := w.follower()
	w.nodes[follower].disk.IsStalled = true
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(15_000)
	w.checkAccepted(2)
	w.nodes[follower].disk.IsStalled = false
}

func stallPrimaryDisk(w *World) {
	primary := w.Primary()
	w.nodes[primary].disk.IsStalled = true
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.Run(6000)
	w.nodes[primary].disk.IsStalled = false
}
