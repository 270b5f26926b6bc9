package nativesim

import (
	"fmt"
	"strings"

	"myrtlewinch/internal/protocol"
)

// runnerScenarios are about runners, models and their limits.
var runnerScenarios = map[string]Scenario{
	"rare models for two minutes": {
		Summary: "all models get requests equally often",
		Inject:  requestRareModels,
		RunMs:   1000,
	},
	"a description shrinks rooms and pace": {
		Summary: "the limits become lower than what is in use, while all models get requests",
		Inject:  shrinkLimits,
		RunMs:   10_000,
	},
	"runner crashes in a telling": {
		Summary: "the stream breaks and does not look complete",
		Inject:  crashRunnersInStreams,
		RunMs:   20_000,
	},
	"runner goes dark": {
		Summary: "requests that it had accepted end with an unknown outcome",
		Inject:  blackholeRunnerForLong,
		RunMs:   10_000,
	},
	"runner marked leaving while requests are held": {
		Summary: "no request reaches it after its grace time",
		Inject:  markLeavingUnderBurst,
		RunMs:   15_000,
	},
	"runner replaced and marked leaving at once": {
		Summary: "old cache entries do not lead to the leaving runner",
		Inject:  replaceAndMarkLeaving,
		RunMs:   8000,
	},
	"leaving while the primary is dead and routers freeze": {
		Summary: "a router that resumes does not send to a leaving runner",
		Inject:  markLeavingWhileRoutersFreeze,
		RunMs:   15_000,
	},
	"runners forget what they hold": {
		Summary: "the controllers' ledger of loaded models follows the runners' reports",
		Inject:  unloadRunners,
		RunMs:   10_000,
	},
}

func requestRareModels(w *World) {
	w.clients.uniformModels = true
	w.Run(120_000)
}

func shrinkLimits(w *World) {
	w.clients.uniformModels = true
	w.Run(8000)
	small := strings.ReplaceAll(w.Variant(1), `"room": 96`, `"room": 70`)
	rateLimit := fmt.Sprintf(`"loadsPer10s": %d`, w.Description.Store.LoadsPer10s)
	w.SubmitDescription(w.Primary(), 1, strings.Replace(small, rateLimit, `"loadsPer10s": 4`, 1))
	w.Run(30_000)
	w.checkAccepted(2)
	primary := w.Primary()
	w.Kill(primary)
	w.Run(12_000)
	w.Start(primary)
}

func crashRunnersInStreams(w *World) {
	w.CrashRunner("language-1")
	w.CrashRunner("language-2")
	w.Run(3000)
	w.StartRunner("language-1")
	w.StartRunner("language-2")
}

func blackholeRunnerForLong(w *World) {
	w.BlackholeRunner("language-1", true)
	w.Run(10_000)
	w.BlackholeRunner("language-1", false)
}

func markLeavingUnderBurst(w *World) {
	w.Burst(w.Description.Services[0].Name, 60)
	w.MarkLeaving("language-1")
	w.MarkLeaving("language-3")
	w.Run(8000)
	w.CrashRunner("language-1")
	w.StartRunner("language-1")
}

func replaceAndMarkLeaving(w *World) {
	for _, name := range []string{"language-1", "language-2", "language-3"} {
		w.CrashRunner(name)
		w.StartRunner(name)
		w.Run(300)
		w.MarkLeaving(name)
	}
}

func markLeavingWhileRoutersFreeze(w *World) {
	w.Kill(w.Primary())
	w.Run(500)
	for i, name := range w.nodeNames(protocol.RoleRouter) {
		if i%2 == 0 {
			w.Freeze(name)
		}
	}
	w.MarkLeaving("language-1")
	w.Run(5000)
	for _, name := range w.nodeNames(protocol.RoleRouter) {
		w.Thaw(name)
	}
}

func unloadRunners(w *World) {
	for range 5 {
		name := w.randomRunner()
		w.tracef("%s unloads all of its %d models and adapters", name, len(w.runners[name].backend.Report(w.events.NowMs()).Held))
		w.runners[name].backend.UnloadAll()
		w.Run(3000)
	}
}
