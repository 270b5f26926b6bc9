package faultsim

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"myrtlewinch/internal/protocol"
)

// Operators contend while the core has its faults; "drill --scenario" with the
// name of the workload plays more seeds.
func TestWorkloads(t *testing.T) {
	for seed := int64(1); seed <= 9; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := Workload(seed, 100)
			sound(t, r)
			qt.Check(t, len(r.World.operators.history.orders) > 50, qt.IsTrue)
		})
	}
}

// A day of hundreds of changes, with a few faults, and each order sent again.
func TestWorkloadOfHundredsOfChanges(t *testing.T) {
	w := New(1, Breaks{})
	var steps []workloadStep
	for i := range 500 {
		step := workloadStep{Kind: workloadOrders, Count: 1, PauseMs: 60}
		if i%100 == 99 {
			step = workloadStep{Kind: workloadFault, Fault: "primary killed", PauseMs: 5000}
		}
		steps = append(steps, step)
	}
	r := playWorkload(w, steps)
	sound(t, r)
	qt.Assert(t, countOf(w, outcomeAccepted) > 400, qt.IsTrue, qt.Commentf("%d", countOf(w, outcomeAccepted)))
}

func countOf(w *World, first outcome) int {
	count := 0
	for _, r := range w.operators.history.orders {
		if len(r.answers) > 0 && r.answers[0].outcome == first {
			count++
		}
	}
	return count
}

// The check of the history fires on each broken variant of the system.
func TestHistoryCheckFires(t *testing.T) {
	orders := workloadStep{Kind: workloadOrders, Count: 3, PauseMs: 30}
	read := workloadStep{Kind: workloadRead, Count: 4, PauseMs: 5}
	// Reads over the whole time of a cut and of its end.
	slowRead := workloadStep{Kind: workloadRead, Count: 8, PauseMs: 150}
	fault := func(name string, pauseMs int64) workloadStep {
		return workloadStep{Kind: workloadFault, Fault: name, PauseMs: pauseMs}
	}
	for _, test := range []struct {
		name   string
		breaks Breaks
		steps  []workloadStep
	}{
		{"accepted orders are forgotten", Breaks{ForgetOrders: true}, []workloadStep{orders}},
		{"two orders on one version are accepted", Breaks{IgnoreBase: true}, []workloadStep{orders, orders}},
		{"yes before any copy has it", Breaks{EagerAnswer: true}, []workloadStep{orders, orders}},
		{"read back from any copy", Breaks{StaleRead: true}, []workloadStep{fault("primary cut off", 0), orders, slowRead, slowRead, orders, slowRead, slowRead, orders, slowRead, slowRead}},
		{"refused by any copy", Breaks{StaleRefusal: true}, []workloadStep{orders, fault("primary killed", 0), orders, orders}},
		{"disks keep saves back", Breaks{CachedDisk: true}, []workloadStep{orders, orders, orders, orders, fault("core killed", 5000), orders, read}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fired := false
			for seed := int64(1); seed <= 60 && !fired; seed++ {
				r := playWorkload(newWorkloadSite(seed, test.breaks), test.steps)
				for _, breach := range r.Breaches {
					fired = fired || breach.Rule == "REGISTER"
				}
			}
			qt.Check(t, fired, qt.IsTrue)
		})
	}
}

// drawnSeed is what CI draws from, the same each time; the flags of rapid draw
// from others.
const drawnSeed = "20261202"

// fixDraws has rapid draw the same each time, unless its flags say otherwise.
func fixDraws(t *testing.T, checks string) {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": checks, "rapid.seed": drawnSeed, "rapid.nofailfile": "true"} {
		if !given[name] {
			qt.Assert(t, flag.Lookup(name).Value.Set(value), qt.IsNil)
		}
	}
	t.Logf("seed %s, %s checks", flag.Lookup("rapid.seed").Value, flag.Lookup("rapid.checks").Value)
}

// Drawn workloads fit one register. One that does not is shrunk to the fewest
// steps that show it.
func TestDrawnWorkloads(t *testing.T) {
	fixDraws(t, "25")
	steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40)
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64Range(1, 1<<20).Draw(t, "seed")
		r := playWorkload(newWorkloadSite(seed, Breaks{}), steps.Draw(t, "steps"))
		if len(r.Breaches) > 0 {
			t.Fatalf("%s", r.Report())
		}
	})
}

func drawStep(t *rapid.T) workloadStep {
	return workloadStep{
		Kind:    workloadKind(rapid.IntRange(0, int(workloadKinds)-1).Draw(t, "kind")),
		Count:   rapid.IntRange(1, underMost).Draw(t, "count"),
		PauseMs: rapid.Int64Range(0, 800).Draw(t, "pause"),
		Fault:   rapid.SampledFrom(workloadFaults).Draw(t, "fault"),
	}
}

// begun is a site of a map in force.
func begun(seed int64) *World {
	w := New(seed, Breaks{})
	w.Run(1500)
	w.replaceMap(w.nodes["core-1"])
	w.Run(3000)
	return w
}

// settleWorkload sends every order again to every controller, and checks.
func settleWorkload(t *testing.T, w *World) {
	w.Run(callerEnd)
	for _, r := range w.operators.history.orders {
		for _, name := range w.names(protocol.Controller) {
			w.resend(r, w.nodes[name])
		}
		w.readBack(nil)
		w.Run(500)
	}
	w.Run(callerEnd)
	w.CheckMaps()
	w.CheckHistory()
	sound(t, Result{w, w.Book.Breaches()})
}

// An order reaches the primary alone, which is cut off or killed a moment later
// and comes back. Meanwhile operators do nothing, send it elsewhere, or put
// another in force; or the next primary is lost too.
func TestOrderAtTheOldPrimaryAlone(t *testing.T) {
	for _, meanwhile := range []string{"nothing", "sent again", "another in force", "the next primary lost"} {
		for _, how := range []string{"cut off", "killed", "frozen"} {
			t.Run(meanwhile+", "+how, func(t *testing.T) {
				t.Parallel()
				accepted, alone := 0, 0
				for afterMs := int64(0); afterMs <= 18; afterMs += 3 {
					w := begun(2 + afterMs%2)
					old := w.primary()
					w.slowOthers(old, 40)
					order := w.newOrder(w.operators.base, w.operators.next(w), false)
					order.isOnce = true
					w.hand(old, order)
					sent := w.operators.history.orders[1]
					w.Run(afterMs)
					w.takeAway(old, how)
					if w.mapIsAloneAt(old) {
						alone++
					}
					w.slowOthers(old, 0)
					w.Run(3000)
					w.meanwhile(meanwhile, sent)
					w.bringBack(old, how)
					settleWorkload(t, w)
					if len(sent.answers) > 0 && sent.answers[0].outcome == outcomeAccepted {
						accepted++
					}
				}
				qt.Check(t, alone >= 3, qt.IsTrue, qt.Commentf("%d", alone))
				t.Logf("alone on the old primary's disk in %d of 7, accepted in the end in %d", alone, accepted)
			})
		}
	}
}

// slowOthers makes the disks of all other core machines slower.
func (w *World) slowOthers(n *node, ms int64) {
	for _, name := range w.names(protocol.Controller) {
		if other := w.nodes[name]; other != n {
			other.disk.slowMs = ms
		}
	}
}

// mapIsAloneAt says whether a disk holds another map than all other disks.
func (w *World) mapIsAloneAt(n *node) bool {
	const key = "state/kept/map"
	for _, name := range w.names(protocol.Controller) {
		if other := w.nodes[name]; other != n && other.disk.keys[key] == n.disk.keys[key] {
			return false
		}
	}
	return true
}

func (w *World) takeAway(n *node, how string) {
	switch how {
	case "cut off":
		w.cut([]string{n.name}, w.others(n.name), false)
	case "killed":
		w.kill(n)
	case "frozen":
		w.freeze(n)
	}
}

func (w *World) bringBack(n *node, how string) {
	switch how {
	case "cut off":
		w.heal()
	case "killed":
		w.start(n, false)
	case "frozen":
		w.thaw(n)
	}
}

func (w *World) meanwhile(what string, sent *orderRecord) {
	switch what {
	case "sent again":
		w.resend(sent, nil)
		w.Run(2000)
	case "another in force":
		w.sendOrder(w.operators.base, w.operators.next(w), false)
		w.Run(2000)
	case "the next primary lost":
		if next := w.primary(); next != nil {
			w.kill(next)
			w.after(1500, func() { w.start(next, false) })
		}
	}
}

// Two operators send different orders under one number on one version; all
// answers get lost, the primary is lost at some moment, and each order is sent
// again to each controller.
func TestRivalsAcrossATakeOver(t *testing.T) {
	for _, how := range []string{"cut off", "killed", "frozen"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			for afterMs := int64(0); afterMs <= 15; afterMs += 3 {
				w := begun(2 + afterMs%2)
				old := w.primary()
				w.operators.lostPart = 1
				w.runStep(workloadStep{Kind: workloadRivals})
				w.Run(afterMs)
				w.takeAway(old, how)
				w.Run(4000)
				w.operators.lostPart = 0
				w.bringBack(old, how)
				settleWorkload(t, w)
				qt.Check(t, countOf(w, outcomeAccepted), qt.Equals, 2, qt.Commentf("after %d ms: the first map and one of the two", afterMs))
			}
		})
	}
}
