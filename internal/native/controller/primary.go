package controller

import (
	"math"
	"slices"
	"sort"
	"strings"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	listIntervalMs   = 300
	reportIntervalMs = 400
	// runnerTimeoutMs is how long a runner may be silent and still be offered.
	runnerTimeoutMs  = 1500
	orderResendMs    = 600
	demandHalfLifeMs = 10_000
	waitFreshMs      = 1500
)

// primaryState is what only the primary does: it reads the platform and the runners,
// places, and gives orders.
type primaryState struct {
	// firstEpoch is the epoch with which this primacy began; calls numbers
	// what is asked of runners.
	firstEpoch      uint64
	reportCalls     uint64
	allFenced       bool
	listRequested   bool
	listRequestedMs int64
	listReceivedMs  int64
	listed          map[string]protocol.ListedRunner
	runners         map[string]*runnerState
	demand          map[ledger.Item]*itemDemand
	placedMs        int64
	loadLimiter     loadLimiter
	// roomUsed is the room that each service's things take; fair is an even share.
	roomUsed  map[string]int64
	fairShare int64
	// lastLoadMs is when a load was last ordered for a service.
	lastLoadMs map[string]int64
	// waitEstimatesMs says in how many ms what lacks may be held, as last worked out.
	waitEstimatesMs map[string]int64
	// meanLoadMs is how long loads have lately taken.
	meanLoadMs int64
}

// runnerState is what the last reports of a runner said.
type runnerState struct {
	// orderSentMs is when sentOrder, the order under way, was first sent.
	sentOrder         uint64
	orderSentMs       int64
	reportRequestedMs int64
	// pendingCall is the call that is on its way, or nought: one at a time, so
	// that reports come in the order in which they were made.
	pendingCall uint64
	// fencedMs is when the runner first said that it heeds this primacy's
	// epoch, and so none before; failed says that a call got no answer.
	fencedMs      int64
	unreachable   bool
	reportedMs    int64
	orderResentMs int64
	burden        int64
	report        protocol.RunnerReport
	// heldSinceMs says from when each item has been held, for the minimum stay.
	heldSinceMs map[string]int64
	// ordersGiven counts what was intended for it; quiet says that none was open
	// when the last report was asked for, and ordersAtRequest how many had been.
	ordersGiven, ordersAtRequest int
	idleAtRequest                bool
}

// itemDemand is the demand for an item: a count that halves with time.
type itemDemand struct {
	score float64
	atMs  int64
	// lastWaitMs is when a router last said that a request waits for it.
	lastWaitMs int64
	// missingSinceMs is since when it is wanted and nowhere held, or nought.
	missingSinceMs int64
	// keepUntilMs keeps the place of those who were told when to come back.
	lastRequestMs, keepUntilMs int64
}

// wanted says whether anyone asked lately, waits now, or was told to come back.
func (w *itemDemand) wanted(nowMs int64) bool {
	return nowMs < w.keepUntilMs || w.scoreAt(nowMs) >= 1 || w.lastWaitMs > 0 && nowMs-w.lastWaitMs < waitFreshMs
}

func (w *itemDemand) scoreAt(nowMs int64) float64 {
	return w.score * math.Exp2(-float64(nowMs-w.atMs)/demandHalfLifeMs)
}

// fenced says whether no order of an earlier holder can have reached the
// runner within the gap, however late on its way.
func (s *runnerState) fenced(nowMs, gapMs int64) bool {
	return s.fencedMs > 0 && nowMs >= s.fencedMs+gapMs
}

func newPrimaryState() primaryState {
	return primaryState{meanLoadMs: initialLoadMs, lastLoadMs: map[string]int64{}, listed: map[string]protocol.ListedRunner{}, runners: map[string]*runnerState{}, demand: map[ledger.Item]*itemDemand{}}
}

// reset forgets what an earlier primacy knew; the pace's bucket starts empty.
func (d *primaryState) reset(nowMs int64, epoch uint64) {
	calls := d.reportCalls
	*d = newPrimaryState()
	d.reportCalls, d.firstEpoch = calls, epoch
	d.listRequestedMs = nowMs - listIntervalMs
	d.loadLimiter = loadLimiter{updatedMs: nowMs}
}

func (d *primaryState) hints(nowMs int64) protocol.Hints {
	soft := protocol.Hints{Burdens: map[string]int64{}, Turns: d.waitEstimatesMs}
	for name, s := range d.runners {
		soft.Burdens[name] = s.burden
		if nowMs-s.reportedMs > runnerTimeoutMs {
			soft.Dark = append(soft.Dark, name)
		}
	}
	sort.Strings(soft.Dark)
	return soft
}

// leavingRunners lists the leaving incarnations, also those not yet on the disks.
func (d *primaryState) leavingRunners(s *ledger.State) []protocol.LeavingRunner {
	var marks []protocol.LeavingRunner
	for mark := range s.LeavingRunners {
		if row := s.Rows[mark.Runner]; row == nil || row.Incarnation == mark.Incarnation {
			marks = append(marks, mark)
		}
	}
	for _, listed := range d.listed {
		mark := protocol.LeavingRunner{Runner: listed.Name, Incarnation: listed.Incarnation}
		if listed.Leaving && !slices.Contains(marks, mark) {
			marks = append(marks, mark)
		}
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].Runner < marks[j].Runner })
	return marks
}

func (d *primaryState) addDemandReport(nowMs int64, said protocol.DemandReport) {
	for key, count := range said.Counts {
		parts := strings.SplitN(key, "/", 3)
		if len(parts) != 3 || parts[1] == "" {
			continue
		}
		d.addDemand(nowMs, ledger.Item{Model: parts[1]}, count)
		if parts[2] != "" {
			d.addDemand(nowMs, ledger.Item{Model: parts[1], Adapter: parts[2]}, count)
		}
	}
}

func (d *primaryState) addDemand(nowMs int64, item ledger.Item, count int64) {
	w := d.demand[item]
	if w == nil {
		w = &itemDemand{}
		d.demand[item] = w
	}
	w.score = w.scoreAt(nowMs) + float64(count)
	w.atMs = nowMs
	w.lastRequestMs = nowMs
	if count == 0 {
		w.lastWaitMs = nowMs
	}
}

// noteWaiting notes that requests wait for a key; it adds nothing to its count,
// which was counted when they came.
func (d *primaryState) noteWaiting(nowMs int64, model, adapter string) {
	if model == "" {
		return
	}
	d.addDemand(nowMs, ledger.Item{Model: model}, 0)
	if adapter != "" {
		d.addDemand(nowMs, ledger.Item{Model: model, Adapter: adapter}, 0)
	}
}

func (a *application) runPrimary() {
	if !a.host.IsPrimary() {
		return
	}
	d := &a.primary
	if a.host.NowMs()-d.listRequestedMs >= listIntervalMs && !d.listRequested {
		d.listRequestedMs, d.listRequested = a.host.NowMs(), true
		a.host.Call(a.settings.Platform, protocol.PlatformCall{})
	}
	for _, name := range d.runnerNames() {
		listed := d.listed[name]
		s := d.runners[name]
		if s == nil {
			s = &runnerState{reportRequestedMs: a.host.NowMs() - reportIntervalMs, reportedMs: a.host.NowMs(), heldSinceMs: map[string]int64{}}
			d.runners[name] = s
		}
		if a.host.NowMs()-s.reportRequestedMs >= reportIntervalMs && s.pendingCall == 0 {
			s.reportRequestedMs = a.host.NowMs()
			d.reportCalls++
			s.pendingCall = d.reportCalls
			row := a.state().Rows[name]
			s.idleAtRequest, s.ordersAtRequest = row != nil && row.Order == nil, s.ordersGiven
			a.host.Call(listed.Address, protocol.ReportCall{Runner: name, Number: s.pendingCall, Epoch: a.host.Epoch()})
		}
	}
	if a.mayOrder() {
		a.resendOrders()
		a.placeModels()
	}
}

// runnerNames lists the platform's runners in order, so that a run repeats exactly.
func (d *primaryState) runnerNames() []string {
	names := make([]string, 0, len(d.listed))
	for name := range d.listed {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// mayOrder says whether an order given now can't cross one of another holder.
func (a *application) mayOrder() bool {
	return a.host.Active() && a.host.NowMs() >= a.host.OrdersFromMs() && a.description != nil && a.allRunnersFenced()
}

// allRunnersFenced says whether every listed runner that answers is fenced. One that
// answers later, or comes later, holds up only itself.
func (a *application) allRunnersFenced() bool {
	d := &a.primary
	if d.allFenced {
		return true
	}
	if d.listReceivedMs == 0 {
		return false
	}
	for name := range d.listed {
		s := d.runners[name]
		if s == nil || s.fencedMs == 0 && !s.unreachable || s.fencedMs > 0 && !s.fenced(a.host.NowMs(), a.settings.GapMs) {
			return false
		}
	}
	d.allFenced = true
	return true
}

func (a *application) handleRunnerList(in protocol.RunnerListResult) {
	d := &a.primary
	if !a.host.IsPrimary() {
		return
	}
	d.listRequested = false
	if !in.Ok {
		// What the platform said last still counts; marks only grow.
		a.host.Count("platform unread")
		return
	}
	d.listReceivedMs = a.host.NowMs()
	listing := map[string]protocol.ListedRunner{}
	for _, l := range in.Runners {
		listing[l.Name] = l
		mark := protocol.LeavingRunner{Runner: l.Name, Incarnation: l.Incarnation}
		if l.Leaving && !a.state().LeavingRunners[mark] {
			a.host.Logf("%s is leaving", l.Name)
			a.submit(func(bool) {}, ledger.MarkLeaving{Mark: mark})
		}
	}
	d.listed = listing
	for name := range d.runners {
		if _, ok := listing[name]; !ok {
			d.runners[name].reportedMs = min(d.runners[name].reportedMs, a.host.NowMs()-runnerTimeoutMs-1)
		}
	}
}

func (a *application) handleRunnerReport(in protocol.RunnerReportResult) {
	s := a.primary.runners[in.Runner]
	if !a.host.IsPrimary() || s == nil {
		return
	}
	// The answer to an order may cross that to a question; the question is
	// asked anew instead.
	if in.Number == 0 {
		s.reportRequestedMs = 0
		return
	}
	if in.Number != s.pendingCall {
		return
	}
	s.pendingCall = 0
	s.unreachable = s.unreachable || !in.Ok
	if !in.Ok {
		return
	}
	if in.Report.Runner != in.Runner {
		a.countKind(errkind.WrongIncarnation)
		return
	}
	if in.Report.Epoch > a.host.Epoch() {
		a.countKind(errkind.LowerEpoch)
		return
	}
	if s.fencedMs == 0 && in.Report.Epoch >= a.primary.firstEpoch {
		s.fencedMs = a.host.NowMs()
	}
	s.reportedMs, s.burden, s.report = a.host.NowMs(), in.Report.Burden, in.Report
	row := a.state().Rows[in.Runner]
	if row == nil || row.Incarnation != in.Report.Incarnation || row.Address != in.Address || row.Room != in.Report.Room {
		s.heldSinceMs = map[string]int64{}
		a.submit(func(bool) {}, ledger.RegisterRunner{Report: in.Report, Address: in.Address})
		return
	}
	for item := range row.Held {
		if _, known := s.heldSinceMs[item]; !known {
			s.heldSinceMs[item] = a.host.NowMs()
		}
	}
	// Only a report that can't have crossed an order speaks of all it holds.
	if s.idleAtRequest && s.ordersGiven == s.ordersAtRequest && row.Order == nil && in.Report.LastState != protocol.OrderUnderWay && !row.Matches(in.Report) {
		a.host.Logf("%s holds other things than the ledger says; the ledger is corrected", in.Runner)
		a.submit(func(bool) {}, ledger.CorrectHoldings{Report: in.Report})
		return
	}
	// An unknown order is settled only by a report that names it.
	if row.Order != nil && in.Report.LastOrder == row.Order.Number && in.Report.LastState != protocol.OrderUnderWay {
		done := in.Report.LastState == protocol.OrderDone
		if !done {
			a.host.Logf("%s could not %s %s", in.Runner, row.Order.Action, row.Order.Model)
		}
		if row.Order.Action == protocol.ActionLoad && done && s.orderSentMs > 0 {
			// The latest counts a quarter, so that one slow load says little.
			a.primary.meanLoadMs += (a.host.NowMs() - s.orderSentMs - a.primary.meanLoadMs) / 4
		}
		if row.Order.Action == protocol.ActionUnload && done {
			delete(s.heldSinceMs, ledger.Item{Model: row.Order.Model, Adapter: row.Order.Adapter}.String())
		}
		a.submit(func(bool) {}, ledger.CompleteOrder{
			Runner: in.Runner, Incarnation: in.Report.Incarnation, Number: row.Order.Number, Done: done,
		})
	}
}

// resendOrders sends again what the runner's reports do not name yet. The
// number makes the repeat harmless.
func (a *application) resendOrders() {
	for _, name := range a.primary.runnerNames() {
		row, s := a.state().Rows[name], a.primary.runners[name]
		if row == nil || s == nil || row.Order == nil || a.host.NowMs()-s.orderResentMs < orderResendMs {
			continue
		}
		named := s.report.Incarnation == row.Incarnation && s.report.LastOrder >= row.Order.Number
		if named || !a.replicated() || !s.fenced(a.host.NowMs(), a.settings.GapMs) {
			continue
		}
		// A load that is sent again may begin only now, so it is paced anew:
		// after a take-over or a cut many may be open at once.
		if row.Order.Action == protocol.ActionLoad && !a.primary.loadLimiter.tryAcquire(a.host.NowMs(), a.description.Store.LoadsPer10s) {
			continue
		}
		a.sendOrder(name)
	}
}

// replicated says whether both disks hold all that is in memory: nothing that
// was written after the last answered change may reach a runner.
func (a *application) replicated() bool { return a.host.Settled() }

func (a *application) sendOrder(name string) {
	row, s := a.state().Rows[name], a.primary.runners[name]
	if row == nil || s == nil || row.Order == nil || !a.mayOrder() || !s.fenced(a.host.NowMs(), a.settings.GapMs) {
		return
	}
	if s.sentOrder != row.Order.Number {
		s.sentOrder, s.orderSentMs = row.Order.Number, a.host.NowMs()
	}
	s.orderResentMs = a.host.NowMs()
	a.host.Call(row.Address, protocol.OrderCall{
		Runner: name, UntilMs: a.host.LeaseUntilMs(),
		Order: protocol.Order{
			Holder: a.host.Self().Name, Epoch: a.host.Epoch(), Number: row.Order.Number, Incarnation: row.Incarnation, Action: row.Order.Action,
			Model: row.Order.Model, Adapter: row.Order.Adapter, Size: row.Order.Size,
		},
	})
}
