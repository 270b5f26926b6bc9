package nativesim

const (
	// RecoveryMs is how long a site may take to serve again after the last fault.
	RecoveryMs = 12_000
	// lastFaultDelayMs is how long a campaign waits before it injects its last fault.
	lastFaultDelayMs = 10_000
	// drainMs is how long requests in flight may take once the clients stopped.
	drainMs = 4000
)

// Campaign injects random faults, single and overlapping, with one last fault
// near the end. Then all faults end, and the site must serve again in time.
func Campaign(text string, seed int64, faultCount int) Result {
	w := New(text, seed)
	// In half of the runs the runners do not reject requests under stale revisions,
	// so that their check does not hide errors of the routers.
	w.setAcceptStaleRevisions(seed%2 == 1)
	w.Begin()
	for range faultCount {
		w.injectRandomFault()
		if w.oneInThree() {
			w.Run(w.Random.Int63n(300))
			w.injectRandomFault()
		}
		w.Run(500 + w.Random.Int63n(5000))
	}
	w.Run(lastFaultDelayMs)
	w.injectRandomFault()
	w.Run(100)
	w.tracef("all faults end")
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

// checkRecovery runs for RecoveryMs. By the end of this time every service must
// have responded, also services that need models. In the two seconds after it
// the small service must respond again.
func (w *World) checkRecovery() {
	before := map[string]int{}
	for _, service := range w.Description.Services {
		before[service.Name] = w.CompleteResponses(service.Name)
	}
	w.Run(RecoveryMs)
	for _, service := range w.Description.Services {
		w.checkRespondedSince(service.Name, before[service.Name])
		before[service.Name] = w.CompleteResponses(service.Name)
	}
	w.Run(2000)
	small := w.smallService()
	w.checkRespondedSince(small, before[small])
}

func (w *World) checkRespondedSince(service string, before int) {
	if w.CompleteResponses(service) == before {
		w.Checker.ServiceNotRecovered(w.events.NowMs(), service)
	}
}
