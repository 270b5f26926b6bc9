package faultsim

const (
	// crashListedMs is for how long a crashed runner stays listed.
	crashListedMs = 4000
	// drainSlackMs is how much longer than the rules' drain time a runner that
	// stops as planned continues.
	drainSlackMs = 1500
	// A runner whose machine is taken away ends spotNoticeMs after it is listed
	// as draining, and up to spotNoticeSpreadMs later.
	spotNoticeMs       = 1200
	spotNoticeSpreadMs = 1500
	// A crashed runner restarts after restartMinMs and up to restartSpreadMs more.
	restartMinMs    = 2000
	restartSpreadMs = 3000
	// maxReusedRunners is up to how many runners of a plain service addresses are
	// given to.
	maxReusedRunners = 4
)

// drainRunner marks a runner as draining. It ends some time after the drain
// time, or after a shorter notice if its machine is taken away (isSpot),
// whatever it still runs.
func (sim *Simulation) drainRunner(r *runner, isSpot bool) {
	if r == nil || r.hasEnded || r.entry.Leaving {
		return
	}
	r.entry.Leaving = true
	leftMs := listLagMs + sim.Bounds.DrainMs + drainSlackMs
	if isSpot {
		leftMs = listLagMs + spotNoticeMs + sim.random.Int63n(spotNoticeSpreadMs)
		r.entry.LeftMs = leftMs
	}
	r.endMs = sim.NowMs() + leftMs
	sim.logf("%s of %s is draining, spot: %v", r.entry.ID, r.entry.Service, isSpot)
	sim.after(leftMs, func() { sim.endRunner(r, true, 0) })
}

// endRunner ends an incarnation, which stays listed for a while. With resets
// the routers that wait for it see their connections break.
func (sim *Simulation) endRunner(r *runner, resets bool, listedMs int64) {
	if r.hasEnded {
		return
	}
	sim.logf("%s of %s ends, resets: %v", r.entry.ID, r.entry.Service, resets)
	r.hasEnded, r.listedUntilMs = true, sim.NowMs()+listedMs
	running := r.running
	r.running, r.queue = nil, nil
	if !resets {
		return
	}
	for _, a := range running {
		a.connectionBroken()
	}
}

// crashRunner ends a runner without notice and starts another incarnation at
// its address later.
func (sim *Simulation) crashRunner(r *runner, resets bool) {
	if r == nil || r.hasEnded {
		return
	}
	sim.endRunner(r, resets, crashListedMs)
	sim.after(restartMinMs+sim.random.Int63n(restartSpreadMs), func() {
		if sim.fleet.runnerAt(r.entry.Address) == nil {
			sim.logf("%s starts another incarnation", r.entry.Address)
			sim.fleet.startRunner(r.entry.Service, r.entry.Address)
		}
	})
}

// replaceRunner starts a runner elsewhere and drains the old one, whose address
// is given to another plain service as soon as the rules allow.
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
	if isFree && len(sim.fleet.activeRunners(service)) < maxReusedRunners {
		sim.logf("%s is given to a runner of %s", r.entry.Address, service)
		sim.fleet.startRunner(service, r.entry.Address)
	}
}
