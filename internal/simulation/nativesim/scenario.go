package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/invariants"
)

// Scenario is a failure that is brought about on a serving site.
type Scenario struct {
	About string
	// Inject brings it about; the site serves, and goes on for RunMs after it.
	Inject func(w *World)
	RunMs  int64
}

// warmUpMs is how long a founded site is given before its first failure.
const warmUpMs = 12_000

// Result is what a run showed.
type Result struct {
	World      *World
	Violations []invariants.Violation
}

// Begin founds a world's site, hands the description over and begins sending.
func (w *World) Begin() {
	w.Run(2000)
	w.Bootstrap()
	w.Run(2000)
	w.SubmitDescription(w.Primary(), 0, w.DescriptionText)
	w.Run(2000)
	w.StartClients()
	w.StartProbes()
	w.Run(warmUpMs)
}

// Play runs a scenario on a site with a seed and checks the rules.
func Play(text string, seed int64, s Scenario) Result {
	w := New(text, seed)
	return w.Play(s)
}

// Play runs a scenario on this world.
func (w *World) Play(s Scenario) Result {
	w.Begin()
	s.Inject(w)
	w.Run(s.RunMs)
	w.StopClients()
	w.CheckDescriptions()
	return Result{w, w.Checker.Violations()}
}

// Report says what broke, and how to see it again.
func (r Result) Report() string {
	var lines []string
	for _, breach := range r.Violations {
		lines = append(lines, breach.String())
	}
	return fmt.Sprintf("seed %d\n%s\n%s", r.World.Seed, strings.Join(lines, "\n"), r.World.Trace())
}

func (w *World) others(names ...string) []string {
	var out []string
	for _, name := range append(w.nodeNames(""), "platform", "operator", "senders") {
		skip := false
		for _, n := range names {
			skip = skip || n == name
		}
		if !skip {
			out = append(out, name)
		}
	}
	return out
}

func (w *World) backup() string {
	if w.Primary() == "" {
		return ""
	}
	peer, _ := w.status(w.nodes[w.Primary()]).Record.OtherReplica(w.Primary())
	return peer.Name
}

// checkAccepted looks whether a revision that could be taken was.
func (w *World) checkAccepted(number uint64) {
	if w.operator.newestAccepted < number {
		w.Checker.DescriptionLost(w.events.NowMs(), fmt.Sprintf("revision %d could be taken and was not: %v", number, w.operator.outcomes))
	}
}

// checkRetired looks whether the old daemon retired and the new one did not.
func (w *World) checkRetired(old, fresh string) {
	if !w.retired(old) || w.retired(fresh) {
		w.Checker.DescriptionLost(w.events.NowMs(), fmt.Sprintf("%s retired: %v, %s retired: %v", old, w.retired(old), fresh, w.retired(fresh)))
	}
}

func (w *World) retired(name string) bool {
	n := w.nodes[name]
	if n.role == protocol.RoleController {
		return w.status(n).Retired
	}
	for _, answer := range n.machine.Step(n.clock(w.events.NowMs()), router.StatusQuery{ID: 1}).Responses {
		if status, ok := answer.Body.(router.Status); ok {
			return status.Retired
		}
	}
	return false
}

// Scenarios are the first ones; each is played with many seeds.
var Scenarios = map[string]Scenario{
	"quiet": {"nothing fails", func(*World) {}, 10_000},
	"rare models for two minutes": {"all models are asked for alike", func(w *World) {
		w.clients.uniformModels = true
		w.Run(120_000)
	}, 1000},
	"primary killed while a description is being accepted": {
		"the outcome is one of in force and not, and never both", func(w *World) {
			p := w.Primary()
			w.SubmitDescription(p, 1, w.Variant(1))
			w.Run(w.Random.Int63n(40))
			w.Kill(p)
			w.Run(4000)
			w.Start(p)
		}, 20_000},
	"primary loses its disk right after": {"an accepted description outlives the primary's disk", func(w *World) {
		p := w.Primary()
		w.SubmitDescription(p, 1, w.Variant(1))
		w.Run(300 + w.Random.Int63n(500))
		w.Kill(p)
		w.Wipe(p)
		w.Run(2000)
		w.Start(p)
	}, 20_000},
	"backup loses its disk right after": {"an accepted description outlives the backup's disk", func(w *World) {
		b := w.backup()
		w.SubmitDescription(w.Primary(), 1, w.Variant(1))
		w.Run(300 + w.Random.Int63n(500))
		w.Kill(b)
		w.Wipe(b)
		w.Run(1000)
		w.Start(b)
	}, 20_000},
	"frozen primary wakes": {"a primary that was replaced while it slept gives no order and accepts nothing", func(w *World) {
		p := w.Primary()
		w.Freeze(p)
		w.Run(3000 + w.Random.Int63n(4000))
		w.SubmitDescription(p, 1, w.Variant(1))
		w.Thaw(p)
	}, 20_000},
	"core cut off from routers for long": {"routers go on by a majority of themselves", func(w *World) {
		w.Cut(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter), false)
		w.SubmitDescription(w.Primary(), 1, w.Variant(1))
		w.Run(40_000)
		w.Heal()
	}, 15_000},
	"some routers cut off while descriptions come": {"those cut off stop in time", func(w *World) {
		names := w.nodeNames(protocol.RoleRouter)
		w.Cut(w.nodeNames(protocol.RoleController), names[:2], false)
		w.Run(w.Random.Int63n(3000))
		for range 3 {
			w.submitNext()
			w.Run(w.Random.Int63n(9000))
		}
		w.Kill(names[len(names)-1])
		w.Start(names[len(names)-1])
		w.submitNext()
	}, 20_000},
	"orders on the way when holders change": {"orders arrive seconds after their holder died", func(w *World) {
		w.clients.uniformModels = true
		for range 4 {
			w.links.DelayRate, w.links.MaxDelayMs = 0.5, 9000
			w.Run(3000 + w.Random.Int63n(2000))
			p := w.Primary()
			w.links.DelayRate = 0
			if p != "" {
				w.Kill(p)
			}
			w.Run(9000)
			if p != "" {
				w.Start(p)
			}
			w.Run(6000)
		}
	}, 5000},
	"a core machine stays away, then another goes": {"where there is a fourth, the site outlives the second loss", func(w *World) {
		names := w.nodeNames(protocol.RoleController)
		gone := names[w.Random.Intn(3)]
		w.Kill(gone)
		w.Run(45_000)
		if len(names) > 3 {
			p := w.Primary()
			w.Kill(p)
			w.Run(6000)
			w.SubmitDescription(w.Primary(), 1, w.Variant(1))
			w.Run(9000)
			w.checkAccepted(2)
			w.Run(30_000)
			// The first comes back as it was, beside its successor.
			w.Start(gone)
			w.Run(3000)
			w.Kill(w.Primary())
			w.Run(6000)
			w.Start(p)
		} else {
			w.Start(gone)
		}
		w.checkRecovery()
	}, 1000},
	"an old core machine wakes beside its replacement": {"the old one retires for good and disturbs nobody", func(w *World) {
		name := w.nodeNames(protocol.RoleController)[w.Random.Intn(3)]
		ghost := w.StartReplacement(name)
		w.Run(3000 + w.Random.Int63n(8000))
		w.Thaw(ghost)
		w.Run(4000)
		w.checkRetired(ghost, name)
		w.SubmitDescription(w.Primary(), 1, w.Variant(1))
		w.Run(9000)
		w.checkAccepted(2)
		// It stays retired, also when it is started again.
		w.Kill(ghost)
		w.Start(ghost)
		w.Run(3000)
		w.checkRetired(ghost, name)
	}, 3000},
	"an old router wakes beside its replacement": {"one of the two goes on; no description slips", func(w *World) {
		name := w.randomNode(protocol.RoleRouter)
		ghost := w.StartReplacement(name)
		w.Run(500 + w.Random.Int63n(4000))
		w.SubmitDescription(w.Primary(), 1, w.Variant(1))
		w.Run(w.Random.Int63n(3000))
		w.Thaw(ghost)
		w.Run(6000)
		w.checkRetired(ghost, name)
		w.SubmitDescription(w.Primary(), 2, w.Variant(2))
		w.Run(9000)
		w.checkAccepted(3)
	}, 3000},
	"a description shrinks rooms and pace": {"less than is in use, while all models are asked for", func(w *World) {
		w.clients.uniformModels = true
		w.Run(8000)
		small := strings.ReplaceAll(w.Variant(1), `"room": 96`, `"room": 70`)
		pace := fmt.Sprintf(`"loadsPer10s": %d`, w.Description.Store.LoadsPer10s)
		w.SubmitDescription(w.Primary(), 1, strings.Replace(small, pace, `"loadsPer10s": 4`, 1))
		w.Run(30_000)
		w.checkAccepted(2)
		p := w.Primary()
		w.Kill(p)
		w.Run(12_000)
		w.Start(p)
	}, 10_000},
	"core cut in two": {"at most one side goes on", func(w *World) {
		p := w.Primary()
		w.Cut([]string{p}, w.others(p, "operator", "senders"), false)
		w.SubmitDescription(p, 1, w.Variant(1))
		w.Run(8000)
		w.Heal()
	}, 20_000},
	"primary cut off one way": {"it hears all and reaches none", func(w *World) {
		p := w.Primary()
		w.Cut([]string{p}, w.others(p), true)
		w.Run(6000)
		w.Heal()
	}, 20_000},
	"a spare alone misses the primary": {"one bad view starts no take-over", func(w *World) {
		p, b := w.Primary(), w.backup()
		w.Cut([]string{p}, []string{b}, false)
		w.Run(8000)
		w.Heal()
	}, 15_000},
	"runner crashes in a telling": {"the telling breaks off and does not look finished", func(w *World) {
		w.CrashRunner("language-1")
		w.CrashRunner("language-2")
		w.Run(3000)
		w.StartRunner("language-1")
		w.StartRunner("language-2")
	}, 20_000},
	"runner goes dark": {"what it took ends as unknown", func(w *World) {
		w.BlackholeRunner("language-1", true)
		w.Run(10_000)
		w.BlackholeRunner("language-1", false)
	}, 10_000},
	"runner marked leaving while requests are held": {"nothing reaches it once its time is up", func(w *World) {
		w.Burst(w.Description.Services[0].Name, 60)
		w.MarkLeaving("language-1")
		w.MarkLeaving("language-3")
		w.Run(8000)
		w.CrashRunner("language-1")
		w.StartRunner("language-1")
	}, 15_000},
	"runner replaced and marked leaving at once": {"old entries do not lead to the leaver", func(w *World) {
		for _, name := range []string{"language-1", "language-2", "language-3"} {
			w.CrashRunner(name)
			w.StartRunner(name)
			w.Run(300)
			w.MarkLeaving(name)
		}
	}, 8000},
	"leaving while the primary is dead and routers freeze": {"a router that wakes does not send to a leaver", func(w *World) {
		w.Kill(w.Primary())
		w.Run(500)
		for i, name := range w.nodeNames(protocol.RoleRouter) {
			if i%2 == 0 {
				w.Freeze(name)
			}
		}
		w.MarkLeaving("language-1")
		w.Run(5000)
		for _, name := range w.nodeNames(protocol.RoleRouter) {
			w.Thaw(name)
		}
	}, 15_000},
	"total loss": {"all daemons are killed and started", func(w *World) {
		names := w.nodeNames("")
		for _, name := range names {
			w.Kill(name)
		}
		w.Run(1000)
		for _, name := range names {
			w.Start(name)
		}
	}, 25_000},
	"all seed machines swapped, then all lost": {"each comes back empty at a new address; routers' seeds lead nowhere", func(w *World) {
		for _, name := range w.nodeNames(protocol.RoleController)[:3] {
			w.Kill(name)
			w.Wipe(name)
			w.Move(name)
			w.Run(2000)
			w.Start(name)
			w.Run(8000)
		}
		for _, name := range w.nodeNames("") {
			w.Kill(name)
		}
		for _, name := range w.nodeNames("") {
			w.Start(name)
		}
		w.checkRecovery()
	}, 1000},
	"core machines wiped one after the other": {"the description outlives every disk it was first on", func(w *World) {
		w.SubmitDescription(w.Primary(), 1, w.Variant(1))
		w.Run(1000)
		for range 2 {
			for _, name := range w.nodeNames(protocol.RoleController) {
				w.Kill(name)
				w.Wipe(name)
				w.Run(500)
				w.Start(name)
				w.Run(8000)
			}
		}
	}, 5000},
	"descriptions large and many": {"close to the bound in size, one after the other", func(w *World) {
		for i := range 4 {
			w.SubmitDescription(w.Primary(), uint64(1+i), w.DescriptionText+strings.Repeat(" ", 1_000_000+i))
			w.Run(1000)
		}
	}, 5000},
	"runners forget what they hold": {"the ledger follows what they report", func(w *World) {
		for range 5 {
			name := w.randomRunner()
			w.tracef("%s forgets %d things", name, len(w.runners[name].backend.Report(w.events.NowMs()).Held))
			w.runners[name].backend.UnloadAll()
			w.Run(3000)
		}
	}, 10_000},
	"operators race": {"of two descriptions with one base one wins", func(w *World) {
		p := w.Primary()
		w.SubmitDescription(p, 1, w.Variant(1))
		w.SubmitDescription(p, 1, w.Variant(2))
		w.SubmitDescription(w.backup(), 1, w.Variant(3))
	}, 10_000},
	"disk full at the primary": {"it steps down, and the next goes on", func(w *World) {
		p := w.Primary()
		w.nodes[p].disk.full = true
		w.SubmitDescription(p, 1, w.Variant(1))
		w.Run(6000)
		w.SubmitDescription(w.Primary(), 1, w.Variant(2))
	}, 15_000},
	"disk full at the backup for long": {"a spare, where there is one, takes its place", func(w *World) {
		b := w.backup()
		w.nodes[b].disk.full = true
		w.SubmitDescription(w.Primary(), 1, w.Variant(1))
		w.Run(15_000)
		w.checkAccepted(2)
		w.nodes[b].disk.full = false
		w.Kill(b)
		w.Start(b)
	}, 10_000},
	"disk stalled at the backup for long": {"a spare, where there is one, takes its place", func(w *World) {
		b := w.backup()
		w.nodes[b].disk.stalled = true
		w.SubmitDescription(w.Primary(), 1, w.Variant(1))
		w.Run(15_000)
		w.checkAccepted(2)
		w.nodes[b].disk.stalled = false
	}, 10_000},
	"disk stalled at the primary": {"it steps down, and the next goes on", func(w *World) {
		p := w.Primary()
		w.nodes[p].disk.stalled = true
		w.SubmitDescription(p, 1, w.Variant(1))
		w.Run(6000)
		w.nodes[p].disk.stalled = false
	}, 15_000},
}

// ScenarioNames lists the scenarios in order.
func ScenarioNames() []string {
	var names []string
	for name := range Scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
