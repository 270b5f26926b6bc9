package nativesim

import "myrtlewinch/internal/protocol"

func (w *World) cutOffController() {
	w.faultController(w.primaryOrRandom(), func(name string) {
		w.Cut([]string{name}, w.others(name), w.oneInThree())
		w.repairLater(name, w.Heal)
	})
}

func (w *World) cutOffControllersFromRouters() {
	w.Cut(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter), w.oneInThree())
	w.events.After(w.randomDurationMs(), w.Heal)
}

// cutOffRoutersDuringSubmissions cuts some routers off from the controllers
// while descriptions come, and restarts a router in between.
func (w *World) cutOffRoutersDuringSubmissions() {
	names := w.shuffled(protocol.RoleRouter)
	cut := names[:1+w.Random.Intn(len(names))]
	w.Cut(w.nodeNames(protocol.RoleController), cut, w.oneInThree())
	for range 3 {
		w.events.After(w.Random.Int63n(8000), w.submitNext)
	}
	w.events.After(w.Random.Int63n(8000), func() {
		w.Kill(names[0])
		w.Start(names[0])
	})
	w.events.After(2*w.randomDurationMs(), w.Heal)
}

func (w *World) cutOffPlatform() {
	w.Cut([]string{platformEndpoint}, w.nodeNames(anyRole), false)
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
