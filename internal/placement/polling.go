package placement

import "myrtlewinch/internal/protocol"

const (
	// lostCallMs is when a call that brought nothing at all is given up.
	lostCallMs = 3_000
	// How often runners are asked for their state: usually, while something
	// is open, while nothing is asked of them, and when they may be dead.
	stateMs, openStateMs, idleStateMs, deadStateMs = 400, 100, 800, 900
	// stateShareMs slows the usual pace for each runner there is, so that the
	// questions of a large fleet don't take up the primary, and stateTurnMs
	// bounds them to 500 a second however large it is.
	stateShareMs, stateTurnMs = 3, 2
	// stateLagMs is how old a state is about when it is told.
	stateLagMs = 110
	// asksATick bounds the questions to runners in one tick, with one more for
	// each so many runners.
	asksATick, askMoreEach = 25, 200
	// suspectFails is how many questions in a row must fail.
	suspectFails = 3
	// assumeMs is how long after it was taken an adapter's load counts as done.
	assumeMs = 40
)

// State takes a runner's answer to a question.
func (k *Keeper) State(nowMs int64, in protocol.RunnerStateResult) {
	r := k.runners[in.Runner]
	if r == nil || !k.active || in.Number == 0 || in.Number != r.asking {
		return
	}
	r.asking = 0
	if !in.Ok {
		k.counts.StateFails++
		r.fails++
		k.judge(nowMs, r)
		return
	}
	k.counts.States++
	r.fails = 0
	o := r.order
	before := r.clean
	settled := r.told(nowMs, r.askedMs, in.State, k)
	if o != nil && r.order == nil {
		k.store.settled(nowMs, o.number, true)
		if o.load && o.Adapter == "" && settled == done && r.held[o.Model] != nil {
			k.learn(nowMs, r, o)
			r.held[o.Model].model.want.served()
		}
		k.replan = true
	}
	if !before && r.clean {
		k.replan = true
	}
	k.judge(nowMs, r)
}

// learn takes the time of a load from a runner's own disk.
func (k *Keeper) learn(nowMs int64, r *runner, o *command) {
	m := r.service.model(o.Model)
	tookMs := nowMs - o.firstMs
	if o.fromStore || tookMs <= 0 || tookMs > 2*m.spec.LoadMs {
		return
	}
	if m.warmMs == 0 {
		m.warmMs = tookMs
	} else {
		m.warmMs += (tookMs - m.warmMs) / 4
	}
}

// judge works out whether a runner may be offered as a holder.
func (k *Keeper) judge(nowMs int64, r *runner) {
	suspect := k.asked(r) && (r.fails >= suspectFails || nowMs-r.okMs > k.silentMs(r)+1_000)
	if suspect != r.suspect {
		r.suspect = suspect
		k.touchRunner(r)
	}
}

// asked says whether the runner is one that tells its state.
func (k *Keeper) asked(r *runner) bool { return r.service.engine != nil }

// silentMs is after which silence no load goes to a runner.
func (k *Keeper) silentMs(r *runner) int64 { return max(1_500, 2*k.usualMs()+300) }

func (k *Keeper) usualMs() int64 {
	count := int64(len(k.sorted))
	return max(stateTurnMs*count, min(900, stateMs+stateShareMs*count))
}

// fit says whether loads may go to a runner.
func (k *Keeper) fit(nowMs int64, r *runner) bool {
	return !r.away() && !r.suspect && r.fails == 0 && nowMs-r.okMs <= k.silentMs(r)
}

// scan looks at every runner. Questions to a large fleet are spread over the
// ticks, in turn.
func (k *Keeper) scan(nowMs, holdUntilMs int64) {
	asks := asksATick + len(k.sorted)/askMoreEach
	for i := range k.sorted {
		at := (k.turnAt + i) % len(k.sorted)
		if asks -= k.tickRunner(nowMs, holdUntilMs, k.sorted[at], asks > 0); asks == 0 {
			k.turnAt, asks = at+1, -1
		}
	}
}

// tickRunner says how many questions it asked.
func (k *Keeper) tickRunner(nowMs, holdUntilMs int64, r *runner, mayAsk bool) (asks int) {
	if !k.asked(r) {
		return 0
	}
	if o := r.order; o != nil {
		switch {
		case o.phase == sent && nowMs > o.untilMs+lostCallMs:
			// The call brought no word at all.
			o.phase, o.phaseMs = unknown, nowMs
		case o.phase == taken && o.load && o.Adapter != "" && !o.assumed && nowMs-o.phaseMs >= assumeMs:
			r.assume(nowMs, k)
		case o.repeat && o.phase == unknown && nowMs-o.sentMs >= repeatMs && k.mayOrder(nowMs, holdUntilMs) && !r.away():
			// A repeat may begin the load only now.
			if !o.fromStore || k.store.open[o.number] || k.store.left(nowMs) > 0 {
				if o.fromStore {
					k.store.sent(o.number)
				}
				o.repeat, o.sentMs, o.phase = false, nowMs, sent
				o.repeats++
				k.send(nowMs, holdUntilMs, r)
			}
		}
	}
	if r.asking != 0 && nowMs-r.askedMs > lostCallMs {
		r.asking = 0
		r.fails++
	}
	if mayAsk && r.asking == 0 && nowMs-r.askedMs >= k.askEachMs(nowMs, r) {
		asks = 1
		k.number++
		r.asking, r.askedMs = k.number, nowMs
		k.calls = append(k.calls, protocol.OutboundCall{Address: r.entry.Address, Body: protocol.GetRunnerState{Runner: r.entry.ID, Number: k.number}})
	}
	k.judge(nowMs, r)
	return asks
}

// askEachMs is how often to ask a runner for its state.
func (k *Keeper) askEachMs(nowMs int64, r *runner) int64 {
	usual := k.usualMs()
	if r.fails >= suspectFails {
		return deadStateMs
	}
	if r.fails > 0 {
		return openStateMs
	}
	o := r.order
	switch {
	case o == nil && !r.clean:
		return openStateMs
	case o == nil && r.plan.Model != "" && nowMs < r.planMs:
		return openStateMs
	case o != nil && o.phase == taken && (!o.load || o.Adapter != ""):
		// It takes some ms only, but a state asked for before this shows none of
		// it yet.
		return max(openStateMs, o.phaseMs+stateLagMs-r.askedMs)
	case o != nil && (o.phase == unknown || !o.load || o.Adapter != ""):
		return openStateMs
	case o != nil && o.phase == taken:
		// A load is looked at closely only about when it should end.
		if nowMs-o.phaseMs >= k.leastMs(r, o)+stateLagMs {
			return openStateMs * 4 / 5
		}
		return min(usual, stateMs)
	case o != nil:
		return openStateMs
	case r.state.Active+r.state.Queued == 0 && !k.wanted(nowMs, r):
		return max(idleStateMs, usual)
	}
	return usual
}

// leastMs is the least time that a model's load should take.
func (k *Keeper) leastMs(r *runner, o *command) int64 {
	m := r.service.model(o.Model)
	if warm, known := r.disk[o.Model]; known {
		if warm {
			return m.warm() * 3 / 4
		}
		return min(m.warm()*3/4, m.spec.LoadMs/4)
	}
	return m.spec.LoadMs * 9 / 10
}

// wanted says whether what the runner holds was asked for lately.
func (k *Keeper) wanted(nowMs int64, r *runner) bool {
	for _, h := range r.held {
		if h.model.want.askedAgoMs(nowMs) < 2_000 {
			return true
		}
	}
	return false
}
