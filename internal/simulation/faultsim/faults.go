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
	name   string
	inject func(sim *Simulation)
}

// primary names the daemon that speaks for the site, if one does.
func (sim *Simulation) primary() *node {
	for _, name := range sim.nodeNames(protocol.RoleController) {
		n := sim.nodes[name]
		if !n.up || n.frozen {
			continue
		}
		out := n.machine.Step(n.clock(sim.NowMs()), controller.ReadStatus{})
		active := false
		for _, answer := range out.Responses {
			if said, is := answer.Body.(controller.Status); is {
				active = said.Active
			}
		}
		out.Responses = slices.DeleteFunc(out.Responses, func(a protocol.Response) bool { _, is := a.Body.(controller.Status); return is })
		sim.apply(n, out)
		if active {
			return n
		}
	}
	return nil
}

func (sim *Simulation) primaryOrRandom() *node {
	if p := sim.primary(); p != nil {
		return p
	}
	return sim.randomController()
}

// randomBackup is another core machine than the primary.
func (sim *Simulation) randomBackup() *node {
	p := sim.primaryOrRandom()
	for {
		if n := sim.randomController(); n != p {
			return n
		}
	}
}

// losable gives a core machine that the site must be able to lose now: a lost one
// counts until it has caught up.
func (sim *Simulation) losable(n *node) *node {
	lost := 0
	for _, name := range sim.nodeNames(protocol.RoleController) {
		lastMs, ever := sim.connectivity.disturbedMs[name]
		if sim.nodes[name] != n && (!sim.nodes[name].isHealthy() || ever && sim.NowMs()-lastMs < sim.Bounds.CatchUpMs) {
			lost++
		}
	}
	if lost >= sim.allowedLosses {
		return nil
	}
	if !n.up || n.frozen || n.removed {
		return nil
	}
	return n
}

// ifLosable does something to a core machine, unless another one is lost.
func (sim *Simulation) ifLosable(n *node, do func(n *node)) {
	if n = sim.losable(n); n == nil {
		sim.logf("no core machine may be lost now")
		return
	}
	do(n)
}

func (sim *Simulation) randomRouter() *node {
	names := sim.nodeNames(protocol.RoleRouter)
	return sim.nodes[names[sim.random.Intn(len(names))]]
}

// randomDelayMs is a time within a few seconds, for a fault's end.
func (sim *Simulation) randomDelayMs() int64 { return 300 + sim.random.Int63n(4000) }

func (sim *Simulation) killAndRestart(n *node, ms int64) {
	sim.kill(n)
	sim.after(ms, func() { sim.startNode(n, false) })
}

// disasters take everything at once; the site has its time to be back.
var disasters = []fault{
	{"all killed", func(sim *Simulation) { sim.killAll(nil) }},
	{"core killed", func(sim *Simulation) {
		for _, name := range sim.nodeNames(protocol.RoleController) {
			sim.killAndRestart(sim.nodes[name], 700+sim.random.Int63n(300))
		}
	}},
	{"all killed, one disk lost", func(sim *Simulation) {
		n := sim.randomController()
		if sim.losable(n) == nil {
			n = nil
		}
		sim.killAll(n)
	}},
}

func (sim *Simulation) killAll(wiped *node) {
	for _, name := range sim.nodeNames() {
		n := sim.nodes[name]
		sim.kill(n)
		if n == wiped {
			sim.wipeDisk(n)
		}
		sim.after(700+sim.random.Int63n(600), func() { sim.startNode(n, false) })
	}
}

// allExcept lists all names but one, those outside among them.
func (sim *Simulation) allExcept(but string) []string {
	names := append(sim.nodeNames(), "list", "operator")
	return slices.DeleteFunc(names, func(name string) bool { return name == but })
}

func (sim *Simulation) healAfter(ms int64) { sim.after(ms, sim.heal) }

var faults = []fault{
	{"primary killed", func(sim *Simulation) {
		sim.ifLosable(sim.primaryOrRandom(), func(n *node) { sim.killAndRestart(n, sim.randomDelayMs()) })
	}},
	{"backup killed", func(sim *Simulation) {
		sim.ifLosable(sim.randomBackup(), func(n *node) { sim.killAndRestart(n, sim.randomDelayMs()) })
	}},
	{"primary loses its disk", func(sim *Simulation) {
		sim.ifLosable(sim.primaryOrRandom(), func(n *node) {
			sim.kill(n)
			sim.wipeDisk(n)
			sim.after(sim.randomDelayMs(), func() { sim.startNode(n, false) })
		})
	}},
	{"backup loses its disk", func(sim *Simulation) {
		sim.ifLosable(sim.randomBackup(), func(n *node) {
			sim.kill(n)
			sim.wipeDisk(n)
			sim.after(sim.randomDelayMs(), func() { sim.startNode(n, false) })
		})
	}},
	{"primary loses its disk after an acknowledgement", func(sim *Simulation) {
		h := sim.submitConfig(sim.primaryOrRandom())
		for range 40 {
			if sim.Run(25); h.done {
				break
			}
		}
		sim.ifLosable(sim.primaryOrRandom(), func(n *node) {
			sim.kill(n)
			sim.wipeDisk(n)
			sim.after(sim.randomDelayMs(), func() { sim.startNode(n, false) })
		})
	}},
	{"core machine replaced", func(sim *Simulation) { sim.ifLosable(sim.randomController(), sim.replaceController) }},
	{"primary replaced", func(sim *Simulation) { sim.ifLosable(sim.primaryOrRandom(), sim.replaceController) }},
	{"primary frozen", func(sim *Simulation) {
		sim.ifLosable(sim.primaryOrRandom(), func(n *node) {
			sim.freeze(n)
			sim.after(sim.randomDelayMs()+sim.randomDelayMs(), func() { sim.thaw(n) })
		})
	}},
	{"backup frozen", func(sim *Simulation) {
		sim.ifLosable(sim.randomBackup(), func(n *node) { sim.freeze(n); sim.after(sim.randomDelayMs(), func() { sim.thaw(n) }) })
	}},
	{"core stopped in turn", func(sim *Simulation) {
		atMs := int64(0)
		for _, name := range sim.nodeNames(protocol.RoleController) {
			n := sim.nodes[name]
			sim.after(atMs, func() { sim.ifLosable(n, sim.stopGracefully) })
			atMs += sim.Bounds.CatchUpMs + 1500
		}
	}},
	{"disk stalls", func(sim *Simulation) {
		sim.ifLosable(sim.primaryOrRandom(), func(n *node) { sim.degradeDisk(n, func(d *disk) { d.stalled = true }) })
	}},
	{"disk slow", func(sim *Simulation) {
		sim.ifLosable(sim.randomController(), func(n *node) { sim.degradeDisk(n, func(d *disk) { d.slowMs = 50 + sim.random.Int63n(400) }) })
	}},
	{"disk full", func(sim *Simulation) {
		sim.ifLosable(sim.randomController(), func(n *node) { sim.degradeDisk(n, func(d *disk) { d.full = true }) })
	}},
	{"disk full, then another lost", func(sim *Simulation) {
		sim.ifLosable(sim.randomBackup(), func(n *node) {
			sim.degradeDisk(n, func(d *disk) { d.full = true })
			sim.submitConfig(sim.randomController())
			// The disk is well again and long enough so, then another goes.
			sim.after(4500+sim.Bounds.CatchUpMs+500, func() {
				sim.ifLosable(sim.primaryOrRandom(), func(n *node) { sim.killAndRestart(n, 12_000) })
			})
			sim.after(4500+sim.Bounds.CatchUpMs+5000, func() { sim.submitConfig(sim.randomController()) })
		})
	}},
	{"disk full, then another loses its disk", func(sim *Simulation) {
		sim.ifLosable(sim.randomBackup(), func(n *node) {
			sim.degradeDisk(n, func(d *disk) { d.full = true })
			sim.submitConfig(sim.randomController())
			sim.after(4500+sim.Bounds.CatchUpMs+500, func() {
				sim.ifLosable(sim.primaryOrRandom(), func(n *node) { sim.kill(n); sim.wipeDisk(n); sim.after(700, func() { sim.startNode(n, false) }) })
			})
			sim.after(4500+sim.Bounds.CatchUpMs+6000, func() { sim.submitConfig(sim.randomController()) })
		})
	}},
	{"new core machine dies as it is taken in, then another is replaced", func(sim *Simulation) {
		sim.ifLosable(sim.randomBackup(), func(gone *node) {
			sim.replaceController(gone)
			name := fmt.Sprintf("core-%d", sim.controllersMade)
			for range 4000 {
				sim.Run(1)
				if n := len(sim.trace); strings.Contains(sim.trace[n-1], name+" takes the place of witness") {
					break
				}
			}
			sim.killAndRestart(sim.nodes[name], 300)
			sim.after(sim.Bounds.CatchUpMs+1500, func() { sim.ifLosable(sim.primaryOrRandom(), sim.replaceController) })
			sim.after(sim.Bounds.CatchUpMs+7000, func() { sim.submitConfig(sim.randomController()) })
		})
	}},
	{"router killed", func(sim *Simulation) { sim.killAndRestart(sim.randomRouter(), sim.randomDelayMs()) }},
	{"all routers killed", func(sim *Simulation) {
		for _, name := range sim.nodeNames(protocol.RoleRouter) {
			sim.killAndRestart(sim.nodes[name], 500+sim.random.Int63n(700))
		}
	}},
	{"router frozen", func(sim *Simulation) {
		n := sim.randomRouter()
		sim.freeze(n)
		sim.after(sim.randomDelayMs(), func() { sim.thaw(n) })
	}},
	{"routers stopped in turn", func(sim *Simulation) {
		for i, name := range sim.nodeNames(protocol.RoleRouter) {
			sim.after(int64(i)*9000, func() { sim.stopGracefully(sim.nodes[name]) })
		}
	}},
	{"primary cut off", func(sim *Simulation) {
		sim.ifLosable(sim.primaryOrRandom(), func(n *node) {
			sim.cut([]string{n.name}, sim.allExcept(n.name), false)
			sim.healAfter(sim.randomDelayMs())
		})
	}},
	{"primary heard by nobody", func(sim *Simulation) {
		sim.ifLosable(sim.primaryOrRandom(), func(n *node) {
			sim.cut([]string{n.name}, sim.allExcept(n.name), true)
			sim.healAfter(sim.randomDelayMs())
		})
	}},
	{"primary hears nobody", func(sim *Simulation) {
		sim.ifLosable(sim.primaryOrRandom(), func(n *node) {
			sim.cut(sim.allExcept(n.name), []string{n.name}, true)
			sim.healAfter(sim.randomDelayMs())
		})
	}},
	{"core in pieces", func(sim *Simulation) {
		sim.cut(sim.nodeNames(protocol.RoleController), sim.nodeNames(protocol.RoleController), false)
		sim.healAfter(sim.randomDelayMs())
	}},
	{"core cut off from routers", func(sim *Simulation) {
		sim.cut(sim.nodeNames(protocol.RoleController), sim.nodeNames(protocol.RoleRouter), sim.random.Intn(2) == 0)
		sim.healAfter(sim.randomDelayMs() + sim.randomDelayMs())
	}},
	{"router cut off", func(sim *Simulation) {
		sim.cut([]string{sim.randomRouter().name}, sim.nodeNames(protocol.RoleController), sim.random.Intn(2) == 0)
		sim.healAfter(sim.randomDelayMs() + sim.randomDelayMs())
	}},
	{"router cut off from runners", func(sim *Simulation) {
		var addresses []string
		for _, r := range sim.fleet.activeRunners("") {
			if sim.random.Intn(2) == 0 {
				addresses = append(addresses, r.entry.Address)
			}
		}
		sim.cut([]string{sim.randomRouter().name}, addresses, false)
		sim.healAfter(sim.randomDelayMs())
	}},
	{"messages lost", func(sim *Simulation) {
		sim.lossShare = 0.1 + 0.2*sim.random.Float64()
		sim.healAfter(sim.randomDelayMs())
	}},
	{"messages doubled", func(sim *Simulation) { sim.duplicateShare = 0.3; sim.healAfter(sim.randomDelayMs()) }},
	{"messages late", func(sim *Simulation) { sim.delayShare, sim.maxDelayMs = 0.3, 1500; sim.healAfter(sim.randomDelayMs()) }},
	{"list away", func(sim *Simulation) {
		sim.listDown = true
		sim.after(sim.randomDelayMs(), func() { sim.listDown = false })
	}},
	{"map replaced", func(sim *Simulation) { sim.submitConfig(sim.randomController()) }},
	{"map changed", func(sim *Simulation) { sim.submitChange(sim.randomController()) }},
	{"maps in quick succession", func(sim *Simulation) {
		for i := range 12 {
			sim.after(int64(i)*300, func() { sim.submitChange(sim.randomController()) })
		}
	}},
	{"two operators at once", func(sim *Simulation) {
		sim.submitConfig(sim.randomController())
		sim.after(sim.random.Int63n(30), func() { sim.submitChange(sim.randomController()) })
	}},
	{"map with faults", func(sim *Simulation) { sim.submitInvalidConfig(sim.randomController()) }},
	{"map sent again", func(sim *Simulation) {
		h := sim.submitChange(sim.randomController())
		for i := range 4 {
			sim.after(int64(i)*700+sim.random.Int63n(600), func() {
				if h.done && sim.Checker.acceptedMs[h.version] > 0 {
					again := *h
					again.done, again.mustBeAccepted, again.sentMs = false, false, sim.NowMs()
					sim.callController(sim.randomController(), &again)
				}
			})
		}
	}},
	{"runner leaves", func(sim *Simulation) { sim.replaceRunner(sim.randomRunner(""), false) }},
	{"runner taken away", func(sim *Simulation) { sim.replaceRunner(sim.randomRunner(""), true) }},
	{"runners leave for good", func(sim *Simulation) {
		for _, service := range []string{modelService, plainService} {
			if len(sim.fleet.activeRunners(service)) > 3 {
				sim.drainRunner(sim.randomRunner(service), false)
			}
		}
	}},
	{"runner crashes", func(sim *Simulation) { sim.crashRunner(sim.randomRunner(""), true) }},
	{"runner loses power", func(sim *Simulation) { sim.crashRunner(sim.randomRunner(""), false) }},
	{"runner goes dark", func(sim *Simulation) {
		if r := sim.randomRunner(""); r != nil {
			r.silent = true
			sim.after(sim.randomDelayMs(), func() { sim.crashRunner(r, false) })
		}
	}},
	{"release", func(sim *Simulation) {
		service := []string{plainService, otherService, modelService}[sim.random.Intn(3)]
		for i, r := range sim.fleet.activeRunners(service) {
			sim.after(int64(i)*1500, func() { sim.replaceRunner(r, false) })
		}
	}},
	{"answers lost", func(sim *Simulation) {
		sim.fleet.lostAnswerShare = 0.1
		sim.after(sim.randomDelayMs(), func() { sim.fleet.lostAnswerShare = 0 })
	}},
	{"runners fail", func(sim *Simulation) {
		sim.fleet.errorShare = 0.3
		sim.after(sim.randomDelayMs(), func() { sim.fleet.errorShare = 0 })
	}},
	{"runners reset", func(sim *Simulation) {
		sim.fleet.resetShare = 0.4
		sim.after(sim.randomDelayMs(), func() { sim.fleet.resetShare = 0 })
	}},
	{"demand moves", func(sim *Simulation) { sim.clients.popularModel = sim.random.Intn(modelCount) }},
	{"crowd for rare models", func(sim *Simulation) {
		sim.clients.wantRareModels, sim.clients.intervalMs = true, 10
		sim.after(sim.randomDelayMs(), func() { sim.clients.wantRareModels, sim.clients.intervalMs = false, 25 })
	}},
}

// degradeDisk spoils a disk for some seconds. A process whose write failed begins anew
// from it by itself.
func (sim *Simulation) degradeDisk(n *node, spoil func(d *disk)) {
	sim.logf("the disk of %s is in trouble", n.name)
	spoil(n.disk)
	sim.connectivity.disturb(n)
	sim.after(sim.randomDelayMs(), func() {
		sim.logf("the disk of %s is well again", n.name)
		sim.connectivity.disturb(n)
		n.disk.full, n.disk.stalled, n.disk.slowMs = false, false, 0
	})
}

// replaceController brings an empty machine at a new address in place of another,
// and tells all of the new seeds.
func (sim *Simulation) replaceController(gone *node) {
	sim.kill(gone)
	gone.removed = true
	sim.controllersMade++
	n := sim.addNode(fmt.Sprintf("core-%d", sim.controllersMade), fmt.Sprintf("10.0.0.%d", sim.controllersMade), gone.zone, protocol.RoleController)
	sim.logf("%s takes the place of %s", n.name, gone.name)
	sim.after(sim.random.Int63n(1500), func() {
		// The seeds are exchanged for the newest machines.
		sim.seeds = nil
		names := sim.nodeNames(protocol.RoleController)
		slices.SortFunc(names, func(a, b string) int { return len(b)*1000 + int(b[len(b)-1]) - len(a)*1000 - int(a[len(a)-1]) })
		for _, name := range names[:3] {
			sim.seeds = append(sim.seeds, sim.nodes[name].address+":7")
		}
		sim.startNode(n, false)
		for _, name := range sim.nodeNames() {
			to := sim.nodes[name]
			if to == n {
				continue
			}
			if to.isController() {
				sim.deliver(to, to.incarnation, consensus.SetSeeds{Seeds: slices.Clone(sim.seeds)})
			} else {
				sim.deliver(to, to.incarnation, proxy.SetSeeds{Seeds: slices.Clone(sim.seeds)})
			}
		}
	})
}
