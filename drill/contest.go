package drill

import (
	"encoding/json"

	"myrtlewinch/wire"
)

// contestKind is what a step of a contest between operators does.
type contestKind int

const (
	// contestOrders sends several orders at once on the version that operators
	// take for the current one.
	contestOrders contestKind = iota
	// contestRivals sends two orders with one number on one version, with
	// different texts.
	contestRivals
	// contestStale sends an order on a version that was replaced, contestAhead
	// one on a version that is only about to come.
	contestStale
	contestAhead
	// contestFaulty sends an order that can't be valid.
	contestFaulty
	contestRead
	// contestResend sends an earlier order again, to every controller.
	contestResend
	contestFault
	// contestLose loses answers and contestHold holds calls up, for a while.
	contestLose
	contestHold
	contestKinds
)

// contestStep is one step; count is how many orders or reads it sends.
type contestStep struct {
	Kind    contestKind
	Count   int
	PauseMs int64
	Fault   string
}

const (
	// contestName is what Play knows a contest by, and contestSteps how long it
	// then is.
	contestName  = "operators contend"
	contestSteps = 150
)

// underMost is how many orders may be under way at once.
const underMost = 8

// contestFaults are the faults of the core that a contest brings about.
var contestFaults = []string{
	"primary killed", "backup killed", "primary loses its disk", "backup loses its disk", "core machine replaced", "primary replaced",
	"primary frozen", "backup frozen", "core stopped in turn", "disk stalls", "disk slow", "disk full", "primary cut off",
	"primary heard by nobody", "primary hears nobody", "core in pieces", "messages lost", "messages doubled", "messages late", "core killed", "all killed, one disk lost",
}

// drawContest draws the steps of a contest.
func (w *World) drawContest(count int) []contestStep {
	var steps []contestStep
	for range count {
		step := contestStep{Kind: contestOrders, Count: 1 + w.random.Intn(underMost), PauseMs: w.random.Int63n(30)}
		if w.random.Intn(2) == 0 {
			step.Kind = contestKind(w.random.Intn(int(contestKinds)))
		}
		if w.random.Intn(2) == 0 {
			step.PauseMs = w.random.Int63n(800)
		}
		step.Fault = contestFaults[w.random.Intn(len(contestFaults))]
		steps = append(steps, step)
	}
	return steps
}

// contend plays a contest, then has every order sent again and reads back.
func (w *World) contend(steps []contestStep) {
	for _, step := range steps {
		w.contendOnce(step)
		w.Run(step.PauseMs)
	}
	w.operators.lostPart, w.operators.heldPart = 0, 0
	w.Run(heldMost + callerEnd)
	for _, r := range w.operators.history.orders {
		w.resend(r, w.someCore())
		w.Run(20)
	}
	for _, name := range w.names(wire.Controller) {
		w.readBack(w.nodes[name])
	}
	w.Run(callerEnd)
}

func (w *World) contendOnce(step contestStep) {
	o := &w.operators
	switch step.Kind {
	case contestOrders:
		for range min(step.Count, o.free()) {
			w.contender(o.base, o.next(w), w.random.Intn(2) == 0)
		}
	case contestRivals:
		if o.free() >= 2 {
			version, part := o.next(w), w.random.Intn(2) == 0
			w.contender(o.base, version, part)
			w.contender(o.base, version, part)
		}
	case contestStale:
		orders := o.history.orders
		old := orders[w.random.Intn(len(orders))].builtOn
		w.contender(old, o.next(w), false)
	case contestAhead:
		coming := o.next(w)
		w.contender(coming, o.next(w), w.random.Intn(2) == 0)
		w.Run(w.random.Int63n(20))
		w.contender(o.base, coming, false)
	case contestFaulty:
		w.faultyMap(w.someCore())
	case contestRead:
		for range step.Count {
			w.readBack(w.someCore())
		}
	case contestResend:
		r := o.history.orders[w.random.Intn(len(o.history.orders))]
		for _, name := range w.names(wire.Controller) {
			w.resend(r, w.nodes[name])
		}
	case contestFault:
		f, _, _ := named(step.Fault)
		w.bring(f)
	case contestLose:
		o.lostPart = 0.5
		w.after(w.soon(), func() { o.lostPart = 0 })
	case contestHold:
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

// contender sends an order whose text differs from that of any other order.
func (w *World) contender(builtOn, version uint64, part bool) {
	w.hand(w.someCore(), w.newContender(builtOn, version, part))
}

func (w *World) newContender(builtOn, version uint64, part bool) *handing {
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
		builtOn: r.builtOn, version: r.version, text: r.text, part: r.part, sentMs: w.NowMs, pauseMs: 100, isRival: true,
	})
}

// Contest is a run of many operators at once, with faults of the core and
// without clients, whose history is checked as one register.
func Contest(seed int64, count int) Result { return contest(newContest(seed, Breaks{}), count) }

// newContest makes a site for a contest: of three seeds one has five core
// machines, of which two may be lost.
func newContest(seed int64, breaks Breaks) *World {
	if seed%3 == 0 {
		return newSized(seed, breaks, 5, 2)
	}
	return New(seed, breaks)
}

func contest(w *World, count int) Result { return playContest(w, w.drawContest(count)) }

func playContest(w *World, steps []contestStep) Result {
	w.Run(1500)
	w.replaceMap(w.nodes["core-1"])
	w.Run(3000)
	w.contend(steps)
	w.CheckMaps()
	w.CheckHistory()
	return Result{w, w.Book.Breaches()}
}
