package nativesim

import (
	"myrtlewinch/internal/protocol"
)

// diskScenarios are about controllers' disks.
var diskScenarios = map[string]Scenario{
	"primary loses its disk right after": {
		About:  "an accepted description outlives the primary's disk",
		Inject: wipePrimaryAfterSubmission,
		RunMs:  20_000,
	},
	"backup loses its disk right after": {
		About:  "an accepted description outlives the backup's disk",
		Inject: wipeBackupAfterSubmission,
		RunMs:  20_000,
	},
	"core machines wiped one after the other": {
		About:  "the description outlives every disk it was first on",
		Inject: wipeControllersInTurn,
		RunMs:  5000,
	},
	"disk full at the primary": {
		About:  "it steps down, and the next goes on",
		Inject: fillPrimaryDisk,
		RunMs:  15_000,
	},
	"disk full at the backup for long": {
		About:  "a spare, where there is one, takes its place",
		Inject: fillBackupDisk,
		RunMs:  10_000,
	},
	"disk stalled at the backup for long": {
		About:  "a spare, where there is one, takes its place",
		Inject: stallBackupDisk,
		RunMs:  10_000,
	},
	"disk stalled at the primary": {
		About:  "it steps down, and the next goes on",
		Inject: stallPrimaryDisk,
		RunMs:  15_000,
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

func wipeBackupAfterSubmission(w *World) {
	backup := w.backup()
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(300 + w.Random.Int63n(500))
	w.Kill(backup)
	w.Wipe(backup)
	w.Run(1000)
	w.Start(backup)
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

func fillBackupDisk(w *World) {
	backup := w.backup()
	w.nodes[backup].disk.IsFull = true
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(15_000)
	w.checkAccepted(2)
	w.nodes[backup].disk.IsFull = false
	w.Kill(backup)
	w.Start(backup)
}

func stallBackupDisk(w *World) {
	backup := w.backup()
	w.nodes[backup].disk.IsStalled = true
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(15_000)
	w.checkAccepted(2)
	w.nodes[backup].disk.IsStalled = false
}

func stallPrimaryDisk(w *World) {
	primary := w.Primary()
	w.nodes[primary].disk.IsStalled = true
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.Run(6000)
	w.nodes[primary].disk.IsStalled = false
}
