package faultsim

const (
	// crashListedMs is for how long a crashed runner stays listed.
	crashListedMs = 4000
	// drainMarginMs is how much longer than Bounds.DrainMs a runner with a planned end keeps
	// running after it is listed as draining.
	drainMarginMs = 1500
	// A runner on a reclaimed spot instance ends spotNoticeMs to spotNoticeMs+spotNoticeSpreadMs
	// after it is listed as draining.
	spotNoticeMs       = 1200
	spotNoticeSpreadMs = 1500
	// A crashed runner restarts after restartMinMs to restartMinMs+restartSpreadMs.
	restartMinMs    = 2000
	restartSpreadMs = 3000
	// maxRunnersForReuse is the number of active runners of a plain service at which no further
	// free address is reused for the service.
	maxRunnersForReuse = 4
)

// drainRunner marks a runner as draining. The runner ends some time after the drain time, or
// earlier if its host is a spot instance that the platform reclaims (isSpot), even if requests are
// running.
func (sim *Simulation) drainRunner(r *runner, isSpot bool) {
	if r == nil || r.hasEnded || r.entry.Leaving {
		return
	}
	r.entry.Leaving = true
	leftMs := listLagMs + sim.Bounds.DrainMs + drainMarginMs
	if isSpot {
		leftMs = listLagMs + spotNoticeMs + sim.random.Int63n(spotNoticeSpreadMs)
		r.entry.LeftMs = leftMs
	}
	r.endMs = sim.NowMs() + leftMs
	sim.logf("%s of %s is draining, spot instance reclaimed: %v", r.entry.ID, r.entry.Service, isSpot)
	sim.after(leftMs, func() { sim.endRunner(r, true, 0) })
}

// endRunner ends an incarnation. It stays listed for listedMs. With resets, the connections of its
// running requests break. Without resets, the routers notice nothing until their timeouts.
func (sim *Simulation) endRunner(r *runner, resets bool, listedMs int64) {
	if r.hasEnded {
		return
	}
	sim.logf("%s of %s ends, connections reset: %v", r.entry.ID, r.entry.Service, resets)
	r.hasEnded, r.listedUntilMs = true, sim.NowMs()+listedMs
	running := r.running
	r.running, r.queue = nil, nil
	if !resets {
		return
	}
	for _, a := range running {
		a.breakConnection()
	}
}

// crashRunner ends a runner without notice, and later starts another incarnation at its address.
func (sim *Simulation) crashRunner(r *runner, resets bool) {
	if r == nil || r.hasEnded {
		return
	}
	sim.endRunner(r, resets, crashListedMs)
	sim.after(restartMinMs+sim.random.Int63n(restartSpreadMs), func() {
		if sim.fleet.runnerAt(r.entry.Address) == nil {
			sim.logf("another incarnation of the runner at %s starts", r.entry.Address)
			sim.fleet.startRunner(r.entry.Service, r.entry.Address)
		}
	})
}

// replaceRunner starts a runner at a new address and drains the old one. The address of a runner of
// a plain service is reused for the other plain service as soon as Bounds.ReuseAfterMs allows.
func (sim *Simulation) replaceRunner(r *runner, isSpot bool) {
	if r == nil || r.hasEnded || r.entry.Leaving {
		return
	}
	sim.fleet.startRunner(r.entry.Service, sim.fleet.newAddress())
	sim.drainRunner(r, isSpot)
	if r.entry.Service == modelService {
		return
	}
	sim.after(r.endMs-sim.NowMs()+sim.Bounds.ReuseAfterMs, func() { sim.reuseAddress(r) })
}

func (sim *Simulation) reuseAddress(r *runner) {
	service := otherService
	if r.entry.Service == otherService {
		service = plainService
	}
	isFree := sim.fleet.runnerAt(r.entry.Address) == nil
	if isFree && len(sim.fleet.activeRunners(service)) < maxRunnersForReuse {
		sim.logf("address %s is reused for a runner of %s", r.entry.Address, service)
		sim.fleet.startRunner(service, r.entry.Address)
	}
}
