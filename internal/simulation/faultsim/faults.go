package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// fault is something that a drill brings about. What it begins, it ends.
type fault struct {
	name string
	do   func(w *World)
}

// primary names the daemon that speaks for the site, if one does.
func (w *World) primary() *node {
	for _, name := range w.names(protocol.Controller) {
		n := w.nodes[name]
		if !n.up || n.frozen {
			continue
		}
		out := n.machine.Step(n.clock(w.NowMs()), controller.Look{})
		active := false
		for _, answer := range out.Answers {
			if said, is := answer.Body.(controller.Status); is {
				active = said.Active
			}
		}
		out.Answers = slices.DeleteFunc(out.Answers, func(a protocol.Answer) bool { _, is := a.Body.(controller.Status); return is })
		w.perform(n, out)
		if active {
			return n
		}
	}
	return nil
}

func (w *World) primaryOrSome() *node {
	if p := w.primary(); p != nil {
		return p
	}
	return w.someCore()
}

// backup is another core machine than the primary.
func (w *World) backup() *node {
	p := w.primaryOrSome()
	for {
		if n := w.someCore(); n != p {
			return n
		}
	}
}

// maybe gives a core machine that the site must be able to lose now: a lost one
// counts until it has caught up.
func (w *World) maybe(n *node) *node {
	lost := 0
	for _, name := range w.names(protocol.Controller) {
		lastMs, ever := w.touch.nodes[name]
		if w.nodes[name] != n && (!w.nodes[name].well() || ever && w.NowMs()-lastMs < w.Bounds.CatchUpMs) {
			lost++
		}
	}
	if lost >= w.losses {
		return nil
	}
	if !n.up || n.frozen || n.removed {
		return nil
	}
	return n
}

// lose does something to a core machine, unless another one is lost.
func (w *World) lose(n *node, do func(n *node)) {
	if n = w.maybe(n); n == nil {
		w.note("no core machine may be lost now")
		return
	}
	do(n)
}

func (w *World) someRouter() *node {
	names := w.names(protocol.Router)
	return w.nodes[names[w.random.Intn(len(names))]]
}

// soon is a time within a few seconds, for a fault's end.
func (w *World) soon() int64 { return 300 + w.random.Int63n(4000) }

func (w *World) killFor(n *node, ms int64) {
	w.kill(n)
	w.after(ms, func() { w.start(n, false) })
}

// disasters take everything at once; the site has its time to be back.
var disasters = []fault{
	{"all killed", func(w *World) { w.killAll(nil) }},
	{"core killed", func(w *World) {
		for _, name := range w.names(protocol.Controller) {
			w.killFor(w.nodes[name], 700+w.random.Int63n(300))
		}
	}},
	{"all killed, one disk lost", func(w *World) {
		n := w.someCore()
		if w.maybe(n) == nil {
			n = nil
		}
		w.killAll(n)
	}},
}

func (w *World) killAll(wiped *node) {
	for _, name := range w.names() {
		n := w.nodes[name]
		w.kill(n)
		if n == wiped {
			w.wipe(n)
		}
		w.after(700+w.random.Int63n(600), func() { w.start(n, false) })
	}
}

// others lists all names but one, those outside among them.
func (w *World) others(but string) []string {
	names := append(w.names(), "list", "operator")
	return slices.DeleteFunc(names, func(name string) bool { return name == but })
}

func (w *World) healAfter(ms int64) { w.after(ms, w.heal) }

var faults = []fault{
	{"primary killed", func(w *World) { w.lose(w.primaryOrSome(), func(n *node) { w.killFor(n, w.soon()) }) }},
	{"backup killed", func(w *World) { w.lose(w.backup(), func(n *node) { w.killFor(n, w.soon()) }) }},
	{"primary loses its disk", func(w *World) {
		w.lose(w.primaryOrSome(), func(n *node) { w.kill(n); w.wipe(n); w.after(w.soon(), func() { w.start(n, false) }) })
	}},
	{"backup loses its disk", func(w *World) {
		w.lose(w.backup(), func(n *node) { w.kill(n); w.wipe(n); w.after(w.soon(), func() { w.start(n, false) }) })
	}},
	{"primary loses its disk after an acknowledgement", func(w *World) {
		h := w.replaceMap(w.primaryOrSome())
		for range 40 {
			if w.Run(25); h.done {
				break
			}
		}
		w.lose(w.primaryOrSome(), func(n *node) { w.kill(n); w.wipe(n); w.after(w.soon(), func() { w.start(n, false) }) })
	}},
	{"core machine replaced", func(w *World) { w.lose(w.someCore(), w.replaceCore) }},
	{"primary replaced", func(w *World) { w.lose(w.primaryOrSome(), w.replaceCore) }},
	{"primary frozen", func(w *World) {
		w.lose(w.primaryOrSome(), func(n *node) { w.freeze(n); w.after(w.soon()+w.soon(), func() { w.thaw(n) }) })
	}},
	{"backup frozen", func(w *World) {
		w.lose(w.backup(), func(n *node) { w.freeze(n); w.after(w.soon(), func() { w.thaw(n) }) })
	}},
	{"core stopped in turn", func(w *World) {
		atMs := int64(0)
		for _, name := range w.names(protocol.Controller) {
			n := w.nodes[name]
			w.after(atMs, func() { w.lose(n, w.leave) })
			atMs += w.Bounds.CatchUpMs + 1500
		}
	}},
	{"disk stalls", func(w *World) {
		w.lose(w.primaryOrSome(), func(n *node) { w.disk(n, func(d *simDisk) { d.stalled = true }) })
	}},
	{"disk slow", func(w *World) {
		w.lose(w.someCore(), func(n *node) { w.disk(n, func(d *simDisk) { d.slowMs = 50 + w.random.Int63n(400) }) })
	}},
	{"disk full", func(w *World) {
		w.lose(w.someCore(), func(n *node) { w.disk(n, func(d *simDisk) { d.full = true }) })
	}},
	{"disk full, then another lost", func(w *World) {
		w.lose(w.backup(), func(n *node) {
			w.disk(n, func(d *simDisk) { d.full = true })
			w.replaceMap(w.someCore())
			// The disk is well again and long enough so, then another goes.
			w.after(4500+w.Bounds.CatchUpMs+500, func() {
				w.lose(w.primaryOrSome(), func(n *node) { w.killFor(n, 12_000) })
			})
			w.after(4500+w.Bounds.CatchUpMs+5000, func() { w.replaceMap(w.someCore()) })
		})
	}},
	{"disk full, then another loses its disk", func(w *World) {
		w.lose(w.backup(), func(n *node) {
			w.disk(n, func(d *simDisk) { d.full = true })
			w.replaceMap(w.someCore())
			w.after(4500+w.Bounds.CatchUpMs+500, func() {
				w.lose(w.primaryOrSome(), func(n *node) { w.kill(n); w.wipe(n); w.after(700, func() { w.start(n, false) }) })
			})
			w.after(4500+w.Bounds.CatchUpMs+6000, func() { w.replaceMap(w.someCore()) })
		})
	}},
	{"new core machine dies as it is taken in, then another is replaced", func(w *World) {
		w.lose(w.backup(), func(gone *node) {
			w.replaceCore(gone)
			name := fmt.Sprintf("core-%d", w.machines)
			for range 4000 {
				w.Run(1)
				if n := len(w.trace); strings.Contains(w.trace[n-1], name+" takes the place of witness") {
					break
				}
			}
			w.killFor(w.nodes[name], 300)
			w.after(w.Bounds.CatchUpMs+1500, func() { w.lose(w.primaryOrSome(), w.replaceCore) })
			w.after(w.Bounds.CatchUpMs+7000, func() { w.replaceMap(w.someCore()) })
		})
	}},
	{"router killed", func(w *World) { w.killFor(w.someRouter(), w.soon()) }},
	{"all routers killed", func(w *World) {
		for _, name := range w.names(protocol.Router) {
			w.killFor(w.nodes[name], 500+w.random.Int63n(700))
		}
	}},
	{"router frozen", func(w *World) {
		n := w.someRouter()
		w.freeze(n)
		w.after(w.soon(), func() { w.thaw(n) })
	}},
	{"routers stopped in turn", func(w *World) {
		for i, name := range w.names(protocol.Router) {
			w.after(int64(i)*9000, func() { w.leave(w.nodes[name]) })
		}
	}},
	{"primary cut off", func(w *World) {
		w.lose(w.primaryOrSome(), func(n *node) { w.cut([]string{n.name}, w.others(n.name), false); w.healAfter(w.soon()) })
	}},
	{"primary heard by nobody", func(w *World) {
		w.lose(w.primaryOrSome(), func(n *node) { w.cut([]string{n.name}, w.others(n.name), true); w.healAfter(w.soon()) })
	}},
	{"primary hears nobody", func(w *World) {
		w.lose(w.primaryOrSome(), func(n *node) { w.cut(w.others(n.name), []string{n.name}, true); w.healAfter(w.soon()) })
	}},
	{"core in pieces", func(w *World) {
		w.cut(w.names(protocol.Controller), w.names(protocol.Controller), false)
		w.healAfter(w.soon())
	}},
	{"core cut off from routers", func(w *World) {
		w.cut(w.names(protocol.Controller), w.names(protocol.Router), w.random.Intn(2) == 0)
		w.healAfter(w.soon() + w.soon())
	}},
	{"router cut off", func(w *World) {
		w.cut([]string{w.someRouter().name}, w.names(protocol.Controller), w.random.Intn(2) == 0)
		w.healAfter(w.soon() + w.soon())
	}},
	{"router cut off from runners", func(w *World) {
		var addresses []string
		for _, r := range w.fleet.living("") {
			if w.random.Intn(2) == 0 {
				addresses = append(addresses, r.entry.Address)
			}
		}
		w.cut([]string{w.someRouter().name}, addresses, false)
		w.healAfter(w.soon())
	}},
	{"messages lost", func(w *World) { w.lossPart = 0.1 + 0.2*w.random.Float64(); w.healAfter(w.soon()) }},
	{"messages doubled", func(w *World) { w.twicePart = 0.3; w.healAfter(w.soon()) }},
	{"messages late", func(w *World) { w.latePart, w.lateMs = 0.3, 1500; w.healAfter(w.soon()) }},
	{"list away", func(w *World) {
		w.listDown = true
		w.after(w.soon(), func() { w.listDown = false })
	}},
	{"map replaced", func(w *World) { w.replaceMap(w.someCore()) }},
	{"map changed", func(w *World) { w.changeMap(w.someCore()) }},
	{"maps in quick succession", func(w *World) {
		for i := range 12 {
			w.after(int64(i)*300, func() { w.changeMap(w.someCore()) })
		}
	}},
	{"two operators at once", func(w *World) {
		w.replaceMap(w.someCore())
		w.after(w.random.Int63n(30), func() { w.changeMap(w.someCore()) })
	}},
	{"map with faults", func(w *World) { w.faultyMap(w.someCore()) }},
	{"map sent again", func(w *World) {
		h := w.changeMap(w.someCore())
		for i := range 4 {
			w.after(int64(i)*700+w.random.Int63n(600), func() {
				if h.done && w.Book.accepted[h.version] > 0 {
					again := *h
					again.done, again.proper, again.sentMs = false, false, w.NowMs()
					w.callCore(w.someCore(), &again)
				}
			})
		}
	}},
	{"runner leaves", func(w *World) { w.replace(w.someRunner(""), false) }},
	{"runner taken away", func(w *World) { w.replace(w.someRunner(""), true) }},
	{"runners leave for good", func(w *World) {
		for _, service := range []string{llm, plain} {
			if len(w.fleet.living(service)) > 3 {
				w.leaveRunner(w.someRunner(service), false)
			}
		}
	}},
	{"runner crashes", func(w *World) { w.crash(w.someRunner(""), true) }},
	{"runner loses power", func(w *World) { w.crash(w.someRunner(""), false) }},
	{"runner goes dark", func(w *World) {
		if r := w.someRunner(""); r != nil {
			r.silent = true
			w.after(w.soon(), func() { w.crash(r, false) })
		}
	}},
	{"release", func(w *World) {
		service := []string{plain, other, llm}[w.random.Intn(3)]
		for i, r := range w.fleet.living(service) {
			w.after(int64(i)*1500, func() { w.replace(r, false) })
		}
	}},
	{"answers lost", func(w *World) { w.fleet.deafPart = 0.1; w.after(w.soon(), func() { w.fleet.deafPart = 0 }) }},
	{"runners fail", func(w *World) { w.fleet.failPart = 0.3; w.after(w.soon(), func() { w.fleet.failPart = 0 }) }},
	{"runners reset", func(w *World) { w.fleet.resetPart = 0.4; w.after(w.soon(), func() { w.fleet.resetPart = 0 }) }},
	{"demand moves", func(w *World) { w.clients.favour = w.random.Intn(models) }},
	{"crowd for rare models", func(w *World) {
		w.clients.rare, w.clients.eachMs = true, 10
		w.after(w.soon(), func() { w.clients.rare, w.clients.eachMs = false, 25 })
	}},
}

// disk spoils a disk for some seconds. A process whose write failed begins anew
// from it by itself.
func (w *World) disk(n *node, spoil func(d *simDisk)) {
	w.note("the disk of %s is in trouble", n.name)
	spoil(n.disk)
	w.touch.upset(n)
	w.after(w.soon(), func() {
		w.note("the disk of %s is well again", n.name)
		w.touch.upset(n)
		n.disk.full, n.disk.stalled, n.disk.slowMs = false, false, 0
	})
}

// replaceCore brings an empty machine at a new address in place of another,
// and tells all of the new seeds.
func (w *World) replaceCore(gone *node) {
	w.kill(gone)
	gone.removed = true
	w.machines++
	n := w.addNode(fmt.Sprintf("core-%d", w.machines), fmt.Sprintf("10.0.0.%d", w.machines), gone.zone, protocol.Controller)
	w.note("%s takes the place of %s", n.name, gone.name)
	w.after(w.random.Int63n(1500), func() {
		// The seeds are exchanged for the newest machines.
		w.seeds = nil
		names := w.names(protocol.Controller)
		slices.SortFunc(names, func(a, b string) int { return len(b)*1000 + int(b[len(b)-1]) - len(a)*1000 - int(a[len(a)-1]) })
		for _, name := range names[:3] {
			w.seeds = append(w.seeds, w.nodes[name].address+":7")
		}
		w.start(n, false)
		for _, name := range w.names() {
			to := w.nodes[name]
			if to == n {
				continue
			}
			if to.core() {
				w.put(to, to.life, consensus.Reseed{Seeds: slices.Clone(w.seeds)})
			} else {
				w.put(to, to.life, proxy.Reseed{Seeds: slices.Clone(w.seeds)})
			}
		}
	})
}
