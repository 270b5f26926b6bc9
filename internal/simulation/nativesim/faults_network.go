package nativesim

import "myrtlewinch/internal/protocol"

func (w *World) isolateController() {
	w.faultController(w.primaryOrRandom(), func(name string) {
		w.Partition([]string{name}, w.otherEndpoints(name), w.oneInThree())
		w.repairLater(name, w.Heal)
	})
}

func (w *World) partitionControllersFromRouters() {
	w.Partition(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter), w.oneInThree())
	w.events.After(w.randomDurationMs(), w.Heal)
}

// partitionRoutersDuringSubmissions partitions some routers from the
// controllers while descriptions are submitted, and restarts one of them in
// between.
func (w *World) partitionRoutersDuringSubmissions() {
	names := w.shuffled(protocol.RoleRouter)
	partitioned := names[:1+w.Random.Intn(len(names))]
	w.Partition(w.nodeNames(protocol.RoleController), partitioned, w.oneInThree())
	for range 3 {
		w.events.After(w.Random.Int63n(8000), w.submitNext)
	}
	w.events.After(w.Random.Int63n(8000), func() {
		w.Kill(names[0])
		w.Start(names[0])
	})
	w.events.After(2*w.randomDurationMs(), w.Heal)
}

func (w *World) isolatePlatform() {
	w.Partition([]string{platformEndpoint}, w.nodeNames(anyRole), false)
	w.events.After(w.randomDurationMs(), w.Heal)
}

func (w *World) loseAndDuplicateMessages() {
	w.links.LossRate = 0.2 * w.Random.Float64()
	w.links.DuplicateRate = 0.2 * w.Random.Float64()
	w.events.After(w.randomDurationMs(), w.Heal)
}

func (w *World) delayMessages() {
	w.links.DelayRate, w.links.MaxDelayMs = 0.2*w.Random.Float64(), 5000
	w.events.After(w.randomDurationMs(), func() { w.links.DelayRate = 0 })
}
