package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
)

// fault is something a campaign brings about at random.
type fault struct {
	name string
	do   func(w *World)
}

func (w *World) some(part string) string {
	names := w.names(part)
	return names[w.Random.Intn(len(names))]
}

func (w *World) someRunner() string {
	return w.Site.Runners[w.Random.Intn(len(w.Site.Runners))].Name
}

// soon is a time within a few seconds, for a fault's end.
func (w *World) soon() int64 { return 500 + w.Random.Int63n(6000) }

// coreDown counts the core daemons that are not up and well, since a site
// need survive only one of them at a time.
func (w *World) coreDown() int {
	down := 0
	for _, name := range w.names(protocol.Controller) {
		n := w.nodes[name]
		if !n.up || n.frozen || n.disk.full || n.disk.stalled || w.busy[name] {
			down++
		}
	}
	return down
}

// withCore does something to a core daemon if all others are well.
func (w *World) withCore(name string, do func(name string)) {
	if name == "" || w.coreDown() > 0 {
		return
	}
	w.busy[name] = true
	do(name)
}

// withTwo does something to two core daemons at once if all are well.
func (w *World) withTwo(first, second string, do func(name string)) {
	if first == "" || second == "" || w.coreDown() > 0 {
		return
	}
	w.busy[first], w.busy[second] = true, true
	do(first)
	do(second)
}

// mend ends a core daemon's fault; it counts as well once it has caught up.
func (w *World) mend(name string, do func()) {
	w.events.After(w.soon(), func() {
		do()
		w.events.After(6000, func() { delete(w.busy, name) })
	})
}

func (w *World) primaryOrSome() string {
	if p := w.Primary(); p != "" && w.Random.Intn(2) == 0 {
		return p
	}
	return w.some(protocol.Controller)
}

var faults = []fault{
	{"kill a core daemon", func(w *World) {
		w.withCore(w.primaryOrSome(), func(name string) {
			w.Kill(name)
			w.mend(name, func() { w.Start(name) })
		})
	}},
	{"wipe a core daemon", func(w *World) {
		w.withCore(w.primaryOrSome(), func(name string) {
			w.Kill(name)
			w.Wipe(name)
			w.mend(name, func() { w.Start(name) })
		})
	}},
	{"move a core daemon, empty, to a new address", func(w *World) {
		w.withCore(w.primaryOrSome(), func(name string) {
			w.Kill(name)
			w.Wipe(name)
			w.Move(name)
			w.mend(name, func() { w.Start(name) })
		})
	}},
	{"freeze a core daemon", func(w *World) {
		w.withCore(w.primaryOrSome(), func(name string) {
			w.Freeze(name)
			w.mend(name, func() { w.Thaw(name) })
		})
	}},
	{"fill a core disk", func(w *World) {
		w.withCore(w.primaryOrSome(), func(name string) {
			w.note("the disk of %s fills", name)
			w.nodes[name].disk.full = true
			w.mend(name, func() {
				w.nodes[name].disk.full = false
				w.Kill(name)
				w.Start(name)
			})
		})
	}},
	{"stall a core disk", func(w *World) {
		w.withCore(w.primaryOrSome(), func(name string) {
			w.note("the disk of %s stalls", name)
			w.nodes[name].disk.stalled = true
			w.mend(name, func() { w.nodes[name].disk.stalled = false })
		})
	}},
	{"slow a core disk", func(w *World) {
		name := w.some(protocol.Controller)
		w.nodes[name].disk.slowMs = 50 + w.Random.Int63n(200)
		w.events.After(w.soon(), func() { w.nodes[name].disk.slowMs = 0 })
	}},
	{"cut a core daemon off", func(w *World) {
		w.withCore(w.primaryOrSome(), func(name string) {
			w.Cut([]string{name}, w.others(name), w.Random.Intn(3) == 0)
			w.mend(name, w.Heal)
		})
	}},
	{"cut the core off from routers", func(w *World) {
		w.Cut(w.names(protocol.Controller), w.names(protocol.Router), w.Random.Intn(3) == 0)
		w.events.After(w.soon(), w.Heal)
	}},
	{"cut some routers off from the core, with descriptions", func(w *World) {
		names := w.names(protocol.Router)
		w.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		cut := names[:1+w.Random.Intn(len(names))]
		w.Cut(w.names(protocol.Controller), cut, w.Random.Intn(3) == 0)
		for range 3 {
			w.events.After(w.Random.Int63n(8000), func() { w.handOverNext() })
		}
		w.events.After(w.Random.Int63n(8000), func() { w.Kill(names[0]); w.Start(names[0]) })
		w.events.After(2*w.soon(), w.Heal)
	}},
	{"cut the platform off", func(w *World) {
		w.Cut([]string{"platform"}, w.names(""), false)
		w.events.After(w.soon(), w.Heal)
	}},
	{"lose and double messages", func(w *World) {
		w.lossPart, w.twicePart = 0.2*w.Random.Float64(), 0.2*w.Random.Float64()
		w.events.After(w.soon(), w.Heal)
	}},
	{"kill a router", func(w *World) {
		name := w.some(protocol.Router)
		w.Kill(name)
		w.events.After(w.soon(), func() { w.Start(name) })
	}},
	{"freeze a router", func(w *World) {
		name := w.some(protocol.Router)
		w.Freeze(name)
		w.events.After(w.soon(), func() { w.Thaw(name) })
	}},
	{"kill the pair", func(w *World) {
		w.withTwo(w.Primary(), w.backup(), func(name string) {
			w.Kill(name)
			w.mend(name, func() { w.Start(name) })
		})
	}},
	{"kill two core daemons", func(w *World) {
		names := w.names(protocol.Controller)
		w.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		w.withTwo(names[0], names[1], func(name string) {
			w.Kill(name)
			w.mend(name, func() { w.Start(name) })
		})
	}},
	{"kill all in the middle of a change", func(w *World) {
		switch w.Random.Intn(3) {
		case 0:
			w.handOverNext()
		case 1:
			w.withCore(w.Primary(), func(name string) { w.Kill(name); w.mend(name, func() { w.Start(name) }) })
		case 2:
			w.withCore(w.some(protocol.Controller), func(name string) {
				w.Kill(name)
				w.Wipe(name)
				w.Start(name)
				w.mend(name, func() {})
			})
		}
		w.events.After(w.Random.Int63n(4000), func() {
			names := w.names("")
			for _, name := range names {
				w.Kill(name)
			}
			for _, name := range names {
				w.events.After(w.Random.Int63n(1000), func() { w.Start(name) })
			}
		})
	}},
	{"delay and reorder messages", func(w *World) {
		w.latePart, w.lateMs = 0.2*w.Random.Float64(), 5000
		w.events.After(w.soon(), func() { w.latePart = 0 })
	}},
	{"freeze all routers", func(w *World) {
		names := w.names(protocol.Router)
		for _, name := range names {
			w.Freeze(name)
			w.events.After(w.soon(), func() { w.Thaw(name) })
		}
	}},
	{"replace runners one after another", func(w *World) {
		for i, r := range w.Site.Runners[:4] {
			w.events.After(int64(i)*1000, func() { w.MarkLeaving(r.Name) })
			w.events.After(int64(i)*1000+3500, func() { w.CrashRunner(r.Name); w.StartRunner(r.Name) })
		}
	}},
	{"take a zone's runners away", func(w *World) {
		zone := w.Site.Runners[w.Random.Intn(len(w.Site.Runners))].Zone
		for _, r := range w.Site.Runners {
			if r.Zone == zone {
				w.MarkLeaving(r.Name)
				w.events.After(3500+w.Random.Int63n(3000), func() { w.CrashRunner(r.Name); w.StartRunner(r.Name) })
			}
		}
	}},
	{"kill all daemons", func(w *World) {
		for _, name := range w.names("") {
			w.Kill(name)
			w.events.After(500, func() { w.Start(name) })
		}
	}},
	{"crash a runner", func(w *World) {
		name := w.someRunner()
		w.CrashRunner(name)
		w.events.After(w.soon(), func() { w.StartRunner(name) })
	}},
	{"replace a runner at once", func(w *World) {
		name := w.someRunner()
		w.CrashRunner(name)
		w.StartRunner(name)
	}},
	{"darken a runner", func(w *World) {
		name := w.someRunner()
		w.DarkenRunner(name, true)
		w.events.After(w.soon(), func() { w.DarkenRunner(name, false) })
	}},
	{"take a runner away", func(w *World) {
		name := w.someRunner()
		w.MarkLeaving(name)
		w.events.After(4000+w.soon(), func() { w.CrashRunner(name); w.StartRunner(name) })
	}},
	{"a crowd", func(w *World) { w.Crowd(w.Site.Services[w.Random.Intn(len(w.Site.Services))].Name, 200) }},
	{"a crowd for rare models", func(w *World) {
		w.senders.rare = true
		w.Crowd(w.Site.Services[w.Random.Intn(len(w.Site.Services))].Name, 100)
		w.events.After(3000, func() { w.senders.rare = false })
	}},
	{"descriptions in quick succession", func(w *World) {
		for i := range 4 {
			w.events.After(int64(i)*150, func() { w.handOverNext() })
		}
	}},
	{"operators collide", func(w *World) {
		for range 3 {
			w.handOverNext()
		}
	}},
}

// handOverNext hands a new text over, on the newest revision that is known:
// mostly a whole one, at times a part, or one with a fault.
func (w *World) handOverNext() {
	w.variants++
	name := w.Primary()
	if name == "" || w.Random.Intn(8) == 0 {
		name = w.some(protocol.Controller)
	}
	base := w.operator.lastNumber
	if n := w.nodes[name]; n.up && !n.frozen {
		base = w.status(n).Revision
	}
	switch w.Random.Intn(8) {
	case 0:
		w.HandOver(name, base, w.Faulty(w.variants))
	case 1, 2:
		w.HandOverPart(name, base, w.Part(w.variants))
	default:
		w.HandOver(name, base, w.Variant(w.variants))
	}
}

// Move gives a daemon a new address; it must be down.
func (w *World) Move(name string) {
	n := w.nodes[name]
	delete(w.address, n.address)
	w.moves++
	n.address = fmt.Sprintf("%s:%d", name, 1+w.moves)
	w.address[n.address] = name
	n.seeds = nil
	for _, core := range w.names(protocol.Controller) {
		if core != name && len(n.seeds) < 3 {
			n.seeds = append(n.seeds, w.nodes[core].address)
		}
	}
	w.note("%s moves to %s", name, n.address)
}

// MendAll ends every fault that still runs.
func (w *World) MendAll() {
	w.Heal()
	for _, name := range w.names("") {
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
	for _, r := range w.Site.Runners {
		w.runners[r.Name].dark = false
		if listed := w.runners[r.Name]; !listed.up {
			w.StartRunner(r.Name)
		}
	}
}

// BackMs is how long a site may take to serve again after the last fault.
const BackMs = 12_000

// Campaign is a run of random faults, alone and together, with one last fault
// near its end. Then all is mended and the site must serve again in time.
func Campaign(text string, seed int64, count int) Result {
	w := New(text, seed)
	// Half of the runs do without the runners' own guard of revisions, so that
	// it does not hide what the routers do.
	w.careless = seed%2 == 1
	for _, r := range w.runners {
		r.stand.Careless = w.careless
	}
	w.Begin()
	for range count {
		w.bringAbout()
		if w.Random.Intn(3) == 0 {
			w.Run(w.Random.Int63n(300))
			w.bringAbout()
		}
		w.Run(500 + w.Random.Int63n(5000))
	}
	w.Run(10_000)
	w.bringAbout()
	w.Run(100)
	w.note("all is mended")
	w.MendAll()
	w.checkBack()
	w.StopSending()
	w.Run(4000)
	w.CheckDescriptions()
	return Result{w, w.Book.Breaches()}
}

func (w *World) bringAbout() {
	f := faults[w.Random.Intn(len(faults))]
	w.note("fault: %s", f.name)
	w.faults = append(w.faults, f.name)
	f.do(w)
}

// checkBack gives the site its time. By its end every service must have
// answered, also those that need models, and the small one must go on to.
func (w *World) checkBack() {
	before := map[string]int{}
	for _, s := range w.Site.Services {
		before[s.Name] = w.Answered(s.Name)
	}
	w.Run(BackMs)
	for _, s := range w.Site.Services {
		if w.Answered(s.Name) == before[s.Name] {
			w.Book.Unserved(w.events.NowMs(), s.Name)
		}
		before[s.Name] = w.Answered(s.Name)
	}
	w.Run(2000)
	if small := w.small(); w.Answered(small) == before[small] {
		w.Book.Unserved(w.events.NowMs(), small)
	}
}

// Faults lists what a run brought about.
func (w *World) Faults() []string { return w.faults }
