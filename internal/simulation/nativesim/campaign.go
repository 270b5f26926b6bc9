package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
)

// fault is something a campaign brings about at random.
type fault struct {
	name   string
	inject func(w *World)
}

func (w *World) randomNode(part string) string {
	names := w.nodeNames(part)
	return names[w.Random.Intn(len(names))]
}

func (w *World) randomRunner() string {
	return w.Description.Runners[w.Random.Intn(len(w.Description.Runners))].Name
}

// randomDurationMs is a time within a few seconds, for a fault's end.
func (w *World) randomDurationMs() int64 { return 500 + w.Random.Int63n(6000) }

// unhealthyControllers counts the core daemons that are not up and well, since a site
// need survive only one of them at a time.
func (w *World) unhealthyControllers() int {
	down := 0
	for _, name := range w.nodeNames(protocol.RoleController) {
		n := w.nodes[name]
		if !n.up || n.frozen || n.disk.full || n.disk.stalled || w.recovering[name] {
			down++
		}
	}
	return down
}

// faultController does something to a core daemon if all others are well.
func (w *World) faultController(name string, do func(name string)) {
	if name == "" || w.unhealthyControllers() > 0 {
		return
	}
	w.recovering[name] = true
	do(name)
}

// faultTwoControllers does something to two core daemons at once if all are well.
func (w *World) faultTwoControllers(first, second string, do func(name string)) {
	if first == "" || second == "" || w.unhealthyControllers() > 0 {
		return
	}
	w.recovering[first], w.recovering[second] = true, true
	do(first)
	do(second)
}

// repairLater ends a core daemon's fault; it counts as well once it has caught up.
func (w *World) repairLater(name string, do func()) {
	w.events.After(w.randomDurationMs(), func() {
		do()
		w.events.After(6000, func() { delete(w.recovering, name) })
	})
}

func (w *World) primaryOrRandom() string {
	if p := w.Primary(); p != "" && w.Random.Intn(2) == 0 {
		return p
	}
	return w.randomNode(protocol.RoleController)
}

var faults = []fault{
	{"kill a core daemon", func(w *World) {
		w.faultController(w.primaryOrRandom(), func(name string) {
			w.Kill(name)
			w.repairLater(name, func() { w.Start(name) })
		})
	}},
	{"wipe a core daemon", func(w *World) {
		w.faultController(w.primaryOrRandom(), func(name string) {
			w.Kill(name)
			w.Wipe(name)
			w.repairLater(name, func() { w.Start(name) })
		})
	}},
	{"move a core daemon, empty, to a new address", func(w *World) {
		w.faultController(w.primaryOrRandom(), func(name string) {
			w.Kill(name)
			w.Wipe(name)
			w.Move(name)
			w.repairLater(name, func() { w.Start(name) })
		})
	}},
	{"freeze a core daemon", func(w *World) {
		w.faultController(w.primaryOrRandom(), func(name string) {
			w.Freeze(name)
			w.repairLater(name, func() { w.Thaw(name) })
		})
	}},
	{"fill a core disk", func(w *World) {
		w.faultController(w.primaryOrRandom(), func(name string) {
			w.tracef("the disk of %s fills", name)
			w.nodes[name].disk.full = true
			w.repairLater(name, func() {
				w.nodes[name].disk.full = false
				w.Kill(name)
				w.Start(name)
			})
		})
	}},
	{"stall a core disk", func(w *World) {
		w.faultController(w.primaryOrRandom(), func(name string) {
			w.tracef("the disk of %s stalls", name)
			w.nodes[name].disk.stalled = true
			w.repairLater(name, func() { w.nodes[name].disk.stalled = false })
		})
	}},
	{"slow a core disk", func(w *World) {
		name := w.randomNode(protocol.RoleController)
		w.nodes[name].disk.slowMs = 50 + w.Random.Int63n(200)
		w.events.After(w.randomDurationMs(), func() { w.nodes[name].disk.slowMs = 0 })
	}},
	{"cut a core daemon off", func(w *World) {
		w.faultController(w.primaryOrRandom(), func(name string) {
			w.Cut([]string{name}, w.others(name), w.Random.Intn(3) == 0)
			w.repairLater(name, w.Heal)
		})
	}},
	{"cut the core off from routers", func(w *World) {
		w.Cut(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter), w.Random.Intn(3) == 0)
		w.events.After(w.randomDurationMs(), w.Heal)
	}},
	{"cut some routers off from the core, with descriptions", func(w *World) {
		names := w.nodeNames(protocol.RoleRouter)
		w.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		cut := names[:1+w.Random.Intn(len(names))]
		w.Cut(w.nodeNames(protocol.RoleController), cut, w.Random.Intn(3) == 0)
		for range 3 {
			w.events.After(w.Random.Int63n(8000), func() { w.submitNext() })
		}
		w.events.After(w.Random.Int63n(8000), func() { w.Kill(names[0]); w.Start(names[0]) })
		w.events.After(2*w.randomDurationMs(), w.Heal)
	}},
	{"cut the platform off", func(w *World) {
		w.Cut([]string{"platform"}, w.nodeNames(""), false)
		w.events.After(w.randomDurationMs(), w.Heal)
	}},
	{"lose and double messages", func(w *World) {
		w.links.LossRate, w.links.DuplicateRate = 0.2*w.Random.Float64(), 0.2*w.Random.Float64()
		w.events.After(w.randomDurationMs(), w.Heal)
	}},
	{"kill a router", func(w *World) {
		name := w.randomNode(protocol.RoleRouter)
		w.Kill(name)
		w.events.After(w.randomDurationMs(), func() { w.Start(name) })
	}},
	{"freeze a router", func(w *World) {
		name := w.randomNode(protocol.RoleRouter)
		w.Freeze(name)
		w.events.After(w.randomDurationMs(), func() { w.Thaw(name) })
	}},
	{"kill the pair", func(w *World) {
		w.faultTwoControllers(w.Primary(), w.backup(), func(name string) {
			w.Kill(name)
			w.repairLater(name, func() { w.Start(name) })
		})
	}},
	{"kill two core daemons", func(w *World) {
		names := w.nodeNames(protocol.RoleController)
		w.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		w.faultTwoControllers(names[0], names[1], func(name string) {
			w.Kill(name)
			w.repairLater(name, func() { w.Start(name) })
		})
	}},
	{"kill all in the middle of a change", func(w *World) {
		switch w.Random.Intn(3) {
		case 0:
			w.submitNext()
		case 1:
			w.faultController(w.Primary(), func(name string) { w.Kill(name); w.repairLater(name, func() { w.Start(name) }) })
		case 2:
			w.faultController(w.randomNode(protocol.RoleController), func(name string) {
				w.Kill(name)
				w.Wipe(name)
				w.Start(name)
				w.repairLater(name, func() {})
			})
		}
		w.events.After(w.Random.Int63n(4000), func() {
			names := w.nodeNames("")
			for _, name := range names {
				w.Kill(name)
			}
			for _, name := range names {
				w.events.After(w.Random.Int63n(1000), func() { w.Start(name) })
			}
		})
	}},
	{"delay and reorder messages", func(w *World) {
		w.links.DelayRate, w.links.MaxDelayMs = 0.2*w.Random.Float64(), 5000
		w.events.After(w.randomDurationMs(), func() { w.links.DelayRate = 0 })
	}},
	{"freeze all routers", func(w *World) {
		names := w.nodeNames(protocol.RoleRouter)
		for _, name := range names {
			w.Freeze(name)
			w.events.After(w.randomDurationMs(), func() { w.Thaw(name) })
		}
	}},
	{"replace runners one after another", func(w *World) {
		for i, r := range w.Description.Runners[:4] {
			w.events.After(int64(i)*1000, func() { w.MarkLeaving(r.Name) })
			w.events.After(int64(i)*1000+3500, func() { w.CrashRunner(r.Name); w.StartRunner(r.Name) })
		}
	}},
	{"take a zone's runners away", func(w *World) {
		zone := w.Description.Runners[w.Random.Intn(len(w.Description.Runners))].Zone
		for _, r := range w.Description.Runners {
			if r.Zone == zone {
				w.MarkLeaving(r.Name)
				w.events.After(3500+w.Random.Int63n(3000), func() { w.CrashRunner(r.Name); w.StartRunner(r.Name) })
			}
		}
	}},
	{"kill all daemons", func(w *World) {
		for _, name := range w.nodeNames("") {
			w.Kill(name)
			w.events.After(500, func() { w.Start(name) })
		}
	}},
	{"crash a runner", func(w *World) {
		name := w.randomRunner()
		w.CrashRunner(name)
		w.events.After(w.randomDurationMs(), func() { w.StartRunner(name) })
	}},
	{"replace a runner at once", func(w *World) {
		name := w.randomRunner()
		w.CrashRunner(name)
		w.StartRunner(name)
	}},
	{"darken a runner", func(w *World) {
		name := w.randomRunner()
		w.BlackholeRunner(name, true)
		w.events.After(w.randomDurationMs(), func() { w.BlackholeRunner(name, false) })
	}},
	{"take a runner away", func(w *World) {
		name := w.randomRunner()
		w.MarkLeaving(name)
		w.events.After(4000+w.randomDurationMs(), func() { w.CrashRunner(name); w.StartRunner(name) })
	}},
	{"a crowd", func(w *World) { w.Burst(w.Description.Services[w.Random.Intn(len(w.Description.Services))].Name, 200) }},
	{"a crowd for rare models", func(w *World) {
		w.clients.uniformModels = true
		w.Burst(w.Description.Services[w.Random.Intn(len(w.Description.Services))].Name, 100)
		w.events.After(3000, func() { w.clients.uniformModels = false })
	}},
	{"descriptions in quick succession", func(w *World) {
		for i := range 4 {
			w.events.After(int64(i)*150, func() { w.submitNext() })
		}
	}},
	{"operators collide", func(w *World) {
		for range 3 {
			w.submitNext()
		}
	}},
}

// submitNext hands a new text over, on the newest revision that is known:
// mostly a whole one, at times a part, or one with a fault.
func (w *World) submitNext() {
	w.submissions++
	name := w.Primary()
	if name == "" || w.Random.Intn(8) == 0 {
		name = w.randomNode(protocol.RoleController)
	}
	base := w.operator.newestAccepted
	if n := w.nodes[name]; n.up && !n.frozen {
		base = w.status(n).Revision
	}
	switch w.Random.Intn(8) {
	case 0:
		w.SubmitDescription(name, base, w.Faulty(w.submissions))
	case 1, 2:
		w.SubmitPart(name, base, w.Part(w.submissions))
	default:
		w.SubmitDescription(name, base, w.Variant(w.submissions))
	}
}

// Move gives a daemon a new address; it must be down.
func (w *World) Move(name string) {
	n := w.nodes[name]
	delete(w.nodeAt, n.address)
	w.moves++
	n.address = fmt.Sprintf("%s:%d", name, 1+w.moves)
	w.nodeAt[n.address] = name
	n.seeds = nil
	for _, core := range w.nodeNames(protocol.RoleController) {
		if core != name && len(n.seeds) < 3 {
			n.seeds = append(n.seeds, w.nodes[core].address)
		}
	}
	w.tracef("%s moves to %s", name, n.address)
}

// RepairAll ends every fault that still runs.
func (w *World) RepairAll() {
	w.Heal()
	for _, name := range w.nodeNames("") {
		n := w.nodes[name]
		if n.disk != nil {
			// What a failed write left is known only after a restart.
			if n.disk.full && n.up {
				w.Kill(name)
			}
			n.disk.full, n.disk.stalled, n.disk.slowMs = false, false, 0
		}
		w.Thaw(name)
		w.Start(name)
	}
	for _, r := range w.Description.Runners {
		w.runners[r.Name].blackholed = false
		if listed := w.runners[r.Name]; !listed.up {
			w.StartRunner(r.Name)
		}
	}
}

// RecoveryMs is how long a site may take to serve again after the last fault.
const RecoveryMs = 12_000

// Campaign is a run of random faults, alone and together, with one last fault
// near its end. Then all is mended and the site must serve again in time.
func Campaign(text string, seed int64, count int) Result {
	w := New(text, seed)
	// Half of the runs do without the runners' own guard of revisions, so that
	// it does not hide what the routers do.
	w.acceptOldRevisions = seed%2 == 1
	for _, r := range w.runners {
		r.backend.AcceptOldRevisions = w.acceptOldRevisions
	}
	w.Begin()
	for range count {
		w.injectRandomFault()
		if w.Random.Intn(3) == 0 {
			w.Run(w.Random.Int63n(300))
			w.injectRandomFault()
		}
		w.Run(500 + w.Random.Int63n(5000))
	}
	w.Run(10_000)
	w.injectRandomFault()
	w.Run(100)
	w.tracef("all is mended")
	w.RepairAll()
	w.checkRecovery()
	w.StopClients()
	w.Run(4000)
	w.CheckDescriptions()
	return Result{w, w.Checker.Violations()}
}

func (w *World) injectRandomFault() {
	f := faults[w.Random.Intn(len(faults))]
	w.tracef("fault: %s", f.name)
	w.faults = append(w.faults, f.name)
	f.inject(w)
}

// checkRecovery gives the site its time. By its end every service must have
// answered, also those that need models, and the small one must go on to.
func (w *World) checkRecovery() {
	before := map[string]int{}
	for _, s := range w.Description.Services {
		before[s.Name] = w.Answered(s.Name)
	}
	w.Run(RecoveryMs)
	for _, s := range w.Description.Services {
		if w.Answered(s.Name) == before[s.Name] {
			w.Checker.ServiceNotRecovered(w.events.NowMs(), s.Name)
		}
		before[s.Name] = w.Answered(s.Name)
	}
	w.Run(2000)
	if small := w.smallService(); w.Answered(small) == before[small] {
		w.Checker.ServiceNotRecovered(w.events.NowMs(), small)
	}
}

// Faults lists what a run brought about.
func (w *World) Faults() []string { return w.faults }
