package nativesim

import (
	"myrtlewinch/internal/protocol"
)

// networkScenarios are about a cut network.
var networkScenarios = map[string]Scenario{
	"core cut off from routers for long": {
		About:  "routers go on by a majority of themselves",
		Inject: cutOffRoutersForLong,
		RunMs:  15_000,
	},
	"some routers cut off while descriptions come": {
		About:  "those cut off stop in time",
		Inject: cutOffSomeRouters,
		RunMs:  20_000,
	},
	"core cut in two": {
		About:  "at most one side goes on",
		Inject: cutOffPrimary,
		RunMs:  20_000,
	},
	"primary cut off one way": {
		About:  "it receives from all and reaches none",
		Inject: cutOffPrimaryOneWay,
		RunMs:  20_000,
	},
	"a spare alone misses the primary": {
		About:  "one partial view starts no take-over",
		Inject: cutPairApart,
		RunMs:  15_000,
	},
}

func cutOffRoutersForLong(w *World) {
	w.Cut(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter), false)
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(40_000)
	w.Heal()
}

func cutOffSomeRouters(w *World) {
	names := w.nodeNames(protocol.RoleRouter)
	w.Cut(w.nodeNames(protocol.RoleController), names[:2], false)
	w.Run(w.Random.Int63n(3000))
	for range 3 {
		w.submitNext()
		w.Run(w.Random.Int63n(9000))
	}
	w.Kill(names[len(names)-1])
	w.Start(names[len(names)-1])
	w.submitNext()
}

func cutOffPrimary(w *World) {
	primary := w.Primary()
	w.Cut([]string{primary}, w.others(primary, operatorEndpoint, clientsEndpoint), false)
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.Run(8000)
	w.Heal()
}

func cutOffPrimaryOneWay(w *World) {
	primary := w.Primary()
	w.Cut([]string{primary}, w.others(primary), true)
	w.Run(6000)
	w.Heal()
}

func cutPairApart(w *World) {
	primary, backup := w.Primary(), w.backup()
	w.Cut([]string{primary}, []string{backup}, false)
	w.Run(8000)
	w.Heal()
}
