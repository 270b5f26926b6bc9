package faultsim

// touch follows which machines are in touch and whether the core is settled,
// as the rules count it.
type touch struct {
	w *World
	// coreMs is when the core was last upset; heartMs when it last lacked a
	// majority that runs, connected and not slowed; linksMs when any link was
	// last in trouble.
	coreMs, heartMs, linksMs int64
	nodes                    map[string]int64
}

const never = -1 << 40

func newTouch(w *World) touch {
	return touch{w: w, coreMs: w.NowMs(), heartMs: w.NowMs(), linksMs: w.NowMs(), nodes: map[string]int64{}}
}

// upset notes a trouble of a machine; of a core machine it upsets the core.
func (t *touch) upset(n *node) {
	t.nodes[n.name] = t.w.NowMs()
	if n.core() {
		t.coreMs = t.w.NowMs()
	}
}

// look notes what is in trouble now. It is called every 50 ms and after each
// fault.
func (t *touch) look() {
	w := t.w
	if len(w.cuts) > 0 || w.lossPart > 0 || w.twicePart > 0 || w.latePart > 0 || w.listDown {
		t.linksMs = w.NowMs()
	}
	if w.lossPart > 0 || w.twicePart > 0 || w.latePart > 0 {
		t.coreMs, t.heartMs = w.NowMs(), w.NowMs()
		for name := range w.nodes {
			t.nodes[name] = w.NowMs()
		}
	}
	var running []string
	core := 0
	for _, name := range w.names() {
		n := w.nodes[name]
		if n.removed {
			continue
		}
		if !n.well() {
			t.nodes[name] = w.NowMs()
		}
		if n.core() {
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
			if a == b || w.open(a, b) && w.open(b, a) {
				reached++
			}
		}
		heart[a] = 2*reached > core
	}
	together, well := 0, 0
	for _, name := range running {
		if heart[name] {
			together++
			if w.nodes[name].well() {
				well++
			}
		}
	}
	if 2*together <= core {
		t.coreMs = w.NowMs()
	}
	if 2*well <= core {
		t.heartMs = w.NowMs()
	}
	for _, name := range w.names() {
		for _, to := range running {
			if name != to && heart[to] && !(w.open(name, to) && w.open(to, name)) {
				t.nodes[name] = w.NowMs()
			}
		}
	}
}

// in says whether a machine was in touch from a time until now.
func (t *touch) in(name string, fromMs int64) bool {
	return t.calm(name, fromMs) && t.settled(fromMs)
}

// calm says whether a machine had no trouble of its own.
func (t *touch) calm(name string, fromMs int64) bool {
	lastMs, ever := t.nodes[name]
	return !ever || fromMs-lastMs >= t.w.Bounds.InTouchMs
}

// settled says whether the core was settled from a time until now.
func (t *touch) settled(fromMs int64) bool { return fromMs-t.coreMs >= t.w.Bounds.InTouchMs }

// fromMs is since when a machine has been in touch; it may lie ahead.
func (t *touch) fromMs(name string) int64 {
	atMs := t.coreMs
	if lastMs, ever := t.nodes[name]; ever {
		atMs = max(atMs, lastMs)
	}
	return atMs + t.w.Bounds.InTouchMs
}
