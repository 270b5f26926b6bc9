package faultsim

import (
	"fmt"
	"slices"
	"strings"
)

// Result is what a run showed.
type Result struct {
	World    *World
	Breaches []Breach
}

// Report says what broke, and how to see it again.
func (r Result) Report() string {
	var lines []string
	for _, breach := range r.Breaches {
		lines = append(lines, breach.String())
	}
	return fmt.Sprintf("seed %d, faults %q\n%s\n%s", r.World.Seed, r.World.faults, strings.Join(lines, "\n"), r.World.Trace())
}

// Sum tells in a line what a run saw.
func (r Result) Sum() string {
	w := r.World
	return fmt.Sprintf("seed %d: %d runs, endings %v, versions %v", w.Seed, w.Book.Ran, w.clients.endings, w.operators.outcomes)
}

// Begin has the seeds found the site, hands the first map over, and lets
// clients send.
func (w *World) Begin() {
	w.Run(1500)
	w.replaceMap(w.nodes["core-1"])
	w.Run(3000)
	w.clients.begin(w)
	w.Run(4500)
	w.serves("at the start")
}

func (w *World) bring(f fault) {
	w.note("fault: %s", f.name)
	w.faults = append(w.faults, f.name)
	f.do(w)
}

// End gives all that was begun its time to end, looks whether the site serves
// as before, and reads the map back.
func (w *World) End() Result {
	w.Run(9000)
	w.serves("at the end")
	return w.Close()
}

// Close ends the sending and checks what only the whole shows.
func (w *World) Close() Result {
	w.clients.on = false
	w.Run(6000)
	w.CheckMaps()
	w.CheckHistory()
	for _, r := range w.clients.log {
		if r.ended == "" {
			w.Book.breach("ANSWER", w.NowMs(), "%s never ended", r.try)
		}
	}
	return Result{w, w.Book.Breaches()}
}

// serves looks whether a quarter or more of what is sent now is served.
func (w *World) serves(when string) {
	fromMs := w.NowMs()
	w.Run(2000)
	toMs := w.NowMs()
	w.Run(3000)
	sent, served := map[string]int{}, map[string]int{}
	for _, r := range w.clients.log {
		if r.sentMs < fromMs || r.sentMs >= toMs {
			continue
		}
		kind := "plain"
		if r.streams() {
			kind = "streams"
		}
		sent[kind]++
		if r.served {
			served[kind]++
		}
	}
	for _, kind := range []string{"plain", "streams"} {
		if 4*served[kind] < sent[kind] || sent[kind] == 0 {
			w.Book.breach("RECOVER", w.NowMs(), "%s: %d of %d %s are served", when, served[kind], sent[kind], kind)
		}
	}
}

// disaster strikes right after a map was taken; the site must serve again
// within its time.
func (w *World) disaster(f fault) {
	h := w.changeMap(w.someCore())
	for range 200 {
		if w.Run(20); h.done {
			break
		}
	}
	w.bring(f)
	if w.Breaks.NoMend {
		w.cut(w.names("controller"), w.names("router"), false)
	}
	w.Run(1300 + w.Bounds.RecoverMs)
	w.serves("after a disaster")
}

// Campaign is a run of random faults, alone and together, with a disaster
// near its end in half of the runs.
func Campaign(seed int64, count int) Result {
	return campaign(New(seed, Breaks{}), count)
}

func campaign(w *World, count int) Result {
	w.Begin()
	for range count {
		w.bring(faults[w.random.Intn(len(faults))])
		if w.random.Intn(3) == 0 {
			w.Run(w.random.Int63n(400))
			w.bring(faults[w.random.Intn(len(faults))])
		}
		w.Run(500 + w.random.Int63n(4500))
	}
	if w.random.Intn(2) == 0 {
		w.Run(9000)
		w.disaster(disasters[w.random.Intn(len(disasters))])
		return w.Close()
	}
	return w.End()
}

// Names lists the faults that Play knows, disasters last, and the workload.
func Names() []string {
	var names []string
	for _, f := range append(append([]fault{}, faults...), disasters...) {
		names = append(names, f.name)
	}
	return append(names, workloadName)
}

// Pairs lists each fault with each other one that may follow it.
func Pairs() [][]string {
	var pairs [][]string
	for _, f := range faults {
		for _, g := range append(append([]fault{}, faults...), disasters...) {
			if f.name != g.name {
				pairs = append(pairs, []string{f.name, g.name})
			}
		}
	}
	return pairs
}

func named(name string) (f fault, last, ok bool) {
	for _, f := range faults {
		if f.name == name {
			return f, false, true
		}
	}
	for _, f := range disasters {
		if f.name == name {
			return f, true, true
		}
	}
	return fault{}, false, false
}

// Play brings faults about on a serving site, each soon after the one before,
// or plays a workload; false says that one is unknown.
func Play(seed int64, names ...string) (Result, bool) {
	if slices.Equal(names, []string{workloadName}) {
		return Workload(seed, workloadSteps), true
	}
	return play(seed, Breaks{}, names...)
}

func play(seed int64, breaks Breaks, names ...string) (Result, bool) {
	w := New(seed, breaks)
	for _, name := range names {
		if _, _, ok := named(name); !ok {
			return Result{}, false
		}
	}
	w.Begin()
	for i, name := range names {
		if i > 0 {
			w.Run(w.random.Int63n(1500))
		}
		f, last, _ := named(name)
		if last {
			w.disaster(f)
			return w.Close(), true
		}
		w.bring(f)
	}
	return w.End(), true
}
