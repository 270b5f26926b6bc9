package nativesim

func (w *World) crashRandomRunner() {
	name := w.randomRunner()
	w.CrashRunner(name)
	w.events.After(w.randomDurationMs(), func() { w.StartRunner(name) })
}

func (w *World) replaceRandomRunner() { w.replaceRunner(w.randomRunner()) }

func (w *World) replaceRunner(name string) {
	w.CrashRunner(name)
	w.StartRunner(name)
}

func (w *World) blackholeRandomRunner() {
	name := w.randomRunner()
	w.BlackholeRunner(name, true)
	w.events.After(w.randomDurationMs(), func() { w.BlackholeRunner(name, false) })
}

// removeRandomRunner removes a runner as the platform does: the runner is marked
// as leaving, and is replaced after its grace time.
func (w *World) removeRandomRunner() {
	name := w.randomRunner()
	w.MarkLeaving(name)
	w.events.After(4000+w.randomDurationMs(), func() { w.replaceRunner(name) })
}

func (w *World) replaceRunnersInTurn() {
	for i, r := range w.Description.Runners[:4] {
		startMs := int64(i) * 1000
		w.events.After(startMs, func() { w.MarkLeaving(r.Name) })
		w.events.After(startMs+3500, func() { w.replaceRunner(r.Name) })
	}
}

func (w *World) removeZoneRunners() {
	zone := w.Description.Runners[w.Random.Intn(len(w.Description.Runners))].Zone
	for _, r := range w.Description.Runners {
		if r.Zone == zone {
			w.MarkLeaving(r.Name)
			w.events.After(3500+w.Random.Int63n(3000), func() { w.replaceRunner(r.Name) })
		}
	}
}

func (w *World) burstForService() { w.Burst(w.randomService(), 200) }

func (w *World) burstForRareModels() {
	w.clients.uniformModels = true
	w.Burst(w.randomService(), 100)
	w.events.After(3000, func() { w.clients.uniformModels = false })
}

func (w *World) submitInQuickSuccession() {
	for i := range 4 {
		w.events.After(int64(i)*150, w.submitNext)
	}
}

func (w *World) submitConcurrently() {
	for range 3 {
		w.submitNext()
	}
}
