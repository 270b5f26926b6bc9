package nativesim

import "myrtlewinch/internal/protocol"

func (w *World) killController() {
	w.faultController(w.primaryOrRandom(), func(name string) {
		w.Kill(name)
		w.startLater(name)
	})
}

func (w *World) wipeController() {
	w.faultController(w.primaryOrRandom(), func(name string) {
		w.Kill(name)
		w.Wipe(name)
		w.startLater(name)
	})
}

func (w *World) moveController() {
	w.faultController(w.primaryOrRandom(), func(name string) {
		w.Kill(name)
		w.Wipe(name)
		w.Move(name)
		w.startLater(name)
	})
}

func (w *World) freezeController() {
	w.faultController(w.primaryOrRandom(), func(name string) {
		w.Freeze(name)
		w.repairLater(name, func() { w.Thaw(name) })
	})
}

func (w *World) fillDisk() {
	w.faultController(w.primaryOrRandom(), func(name string) {
		w.tracef("the disk of %s is full", name)
		w.nodes[name].disk.IsFull = true
		w.repairLater(name, func() {
			w.nodes[name].disk.IsFull = false
			w.Kill(name)
			w.Start(name)
		})
	})
}

func (w *World) stallDisk() {
	w.faultController(w.primaryOrRandom(), func(name string) {
		w.tracef("the disk of %s stalls", name)
		w.nodes[name].disk.IsStalled = true
		w.repairLater(name, func() { w.nodes[name].disk.IsStalled = false })
	})
}

func (w *World) slowDisk() {
	name := w.randomNode(protocol.RoleController)
	w.nodes[name].disk.SlowMs = 50 + w.Random.Int63n(200)
	w.events.After(w.randomDurationMs(), func() { w.nodes[name].disk.SlowMs = 0 })
}

func (w *World) killRouter() {
	name := w.randomNode(protocol.RoleRouter)
	w.Kill(name)
	w.events.After(w.randomDurationMs(), func() { w.Start(name) })
}

func (w *World) freezeRouter() {
	name := w.randomNode(protocol.RoleRouter)
	w.Freeze(name)
	w.events.After(w.randomDurationMs(), func() { w.Thaw(name) })
}

func (w *World) freezeAllRouters() {
	for _, name := range w.nodeNames(protocol.RoleRouter) {
		w.Freeze(name)
		w.events.After(w.randomDurationMs(), func() { w.Thaw(name) })
	}
}

func (w *World) killPrimaryAndFollower() {
	w.faultTwoControllers(w.Primary(), w.follower(), func(name string) {
		w.Kill(name)
		w.startLater(name)
	})
}

func (w *World) killTwoControllers() {
	names := w.shuffled(protocol.RoleController)
	w.faultTwoControllers(names[0], names[1], func(name string) {
		w.Kill(name)
		w.startLater(name)
	})
}

// killAllDuringChange begins one of three changes and kills all daemons in the
// middle of it.
func (w *World) killAllDuringChange() {
	switch w.Random.Intn(3) {
	case 0:
		w.submitNext()
	case 1:
		w.faultController(w.Primary(), func(name string) {
			w.Kill(name)
			w.startLater(name)
		})
	case 2:
		w.faultController(w.randomNode(protocol.RoleController), func(name string) {
			w.Kill(name)
			w.Wipe(name)
			w.Start(name)
			w.repairLater(name, func() {})
		})
	}
	w.events.After(w.Random.Int63n(4000), func() {
		names := w.nodeNames(anyRole)
		for _, name := range names {
			w.Kill(name)
		}
		for _, name := range names {
			w.events.After(w.Random.Int63n(1000), func() { w.Start(name) })
		}
	})
}

func (w *World) killAllDaemons() {
	for _, name := range w.nodeNames(anyRole) {
		w.Kill(name)
		w.events.After(500, func() { w.Start(name) })
	}
}
