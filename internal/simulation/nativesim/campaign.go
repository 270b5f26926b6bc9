package nativesim

const (
	// RecoveryMs is how long a site may take to serve again after the last fault.
	RecoveryMs = 12_000
	// lastQuietMs is how long a campaign waits before its last fault.
	lastQuietMs = 10_000
	// drainMs lets the last requests end after the clients stopped.
	drainMs = 4000
)

// Campaign plays random faults, alone and together, with one last fault near
// the end. Then all is repaired, and the site must serve again in time.
func Campaign(text string, seed int64, faultCount int) Result {
	w := New(text, seed)
	// Half of the runs do without the runners' own guard of revisions, so that
	// it does not hide what the routers do.
	w.setAcceptOldRevisions(seed%2 == 1)
	w.Begin()
	for range faultCount {
		w.injectRandomFault()
		if w.oneInThree() {
			w.Run(w.Random.Int63n(300))
			w.injectRandomFault()
		}
		w.Run(500 + w.Random.Int63n(5000))
	}
	w.Run(lastQuietMs)
	w.injectRandomFault()
	w.Run(100)
	w.tracef("all is repaired")
	w.repairAndCheck()
	return Result{World: w, Violations: w.Checker.Violations()}
}

// repairAndCheck ends all faults, and checks that the site recovers and that no
// accepted description is lost.
func (w *World) repairAndCheck() {
	w.RepairAll()
	w.checkRecovery()
	w.StopClients()
	w.Run(drainMs)
	w.CheckDescriptions()
}

func (w *World) injectRandomFault() {
	f := faults[w.Random.Intn(len(faults))]
	w.tracef("fault: %s", f.name)
	f.inject(w)
}

// checkRecovery gives the site its time. By its end every service must have
// answered, also those that need models, and the small one must go on to.
func (w *World) checkRecovery() {
	before := map[string]int{}
	for _, service := range w.Description.Services {
		before[service.Name] = w.Answered(service.Name)
	}
	w.Run(RecoveryMs)
	for _, service := range w.Description.Services {
		w.checkAnsweredSince(service.Name, before[service.Name])
		before[service.Name] = w.Answered(service.Name)
	}
	w.Run(2000)
	small := w.smallService()
	w.checkAnsweredSince(small, before[small])
}

func (w *World) checkAnsweredSince(service string, before int) {
	if w.Answered(service) == before {
		w.Checker.ServiceNotRecovered(w.events.NowMs(), service)
	}
}
