package faultsim

import (
	"encoding/json"

	"myrtlewinch/internal/protocol"
)

// workloadKind is what a step of a workload of competing operators does.
type workloadKind int

const (
	// workloadOrders sends several orders at once on the version that operators
	// take for the current one.
	workloadOrders workloadKind = iota
	// workloadRivals sends two orders with one number on one version, with
	// different texts.
	workloadRivals
	// workloadStale sends an order on a version that was replaced, workloadAhead
	// one on a version that is only about to come.
	workloadStale
	workloadAhead
	// workloadFaulty sends an order that can't be valid.
	workloadFaulty
	workloadRead
	// workloadResend sends an earlier order again, to every controller.
	workloadResend
	workloadFault
	// workloadLose loses answers and workloadHold holds calls up, for a while.
	workloadLose
	workloadHold
	workloadKinds
)

// workloadStep is one step; count is how many orders or reads it sends.
type workloadStep struct {
	Kind    workloadKind
	Count   int
	PauseMs int64
	Fault   string
}

const (
	// workloadName is what Play knows a workload by, and workloadSteps how long it
	// then is.
	workloadName  = "operators contend"
	workloadSteps = 150
)

// underMost is how many orders may be under way at once.
const underMost = 8

// workloadFaults are the faults of the core that a workload brings about.
var workloadFaults = []string{
	"primary killed", "backup killed", "primary loses its disk", "backup loses its disk", "core machine replaced", "primary replaced",
	"primary frozen", "backup frozen", "core stopped in turn", "disk stalls", "disk slow", "disk full", "primary cut off",
	"primary heard by nobody", "primary hears nobody", "core in pieces", "messages lost", "messages doubled", "messages late", "core killed", "all killed, one disk lost",
}

// drawWorkload draws the steps of a workload.
func (w *World) drawWorkload(count int) []workloadStep {
	var steps []workloadStep
	for range count {
		step := workloadStep{Kind: workloadOrders, Count: 1 + w.random.Intn(underMost), PauseMs: w.random.Int63n(30)}
		if w.random.Intn(2) == 0 {
			step.Kind = workloadKind(w.random.Intn(int(workloadKinds)))
		}
		if w.random.Intn(2) == 0 {
			step.PauseMs = w.random.Int63n(800)
		}
		step.Fault = workloadFaults[w.random.Intn(len(workloadFaults))]
		steps = append(steps, step)
	}
	return steps
}

// runWorkload plays a workload, then has every order sent again and reads back.
func (w *World) runWorkload(steps []workloadStep) {
	for _, step := range steps {
		w.runStep(step)
		w.Run(step.PauseMs)
	}
	w.operators.lostPart, w.operators.heldPart = 0, 0
	w.Run(heldMost + callerEnd)
	for _, r := range w.operators.history.orders {
		w.resend(r, w.someCore())
		w.Run(20)
	}
	for _, name := range w.names(protocol.Controller) {
		w.readBack(w.nodes[name])
	}
	w.Run(callerEnd)
}

func (w *World) runStep(step workloadStep) {
	o := &w.operators
	switch step.Kind {
	case workloadOrders:
		for range min(step.Count, o.free()) {
			w.sendOrder(o.base, o.next(w), w.random.Intn(2) == 0)
		}
	case workloadRivals:
		if o.free() >= 2 {
			version, part := o.next(w), w.random.Intn(2) == 0
			w.sendOrder(o.base, version, part)
			w.sendOrder(o.base, version, part)
		}
	case workloadStale:
		orders := o.history.orders
		old := orders[w.random.Intn(len(orders))].builtOn
		w.sendOrder(old, o.next(w), false)
	case workloadAhead:
		coming := o.next(w)
		w.sendOrder(coming, o.next(w), w.random.Intn(2) == 0)
		w.Run(w.random.Int63n(20))
		w.sendOrder(o.base, coming, false)
	case workloadFaulty:
		w.faultyMap(w.someCore())
	case workloadRead:
		for range step.Count {
			w.readBack(w.someCore())
		}
	case workloadResend:
		r := o.history.orders[w.random.Intn(len(o.history.orders))]
		for _, name := range w.names(protocol.Controller) {
			w.resend(r, w.nodes[name])
		}
	case workloadFault:
		f, _, _ := named(step.Fault)
		w.bring(f)
	case workloadLose:
		o.lostPart = 0.5
		w.after(w.soon(), func() { o.lostPart = 0 })
	case workloadHold:
		o.heldPart = 0.3
		w.after(w.soon(), func() { o.heldPart = 0 })
	}
}

// free is how many more orders may be under way.
func (o *operators) free() int {
	under := 0
	for _, h := range o.under {
		if !h.done {
			under++
		}
	}
	return max(0, underMost-under)
}

// sendOrder sends an order whose text differs from that of any other order.
func (w *World) sendOrder(builtOn, version uint64, part bool) {
	w.hand(w.someCore(), w.newOrder(builtOn, version, part))
}

func (w *World) newOrder(builtOn, version uint64, part bool) *handing {
	o := &w.operators
	aimMs := int64(400 + len(o.history.orders))
	m := w.newMap(version)
	last := &m.Routes[len(m.Routes)-1]
	last.AimMs = aimMs
	text := written(m)
	if part {
		var c change
		_ = json.Unmarshal(newChange(builtOn, version), &c)
		c.Put[len(c.Put)-1].AimMs = aimMs
		text, _ = json.Marshal(c)
	}
	return &handing{builtOn: builtOn, version: version, text: string(text), part: part, isRival: true}
}

// resend sends an order again as it was, whatever became of it.
func (w *World) resend(r *orderRecord, at *node) {
	w.callCore(at, &handing{
		builtOn: r.builtOn, version: r.version, text: r.text, part: r.part, sentMs: w.NowMs(), pauseMs: 100, isRival: true,
	})
}

// Workload is a run of many operators at once, with faults of the core and
// without clients, whose history is checked as one register.
func Workload(seed int64, count int) Result { return workload(newWorkloadSite(seed, Breaks{}), count) }

// newWorkloadSite makes a site for a workload: of three seeds one has five core
// machines, of which two may be lost.
func newWorkloadSite(seed int64, breaks Breaks) *World {
	if seed%3 == 0 {
		return newSized(seed, breaks, 5, 2)
	}
	return New(seed, breaks)
}

func workload(w *World, count int) Result { return playWorkload(w, w.drawWorkload(count)) }

func playWorkload(w *World, steps []workloadStep) Result {
	w.Run(1500)
	w.replaceMap(w.nodes["core-1"])
	w.Run(3000)
	w.runWorkload(steps)
	w.CheckMaps()
	w.CheckHistory()
	return Result{w, w.Book.Breaches()}
}
