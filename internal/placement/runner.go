package placement

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// phase is what is known of an order.
type phase int

const (
	// sent: its call has not ended yet.
	sent phase = iota
	// taken: the runner said that it is under way.
	taken
	// unknown: it may have been taken, or may still be.
	unknown
)

// thing is what a runner may hold: a model, or an adapter of one.
type thing struct{ Model, Adapter string }

// command is an order to a runner whose end is not known yet. It stands here
// before it is sent.
type command struct {
	thing
	number uint64
	load   bool
	// expected is how many orders the runner had taken before.
	expected int64
	phase    phase
	// fromStore says that the load counts against the pace of the store.
	fromStore bool
	// firstMs and sentMs are when it was first and last sent; phaseMs since
	// when its phase is known; seenMs when a state first showed it under way.
	firstMs, sentMs, phaseMs, seenMs int64
	untilMs                          int64
	// repeats counts how often it was sent again; repeat asks for it.
	repeats int
	repeat  bool
	// assumed says that an adapter counts as there before a state shows it.
	assumed bool
}

// heldModel is a model on a runner.
type heldModel struct {
	model   *model
	version int64
	sinceMs int64
	// going says that its unload was ordered: it is offered no more, but
	// takes its room until a state shows it gone.
	going    bool
	adapters map[string]*heldAdapter
}

type heldAdapter struct {
	sinceMs int64
	going   bool
}

// runner is the ledger of one life of a runner.
type runner struct {
	entry protocol.RunnerEntry
	// seed gives it its place among the holders that a router is offered.
	seed    uint64
	service *service
	held    map[string]*heldModel
	// disk lists what it has held in this life: it comes back from there
	// sooner, and without the store.
	disk map[string]bool
	// order is the one under way or unknown, or nil.
	order *command
	// calls is the count of orders at which held is the truth, where clean.
	calls int64
	clean bool
	// needMs: only a state asked for after it may make the runner clean.
	needMs int64
	lower  int
	state  protocol.RunnerState
	// stateMs is when the last state came; okMs when it last answered.
	stateMs, okMs int64
	asking        uint64
	askedMs       int64
	fails         int
	suspect       bool
	// leaving is for ever; gone is not listed any more.
	leaving  bool
	absent   int
	goneMs   int64
	leftAtMs int64
	// plan is what room is kept for here until planMs.
	plan   thing
	planMs int64
	// coolMs holds off orders after one that was refused.
	coolMs int64
}

// touched is told of each model whose holders changed.
type touched interface{ touch(m *model) }

func newRunner(e protocol.RunnerEntry, s *service) *runner {
	return &runner{entry: e, seed: seedOf(e.ID), service: s, held: map[string]*heldModel{}, disk: map[string]bool{}}
}

// away says that it may not be sent new requests.
func (r *runner) away() bool { return r.leaving || r.absent > 0 }

// takenMb is the room that counts as taken, at full size: also what is being
// unloaded, and what an order may be loading.
func (r *runner) takenMb() float64 {
	sum := 0.0
	for _, h := range r.held {
		sum += h.model.spec.Mb + float64(len(h.adapters))*h.model.spec.AdapterMb
	}
	if o := r.order; o != nil && o.load && !r.has(o.thing) {
		m := r.service.model(o.Model)
		if o.Adapter == "" {
			sum += m.spec.Mb
		} else {
			sum += m.spec.AdapterMb
		}
	}
	return sum
}

// takenAdapters counts the places for adapters, likewise.
func (r *runner) takenAdapters() int {
	sum := 0
	for _, h := range r.held {
		sum += len(h.adapters)
	}
	if o := r.order; o != nil && o.load && o.Adapter != "" && !r.has(o.thing) {
		sum++
	}
	return sum
}

// has says whether the ledger holds it, also if it is going.
func (r *runner) has(t thing) bool {
	h := r.held[t.Model]
	return h != nil && (t.Adapter == "" || h.adapters[t.Adapter] != nil)
}

// offers says whether requests for it may be sent here.
func (r *runner) offers(t thing) bool {
	h := r.held[t.Model]
	if h == nil || h.going {
		return false
	}
	if t.Adapter == "" {
		return true
	}
	a := h.adapters[t.Adapter]
	return a != nil && !a.going
}

// idle says whether an order may be given: the ledger is the truth at a known
// count, and nothing is open. A load may also follow an adapter's load that is
// as good as done: at the count after it the ledger is the truth as well.
func (r *runner) idle(nowMs int64, load bool) bool {
	if !r.clean || nowMs < r.coolMs || r.away() {
		return false
	}
	return r.order == nil || load && r.order.assumed && r.order.load && r.order.phase == taken
}

// adopt takes what the runner says for the truth.
func (r *runner) adopt(nowMs int64, models []protocol.HeldModel, t touched) {
	said := map[string]bool{}
	for _, m := range models {
		said[m.Name] = true
		h := r.held[m.Name]
		if h == nil {
			h = &heldModel{model: r.service.model(m.Name), sinceMs: nowMs, adapters: map[string]*heldAdapter{}}
			r.held[m.Name] = h
			r.disk[m.Name] = true
			h.model.holders = append(h.model.holders, r)
			t.touch(h.model)
		}
		h.version = m.Version
		for _, a := range m.Adapters {
			if h.adapters[a] == nil {
				r.take(nowMs, h, a)
				t.touch(h.model)
			}
		}
		for a := range h.adapters {
			if !slices.Contains(m.Adapters, a) && !r.assumes(thing{m.Name, a}) {
				r.leave(h, a)
				t.touch(h.model)
			}
		}
	}
	for name := range r.held {
		if !said[name] {
			r.forget(name, t)
		}
	}
	// What was going and still stands, with no order about it, stays after all.
	for name, h := range r.held {
		if h.going && !r.unloads(thing{name, ""}) {
			h.going = false
			t.touch(h.model)
		}
		for a, ha := range h.adapters {
			if ha.going && !r.unloads(thing{name, a}) {
				ha.going = false
				t.touch(h.model)
			}
		}
	}
}

func (r *runner) assumes(x thing) bool {
	return r.order != nil && r.order.assumed && r.order.thing == x
}

func (r *runner) unloads(x thing) bool {
	return r.order != nil && !r.order.load && r.order.thing == x
}

// take notes that it holds an adapter, and leave that it does no more.
func (r *runner) take(nowMs int64, h *heldModel, adapter string) {
	h.adapters[adapter] = &heldAdapter{sinceMs: nowMs}
	if h.model.with == nil {
		h.model.with = map[string][]*runner{}
	}
	h.model.with[adapter] = append(h.model.with[adapter], r)
}

func (r *runner) leave(h *heldModel, adapter string) {
	delete(h.adapters, adapter)
	with := h.model.with[adapter]
	if i := slices.Index(with, r); i >= 0 {
		with = slices.Delete(with, i, i+1)
	}
	if h.model.with[adapter] = with; len(with) == 0 {
		delete(h.model.with, adapter)
	}
}

func (r *runner) forget(name string, t touched) {
	h := r.held[name]
	if h == nil {
		return
	}
	delete(r.held, name)
	for a := range h.adapters {
		r.leave(h, a)
	}
	if i := slices.Index(h.model.holders, r); i >= 0 {
		h.model.holders = slices.Delete(h.model.holders, i, i+1)
	}
	t.touch(h.model)
}

// intend writes an order into the ledger; it is sent only afterwards.
func (r *runner) intend(nowMs int64, o *command, t touched) {
	if r.order != nil {
		// Its adapter is as good as there: the runner takes the next order only
		// at the count after it.
		r.calls++
	}
	o.expected, o.firstMs, o.sentMs, o.phaseMs = r.calls, nowMs, nowMs, nowMs
	r.order = o
	if !o.load {
		r.setGoing(o.thing, true, t)
	}
}

func (r *runner) setGoing(x thing, going bool, t touched) {
	h := r.held[x.Model]
	if h == nil {
		return
	}
	if x.Adapter == "" {
		h.going = going
	} else if a := h.adapters[x.Adapter]; a != nil {
		a.going = going
	}
	t.touch(h.model)
}

// assume counts a taken adapter as there ahead of the state that shows it.
func (r *runner) assume(nowMs int64, t touched) {
	o := r.order
	h := r.held[o.Model]
	o.assumed = true
	if h != nil && h.adapters[o.Adapter] == nil {
		r.take(nowMs, h, o.Adapter)
		t.touch(h.model)
	}
}

// said settles what the call of an order brought. It says whether the load
// may count as never begun (false) or not be known (true).
func (r *runner) said(nowMs int64, outcome protocol.OrderOutcome, t touched) (open bool) {
	o := r.order
	repeated := o.repeats > 0
	switch {
	case outcome == protocol.OutcomeAccepted:
		o.phase, o.phaseMs = taken, nowMs
		return true
	case outcome == protocol.OutcomeUnknown, repeated:
		// Whatever became of a repeat, the first one may have been taken.
		if o.phase != taken {
			o.phase, o.phaseMs = unknown, nowMs
		}
		return true
	}
	r.order, r.clean, r.needMs = nil, false, nowMs
	if !o.load {
		r.setGoing(o.thing, false, t)
	}
	if outcome == protocol.OutcomeRefused || outcome == protocol.OutcomeBusy {
		r.coolMs = nowMs + coolMs
	}
	return false
}

const (
	coolMs = 150
	// lowerMost is how many states in a row may tell a lower count before it
	// is believed.
	lowerMost = 4
	// repeatMs is the least time between two sends of one order; dropMs after
	// which an unknown order that no state shows is given up. Its runner takes
	// no more than one order at a count, so a later one can't double it.
	repeatMs = 250
	dropMs   = 2_500
)

// settled is what a state did to the order that was open.
type settled int

const (
	stays settled = iota
	done
	lost
)

// told takes a state that was asked for at askedMs.
func (r *runner) told(nowMs, askedMs int64, s protocol.RunnerState, t touched) settled {
	r.state, r.stateMs, r.okMs = s, nowMs, nowMs
	// States are as of some time before: an older one than the ledger says
	// nothing. The count falls only with a restart, which has a new id.
	if s.Calls < r.calls {
		r.lower++
		if r.lower < lowerMost {
			return stays
		}
		r.order = nil
	}
	r.lower = 0
	o := r.order
	if o == nil {
		r.calls = s.Calls
		r.clean = !s.Busy && askedMs >= r.needMs
		r.adopt(nowMs, s.Models, t)
		return lost
	}
	switch {
	case s.Calls == o.expected:
		if s.Busy {
			return stays
		}
		r.adopt(nowMs, s.Models, t)
		if o.phase == unknown && askedMs >= o.phaseMs {
			if nowMs-o.firstMs > dropMs && o.repeats > 1 {
				r.drop(t)
				r.clean = true
				return lost
			}
			o.repeat = true
		}
		// It was said to be taken, yet long after the runner knows nothing.
		if o.phase == taken && askedMs-o.phaseMs > 2*dropMs {
			r.drop(t)
			r.clean = true
			return lost
		}
		return stays
	case s.Calls == o.expected+1 && s.Busy:
		if o.phase != taken {
			o.phase, o.phaseMs = taken, nowMs
		}
		if o.seenMs == 0 {
			o.seenMs = nowMs
		}
		o.repeat = false
		return stays
	case s.Busy:
		// Another holder's order came after ours.
		r.drop(t)
		r.calls, r.clean = s.Calls, false
		r.adopt(nowMs, s.Models, t)
		return done
	}
	r.order = nil
	r.calls, r.clean = s.Calls, true
	r.adopt(nowMs, s.Models, t)
	return done
}

func (r *runner) drop(t touched) {
	o := r.order
	r.order = nil
	if o != nil && !o.load {
		r.setGoing(o.thing, false, t)
	}
}
