package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// Measurement is one figure over several seeds, with the worst and the middle.
type Measurement struct {
	About string
	Unit  string
	Take  func(w *World) (float64, error)
}

// worst and middle of what the seeds gave.
func medianAndWorst(values []float64) (middle, worst float64) {
	sort.Float64s(values)
	return values[len(values)/2], values[len(values)-1]
}

func (w *World) smallService() string {
	for _, s := range w.Description.Services {
		if s.Repeatable {
			return s.Name
		}
	}
	return ""
}

// serviceOutage brings a loss about and gives the longest time without an answer of
// the small service.
func serviceOutage(loss func(w *World)) func(w *World) (float64, error) {
	return func(w *World) (float64, error) {
		w.Begin()
		w.clients.worstGapMs[w.smallService()] = 0
		loss(w)
		w.Run(25_000)
		return float64(w.WorstGapMs(w.smallService())), nil
	}
}

// controlOutage gives the time until a controller speaks for the site again.
func controlOutage(loss func(w *World)) func(w *World) (float64, error) {
	return func(w *World) (float64, error) {
		w.Begin()
		loss(w)
		from := w.events.NowMs()
		for w.Primary() == "" {
			w.Run(10)
			if w.events.NowMs()-from > 60_000 {
				return 0, errors.Newf("no controller spoke for the site within 60 s")
			}
		}
		return float64(w.events.NowMs() - from), nil
	}
}

// fullRecovery gives the time from a loss until every service has answered.
func fullRecovery(loss func(w *World)) func(w *World) (float64, error) {
	return func(w *World) (float64, error) {
		w.Begin()
		loss(w)
		from := w.events.NowMs()
		before := map[string]int{}
		for _, s := range w.Description.Services {
			before[s.Name] = w.Answered(s.Name)
		}
		for {
			w.Run(10)
			back := true
			for _, s := range w.Description.Services {
				back = back && w.Answered(s.Name) > before[s.Name]
			}
			if back {
				return float64(w.events.NowMs() - from), nil
			}
			if w.events.NowMs()-from > 60_000 {
				return 0, errors.Newf("not every service answered within 60 s")
			}
		}
	}
}

func restartAllDaemons(w *World) {
	names := w.nodeNames("")
	for _, name := range names {
		w.Kill(name)
	}
	for _, name := range names {
		w.Start(name)
	}
}

func loseZone(w *World) {
	zone := w.nodes[w.Primary()].zone
	for _, name := range w.nodeNames("") {
		if w.nodes[name].zone == zone {
			w.Kill(name)
		}
	}
	for _, r := range w.Description.Runners {
		if r.Zone == zone {
			w.CrashRunner(r.Name)
		}
	}
}

// lookUpsPerRequest counts over the routers from now on for a time.
func (w *World) lookUpsPerRequest(ms int64) (float64, error) {
	before := w.routerTally()
	sent := w.Network.LookUps
	w.Run(ms)
	after := w.routerTally()
	requests := after.Requests - before.Requests
	if requests == 0 {
		return 0, errors.Newf("no request was made")
	}
	return float64(w.Network.LookUps-sent) / float64(requests), nil
}

func (w *World) routerTally() router.Counters {
	var sum router.Counters
	for _, name := range w.nodeNames(protocol.RoleRouter) {
		tally := w.nodes[name].machine.(*router.Machine).Counters
		sum.Requests += tally.Requests
		sum.LookUps += tally.LookUps
		sum.Hits += tally.Hits
	}
	return sum
}

func trafficPerSec(busy, bytes bool) func(w *World) (float64, error) {
	return func(w *World) (float64, error) {
		w.Begin()
		w.countBytes = bytes
		if !busy {
			w.StopClients()
			w.Run(5000)
		}
		before := w.Network
		w.Run(10_000)
		if bytes {
			return float64(w.Network.Bytes-before.Bytes) / 10_000, nil
		}
		return float64(w.Network.Messages-before.Messages) / 10, nil
	}
}

// Measurements lists what is measured.
func Measurements() []Measurement {
	return []Measurement{
		{"small service without an answer, primary killed", "ms", serviceOutage(func(w *World) { w.Kill(w.Primary()) })},
		{"small service without an answer, zone of the primary lost", "ms", serviceOutage(loseZone)},
		{"small service without an answer, every daemon killed and started", "ms", serviceOutage(restartAllDaemons)},
		{"small service without an answer, core cut off from all routers for 40 s", "ms", serviceOutage(func(w *World) {
			w.Cut(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter), false)
			w.Run(40_000)
			w.Heal()
		})},
		{"every service answered again, every daemon killed and started", "ms", fullRecovery(restartAllDaemons)},
		{"every service answered again, every daemon and runner killed and started", "ms", fullRecovery(func(w *World) {
			restartAllDaemons(w)
			for _, r := range w.Description.Runners {
				w.CrashRunner(r.Name)
				w.StartRunner(r.Name)
			}
		})},
		{"no controller speaks, primary killed", "ms", controlOutage(func(w *World) { w.Kill(w.Primary()) })},
		{"no controller speaks, primary stopped as planned", "ms", controlOutage(func(w *World) {
			n := w.nodes[w.Primary()]
			w.deliver(n, n.incarnation, consensus.Leave{})
		})},
		{"no controller speaks, every daemon killed and started", "ms", controlOutage(restartAllDaemons)},
		{"last run under the old revision after acceptance, routers cut off", "ms", oldRevisionAge},
		{"last request to a leaver after the mark could be read", "ms", leaverDelay},
		{"second goes in the worst ten seconds, a part of first goes", "ratio", worstRetryRatio},
		{"look-ups a request, warm", "ratio", func(w *World) (float64, error) {
			w.Begin()
			return w.lookUpsPerRequest(10_000)
		}},
		{"look-ups a request, all routers cold", "ratio", func(w *World) (float64, error) {
			w.Begin()
			for _, name := range w.nodeNames(protocol.RoleRouter) {
				w.Kill(name)
				w.Start(name)
			}
			w.Run(2000)
			return w.lookUpsPerRequest(10_000)
		}},
		{"look-ups a request, after recovery of everything", "ratio", func(w *World) (float64, error) {
			w.Begin()
			restartAllDaemons(w)
			w.Run(6000)
			return w.lookUpsPerRequest(10_000)
		}},
		{"messages between daemons a second, idle", "count", trafficPerSec(false, false)},
		{"messages between daemons a second, busy", "count", trafficPerSec(true, false)},
		{"bytes between daemons a second, idle, each message sent alone", "thousands", trafficPerSec(false, true)},
		{"bytes between daemons a second, busy, each message sent alone", "thousands", trafficPerSec(true, true)},
		{"first answer for a cold rare model", "ms", coldModelLatency},
	}
}

func oldRevisionAge(w *World) (float64, error) {
	w.Begin()
	w.Burst(w.smallService(), 400)
	w.Cut(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter)[:2], false)
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(15_000)
	if w.operator.outcomes["accepted"] < 2 {
		return 0, errors.Newf("the description was not accepted: %v", w.operator.outcomes)
	}
	return float64(w.Checker.WorstOldRevisionMs), nil
}

func leaverDelay(w *World) (float64, error) {
	w.Begin()
	for range 4 {
		for _, s := range w.Description.Services {
			w.Burst(s.Name, 50)
		}
		w.MarkLeaving(w.randomRunner())
		w.Run(4000)
	}
	return float64(w.Checker.WorstLeaverMs), nil
}

func worstRetryRatio(w *World) (float64, error) {
	w.Begin()
	for range 6 {
		w.Burst(w.smallService(), 100)
		w.CrashRunner(w.Description.Runners[len(w.Description.Runners)-1].Name)
		w.Run(1000)
		w.StartRunner(w.Description.Runners[len(w.Description.Runners)-1].Name)
		w.Run(1000)
	}
	seconds, firsts := w.Checker.WorstRetryWindow(w.smallService())
	if firsts == 0 {
		return 0, errors.Newf("no go was made")
	}
	return float64(seconds) / float64(firsts), nil
}

func coldModelLatency(w *World) (float64, error) {
	w.Run(2000)
	w.Bootstrap()
	w.Run(2000)
	w.SubmitDescription(w.Primary(), 0, w.DescriptionText)
	w.Run(8000)
	from := w.events.NowMs()
	w.clients.uniformModels = true
	for w.Answered(w.Description.Services[1].Name) == 0 {
		if w.events.NowMs() == from {
			w.submitRequest(w.Description.Services[1].Name)
		}
		w.Run(5)
		if w.events.NowMs()-from > 60_000 {
			return 0, errors.Newf("no answer within 60 s")
		}
	}
	return float64(w.events.NowMs() - from), nil
}

// Measure plays every measurement with some seeds and gives a table. What
// could not be measured says so and gives no figure.
func Measure(text string, seeds int64) string {
	var out strings.Builder
	for _, m := range Measurements() {
		var values []float64
		var failed error
		for seed := int64(1); seed <= seeds; seed++ {
			value, err := m.Take(New(text, seed))
			if err != nil {
				failed = errors.Wrapf(err, "seed %d", seed)
				break
			}
			values = append(values, value)
		}
		if failed != nil {
			fmt.Fprintf(&out, "| %s | not measured: %v | |\n", m.About, failed)
			continue
		}
		middle, worst := medianAndWorst(values)
		fmt.Fprintf(&out, "| %s (%s) | %.4g | %.4g |\n", m.About, m.Unit, middle, worst)
	}
	return out.String()
}
