package faultsim

// connectivity follows which machines are in touch and whether the core is settled,
// as the rules count it.
type connectivity struct {
	sim *Simulation
	// coreDisturbedMs is when the core was last upset; noMajorityMs when it last lacked a
	// majority that runs, connected and not slowed; linkFaultMs when any link was
	// last in trouble.
	coreDisturbedMs, noMajorityMs, linkFaultMs int64
	disturbedMs                                map[string]int64
}

const never = -1 << 40

func newConnectivity(sim *Simulation) connectivity {
	return connectivity{sim: sim, coreDisturbedMs: sim.NowMs(), noMajorityMs: sim.NowMs(), linkFaultMs: sim.NowMs(), disturbedMs: map[string]int64{}}
}

// disturb notes a trouble of a machine; of a core machine it upsets the core.
func (t *connectivity) disturb(n *node) {
	t.disturbedMs[n.name] = t.sim.NowMs()
	if n.isController() {
		t.coreDisturbedMs = t.sim.NowMs()
	}
}

// observe notes what is in trouble now. It is called every 50 ms and after each
// fault.
func (t *connectivity) observe() {
	sim := t.sim
	if len(sim.cuts) > 0 || sim.lossShare > 0 || sim.duplicateShare > 0 || sim.delayShare > 0 || sim.listDown {
		t.linkFaultMs = sim.NowMs()
	}
	if sim.lossShare > 0 || sim.duplicateShare > 0 || sim.delayShare > 0 {
		t.coreDisturbedMs, t.noMajorityMs = sim.NowMs(), sim.NowMs()
		for name := range sim.nodes {
			t.disturbedMs[name] = sim.NowMs()
		}
	}
	var running []string
	core := 0
	for _, name := range sim.nodeNames() {
		n := sim.nodes[name]
		if n.removed {
			continue
		}
		if !n.isHealthy() {
			t.disturbedMs[name] = sim.NowMs()
		}
		if n.isController() {
			core++
			if n.up && !n.frozen {
				running = append(running, name)
			}
		}
	}
	// The heart is the running core machines that reach a majority.
	heart := map[string]bool{}
	for _, a := range running {
		reached := 0
		for _, b := range running {
			if a == b || sim.isOpen(a, b) && sim.isOpen(b, a) {
				reached++
			}
		}
		heart[a] = 2*reached > core
	}
	together, well := 0, 0
	for _, name := range running {
		if heart[name] {
			together++
			if sim.nodes[name].isHealthy() {
				well++
			}
		}
	}
	if 2*together <= core {
		t.coreDisturbedMs = sim.NowMs()
	}
	if 2*well <= core {
		t.noMajorityMs = sim.NowMs()
	}
	for _, name := range sim.nodeNames() {
		for _, to := range running {
			if name != to && heart[to] && !(sim.isOpen(name, to) && sim.isOpen(to, name)) {
				t.disturbedMs[name] = sim.NowMs()
			}
		}
	}
}

// isConnectedSince says whether a machine was in touch from a time until now.
func (t *connectivity) isConnectedSince(name string, fromMs int64) bool {
	return t.isUndisturbedSince(name, fromMs) && t.isCoreStableSince(fromMs)
}

// isUndisturbedSince says whether a machine had no trouble of its own.
func (t *connectivity) isUndisturbedSince(name string, fromMs int64) bool {
	lastMs, ever := t.disturbedMs[name]
	return !ever || fromMs-lastMs >= t.sim.Bounds.InTouchMs
}

// isCoreStableSince says whether the core was settled from a time until now.
func (t *connectivity) isCoreStableSince(fromMs int64) bool {
	return fromMs-t.coreDisturbedMs >= t.sim.Bounds.InTouchMs
}

// connectedFromMs is since when a machine has been in touch; it may lie ahead.
func (t *connectivity) connectedFromMs(name string) int64 {
	atMs := t.coreDisturbedMs
	if lastMs, ever := t.disturbedMs[name]; ever {
		atMs = max(atMs, lastMs)
	}
	return atMs + t.sim.Bounds.InTouchMs
}
