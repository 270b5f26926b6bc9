package nativesim

import (
	"myrtlewinch/internal/protocol"
)

// networkScenarios are about network partitions.
var networkScenarios = map[string]Scenario{
	"core cut off from routers for long": {
		Summary: "routers continue to serve on leases that a majority of them extends",
		Inject:  partitionAllRouters,
		RunMs:   15_000,
	},
	"some routers cut off while descriptions come": {
		Summary: "the partitioned routers stop using the old revision in time",
		Inject:  partitionSomeRouters,
		RunMs:   20_000,
	},
	"core cut in two": {
		Summary: "at most one side of the partition continues",
		Inject:  isolatePrimary,
		RunMs:   20_000,
	},
	"primary cut off one way": {
		Summary: "it receives from all and reaches none",
		Inject:  isolatePrimaryOneWay,
		RunMs:   20_000,
	},
	"a spare alone misses the primary": {
		Summary: "the view of one daemon alone causes no failover",
		Inject:  partitionPrimaryFromFollower,
		RunMs:   15_000,
	},
}

func partitionAllRouters(w *World) {
	w.Partition(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter), false)
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(40_000)
	w.Heal()
}

func partitionSomeRouters(w *World) {
	names := w.nodeNames(protocol.RoleRouter)
	w.Partition(w.nodeNames(protocol.RoleController), names[:2], false)
	w.Run(w.Random.Int63n(3000))
	for range 3 {
		w.submitNext()
		w.Run(w.Random.Int63n(9000))
	}
	w.Kill(names[len(names)-1])
	w.Start(names[len(names)-1])
	w.submitNext()
}

func isolatePrimary(w *World) {
	primary := w.Primary()
	w.Partition([]string{primary}, w.otherEndpoints(primary, operatorEndpoint, clientsEndpoint), false)
	w.SubmitDescription(primary, 1, w.Variant(1))
	w.Run(8000)
	w.Heal()
}

func isolatePrimaryOneWay(w *World) {
	primary := w.Primary()
	w.Partition([]string{primary}, w.otherEndpoints(primary), true)
	w.Run(6000)
	w.Heal()
}

func partitionPrimaryFromFollower(w *World) {
	primary, follower := w.Primary(), w.follower()
	w.Partition([]string{primary}, []string{follower}, false)
	w.Run(8000)
	w.Heal()
}
