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
	platformMs = 300
	reportMs   = 400
	// darkMs is how long a runner may be silent and still be offered.
	darkMs       = 1500
	orderMs      = 600
	demandHalfMs = 10_000
	waitedMs     = 1500
)

// duty is what only the primary does: it reads the platform and the runners,
// places, and gives orders.
type duty struct {
	// beganEpoch is the epoch with which this primacy began; calls numbers
	// what is asked of runners.
	beganEpoch   uint64
	calls        uint64
	allFenced    bool
	reading      bool
	platformMs   int64
	platformOkMs int64
	listing      map[string]protocol.ListedRunner
	seen         map[string]*seenRunner
	wants        map[ledger.Item]*want
	placeMs      int64
	pace         pace
	// shares is the room that each service's things take; fair is an even share.
	shares map[string]int64
	fair   int64
	// turnsMs is when a load was last ordered for a service.
	turnsMs map[string]int64
	// turns says in how many ms what lacks may be held, as last worked out.
	turns map[string]int64
	// loadMs is how long loads have lately taken.
	loadMs int64
}

// seenRunner is what the last reports of a runner said.
type seenRunner struct {
	// firstMs is when firstOrder, the order under way, was first sent.
	firstOrder uint64
	firstMs    int64
	askedMs    int64
	// asking is the call that is on its way, or nought: one at a time, so
	// that reports come in the order in which they were made.
	asking uint64
	// fencedMs is when the runner first said that it heeds this primacy's
	// epoch, and so none before; failed says that a call got no answer.
	fencedMs int64
	failed   bool
	okMs     int64
	orderMs  int64
	burden   int64
	report   protocol.RunnerReport
	// since says from when each item has been held, for the minimum stay.
	since map[string]int64
	// orders counts what was intended for it; quiet says that none was open
	// when the last report was asked for, and askedOrders how many had been.
	orders, askedOrders int
	quiet               bool
}

// want is the demand for an item: a count that halves with time.
type want struct {
	score float64
	atMs  int64
	// waitedMs is when a router last said that a request waits for it.
	waitedMs int64
	// lackMs is since when it is wanted and nowhere held, or nought.
	lackMs int64
	// untilMs keeps the place of those who were told when to come back.
	askedMs, untilMs int64
}

// wanted says whether anyone asked lately, waits now, or was told to come back.
func (w *want) wanted(nowMs int64) bool {
	return nowMs < w.untilMs || w.now(nowMs) >= 1 || w.waitedMs > 0 && nowMs-w.waitedMs < waitedMs
}

func (w *want) now(nowMs int64) float64 {
	return w.score * math.Exp2(-float64(nowMs-w.atMs)/demandHalfMs)
}

// fenced says whether no order of an earlier holder can have reached the
// runner within the gap, however late on its way.
func (s *seenRunner) fenced(nowMs, gapMs int64) bool {
	return s.fencedMs > 0 && nowMs >= s.fencedMs+gapMs
}

func newDuty() duty {
	return duty{loadMs: firstLoadMs, turnsMs: map[string]int64{}, listing: map[string]protocol.ListedRunner{}, seen: map[string]*seenRunner{}, wants: map[ledger.Item]*want{}}
}

// begin forgets what an earlier primacy knew; the pace's bucket starts empty.
func (d *duty) begin(nowMs int64, epoch uint64) {
	calls := d.calls
	*d = newDuty()
	d.calls, d.beganEpoch = calls, epoch
	d.platformMs = nowMs - platformMs
	d.pace = pace{atMs: nowMs}
}

func (d *duty) soft(nowMs int64) protocol.Hints {
	soft := protocol.Hints{Burdens: map[string]int64{}, Turns: d.turns}
	for name, s := range d.seen {
		soft.Burdens[name] = s.burden
		if nowMs-s.okMs > darkMs {
			soft.Dark = append(soft.Dark, name)
		}
	}
	sort.Strings(soft.Dark)
	return soft
}

// marks lists the leaving incarnations, also those not yet on the disks.
func (d *duty) marks(s *ledger.State) []protocol.LeavingRunner {
	var marks []protocol.LeavingRunner
	for mark := range s.Marks {
		if row := s.Rows[mark.Runner]; row == nil || row.Incarnation == mark.Incarnation {
			marks = append(marks, mark)
		}
	}
	for _, listed := range d.listing {
		mark := protocol.LeavingRunner{Runner: listed.Name, Incarnation: listed.Incarnation}
		if listed.Leaving && !slices.Contains(marks, mark) {
			marks = append(marks, mark)
		}
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].Runner < marks[j].Runner })
	return marks
}

func (d *duty) demanded(nowMs int64, said protocol.DemandReport) {
	for key, count := range said.Counts {
		parts := strings.SplitN(key, "/", 3)
		if len(parts) != 3 || parts[1] == "" {
			continue
		}
		d.want(nowMs, ledger.Item{Model: parts[1]}, count)
		if parts[2] != "" {
			d.want(nowMs, ledger.Item{Model: parts[1], Adapter: parts[2]}, count)
		}
	}
}

func (d *duty) want(nowMs int64, item ledger.Item, count int64) {
	w := d.wants[item]
	if w == nil {
		w = &want{}
		d.wants[item] = w
	}
	w.score = w.now(nowMs) + float64(count)
	w.atMs = nowMs
	w.askedMs = nowMs
	if count == 0 {
		w.waitedMs = nowMs
	}
}

// waited notes that requests wait for a key; it adds nothing to its count,
// which was counted when they came.
func (d *duty) waited(nowMs int64, model, adapter string) {
	if model == "" {
		return
	}
	d.want(nowMs, ledger.Item{Model: model}, 0)
	if adapter != "" {
		d.want(nowMs, ledger.Item{Model: model, Adapter: adapter}, 0)
	}
}

func (a *application) tickDuty() {
	if !a.host.IsPrimary() {
		return
	}
	d := &a.duty
	if a.host.NowMs()-d.platformMs >= platformMs && !d.reading {
		d.platformMs, d.reading = a.host.NowMs(), true
		a.host.Call(a.settings.Platform, protocol.PlatformCall{})
	}
	for _, name := range d.names() {
		listed := d.listing[name]
		s := d.seen[name]
		if s == nil {
			s = &seenRunner{askedMs: a.host.NowMs() - reportMs, okMs: a.host.NowMs(), since: map[string]int64{}}
			d.seen[name] = s
		}
		if a.host.NowMs()-s.askedMs >= reportMs && s.asking == 0 {
			s.askedMs = a.host.NowMs()
			d.calls++
			s.asking = d.calls
			row := a.state().Rows[name]
			s.quiet, s.askedOrders = row != nil && row.Intent == nil, s.orders
			a.host.Call(listed.Address, protocol.ReportCall{Runner: name, Number: s.asking, Epoch: a.host.Epoch()})
		}
	}
	if a.mayOrder() {
		a.repeatOrders()
		a.place()
	}
}

// names lists the platform's runners in order, so that a run repeats exactly.
func (d *duty) names() []string {
	names := make([]string, 0, len(d.listing))
	for name := range d.listing {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// mayOrder says whether an order given now can't cross one of another holder.
func (a *application) mayOrder() bool {
	return a.host.Active() && a.host.NowMs() >= a.host.OrdersFromMs() && a.described != nil && a.fencedAll()
}

// fencedAll says whether every listed runner that answers is fenced. One that
// answers later, or comes later, holds up only itself.
func (a *application) fencedAll() bool {
	d := &a.duty
	if d.allFenced {
		return true
	}
	if d.platformOkMs == 0 {
		return false
	}
	for name := range d.listing {
		s := d.seen[name]
		if s == nil || s.fencedMs == 0 && !s.failed || s.fencedMs > 0 && !s.fenced(a.host.NowMs(), a.settings.GapMs) {
			return false
		}
	}
	d.allFenced = true
	return true
}

func (a *application) listed(in protocol.RunnerListResult) {
	d := &a.duty
	if !a.host.IsPrimary() {
		return
	}
	d.reading = false
	if !in.Ok {
		// What the platform said last still counts; marks only grow.
		a.host.Count("platform unread")
		return
	}
	d.platformOkMs = a.host.NowMs()
	listing := map[string]protocol.ListedRunner{}
	for _, l := range in.Runners {
		listing[l.Name] = l
		mark := protocol.LeavingRunner{Runner: l.Name, Incarnation: l.Incarnation}
		if l.Leaving && !a.state().Marks[mark] {
			a.host.Logf("%s is leaving", l.Name)
			a.submit(func(bool) {}, ledger.MarkLeaving{Mark: mark})
		}
	}
	d.listing = listing
	for name := range d.seen {
		if _, ok := listing[name]; !ok {
			d.seen[name].okMs = min(d.seen[name].okMs, a.host.NowMs()-darkMs-1)
		}
	}
}

func (a *application) reported(in protocol.RunnerReportResult) {
	s := a.duty.seen[in.Runner]
	if !a.host.IsPrimary() || s == nil {
		return
	}
	// The answer to an order may cross that to a question; the question is
	// asked anew instead.
	if in.Number == 0 {
		s.askedMs = 0
		return
	}
	if in.Number != s.asking {
		return
	}
	s.asking = 0
	s.failed = s.failed || !in.Ok
	if !in.Ok {
		return
	}
	if in.Report.Runner != in.Runner {
		a.count(errkind.WrongIncarnation)
		return
	}
	if in.Report.Epoch > a.host.Epoch() {
		a.count(errkind.LowerEpoch)
		return
	}
	if s.fencedMs == 0 && in.Report.Epoch >= a.duty.beganEpoch {
		s.fencedMs = a.host.NowMs()
	}
	s.okMs, s.burden, s.report = a.host.NowMs(), in.Report.Burden, in.Report
	row := a.state().Rows[in.Runner]
	if row == nil || row.Incarnation != in.Report.Incarnation || row.Address != in.Address || row.Room != in.Report.Room {
		s.since = map[string]int64{}
		a.submit(func(bool) {}, ledger.Arrive{Report: in.Report, Address: in.Address})
		return
	}
	for item := range row.Held {
		if _, known := s.since[item]; !known {
			s.since[item] = a.host.NowMs()
		}
	}
	// Only a report that can't have crossed an order speaks of all it holds.
	if s.quiet && s.orders == s.askedOrders && row.Intent == nil && in.Report.LastState != protocol.OrderUnderWay && !row.Agrees(in.Report) {
		a.host.Logf("%s holds other things than the ledger says; the ledger is corrected", in.Runner)
		a.submit(func(bool) {}, ledger.Correct{Report: in.Report})
		return
	}
	// An unknown order is settled only by a report that names it.
	if row.Intent != nil && in.Report.LastOrder == row.Intent.Number && in.Report.LastState != protocol.OrderUnderWay {
		done := in.Report.LastState == protocol.OrderDone
		if !done {
			a.host.Logf("%s could not %s %s", in.Runner, row.Intent.Action, row.Intent.Model)
		}
		if row.Intent.Action == protocol.ActionLoad && done && s.firstMs > 0 {
			// The latest counts a quarter, so that one slow load says little.
			a.duty.loadMs += (a.host.NowMs() - s.firstMs - a.duty.loadMs) / 4
		}
		if row.Intent.Action == protocol.ActionUnload && done {
			delete(s.since, ledger.Item{Model: row.Intent.Model, Adapter: row.Intent.Adapter}.String())
		}
		a.submit(func(bool) {}, ledger.Settle{
			Runner: in.Runner, Incarnation: in.Report.Incarnation, Number: row.Intent.Number, Done: done,
		})
	}
}

// repeatOrders sends again what the runner's reports do not name yet. The
// number makes the repeat harmless.
func (a *application) repeatOrders() {
	for _, name := range a.duty.names() {
		row, s := a.state().Rows[name], a.duty.seen[name]
		if row == nil || s == nil || row.Intent == nil || a.host.NowMs()-s.orderMs < orderMs {
			continue
		}
		named := s.report.Incarnation == row.Incarnation && s.report.LastOrder >= row.Intent.Number
		if named || !a.settled() || !s.fenced(a.host.NowMs(), a.settings.GapMs) {
			continue
		}
		// A load that is sent again may begin only now, so it is paced anew:
		// after a take-over or a cut many may be open at once.
		if row.Intent.Action == protocol.ActionLoad && !a.duty.pace.take(a.host.NowMs(), a.described.Store.LoadsPer10s) {
			continue
		}
		a.sendOrder(name)
	}
}

// settled says whether both disks hold all that is in memory: nothing that
// was written after the last answered change may reach a runner.
func (a *application) settled() bool { return a.host.Settled() }

func (a *application) sendOrder(name string) {
	row, s := a.state().Rows[name], a.duty.seen[name]
	if row == nil || s == nil || row.Intent == nil || !a.mayOrder() || !s.fenced(a.host.NowMs(), a.settings.GapMs) {
		return
	}
	if s.firstOrder != row.Intent.Number {
		s.firstOrder, s.firstMs = row.Intent.Number, a.host.NowMs()
	}
	s.orderMs = a.host.NowMs()
	a.host.Call(row.Address, protocol.OrderCall{
		Runner: name, UntilMs: a.host.LeaseUntilMs(),
		Order: protocol.Order{
			Holder: a.host.Self().Name, Epoch: a.host.Epoch(), Number: row.Intent.Number, Incarnation: row.Incarnation, Action: row.Intent.Action,
			Model: row.Intent.Model, Adapter: row.Intent.Adapter, Size: row.Intent.Size,
		},
	})
}
