package modelcheck

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"myrtlewinch/internal/threads"
)

// foundingMs is how long a new cluster is left to found itself and to settle.
const foundingMs = 8000

// Found is a violation with the schedule that leads to it.
type Found struct {
	Violation Violation
	Schedule  Schedule
	// Events is how many events led to it.
	Events int
}

// Report is the outcome of a check.
type Report struct {
	// States is how many distinct states were visited, Runs how many schedules
	// were begun, Steps how many events happened in all, replays included.
	States, Runs, Steps int64
	// Level is the most deviations of a schedule that was explored.
	Level int
	// Complete says that every schedule within the bounds was explored.
	Complete bool
	// Found has the shortest violation of each invariant.
	Found []Found
}

// budget is what was left when a state was visited.
type budget struct {
	deviations int16
	events     int32
}

// explorer runs schedules, level by level.
type explorer struct {
	scope   Scope
	disks   []map[string]string
	steps   atomic.Int64
	runs    atomic.Int64
	mu      sync.Mutex
	visited map[uint64]budget
	found   map[Check]Found
	next    []Schedule
	full    bool
}

// Explore checks every schedule within the scope.
func Explore(scope Scope) Report {
	x := &explorer{scope: scope.withDefaults(), visited: map[uint64]budget{}, found: map[Check]Found{}}
	x.disks = firstDisks(x.scope)
	frontier := []Schedule{nil}
	level := 0
	for {
		x.next = nil
		x.level(frontier)
		if len(x.next) == 0 || len(x.found) > 0 || x.full {
			break
		}
		frontier = x.next
		level++
	}
	return x.report(level)
}

func (x *explorer) report(level int) Report {
	report := Report{
		States: int64(len(x.visited)), Runs: x.runs.Load(), Steps: x.steps.Load(),
		Level: min(level, x.scope.Deviations), Complete: !x.full && len(x.found) == 0,
	}
	for _, found := range x.found {
		report.Found = append(report.Found, found)
	}
	slices.SortFunc(report.Found, func(a, b Found) int { return cmp.Compare(a.Violation.Check, b.Violation.Check) })
	return report
}

// level runs all schedules with one number of deviations.
func (x *explorer) level(frontier []Schedule) {
	var taken atomic.Int64
	var workers sync.WaitGroup
	for range x.scope.Workers {
		workers.Add(1)
		threads.Side(func() {
			defer workers.Done()
			for {
				i := int(taken.Add(1)) - 1
				if i >= len(frontier) || x.isFull() {
					return
				}
				x.run(frontier[i])
			}
		})
	}
	workers.Wait()
}

func (x *explorer) isFull() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.full
}

// firstDisks gives the disks that every schedule begins with; nil are empty.
func firstDisks(scope Scope) []map[string]string {
	if scope.Scenario.Founding {
		return nil
	}
	return foundedDisks(scope)
}

// foundedDisks lets the members found a site, and gives their disks.
func foundedDisks(scope Scope) []map[string]string {
	scope.Wrap = nil
	c := newCluster(scope, nil, true)
	// No write is tried: those of the schedules begin at the first number.
	c.recovery = recovery{sinceMs: startMs, done: true}
	for c.nowMs < startMs+foundingMs {
		c.process(c.next())
	}
	if c.checks.violation != nil {
		panic("modelcheck: the founding failed: " + c.checks.violation.String())
	}
	var disks []map[string]string
	for _, m := range c.members {
		disks = append(disks, m.keys)
	}
	return disks
}

// begin makes the cluster that every schedule begins with.
func (x *explorer) begin() *cluster {
	c := newCluster(x.scope, x.disks, x.scope.Scenario.Founding)
	c.plan(x.scope.Scenario)
	return c
}

// run replays one schedule, goes on from its last deviation by the default
// one, and collects the schedules with one more deviation.
func (x *explorer) run(schedule Schedule) {
	x.runs.Add(1)
	c := x.begin()
	r := &run{explorer: x, cluster: c, schedule: schedule, windowEnd: -1}
	for !r.step() {
	}
	x.steps.Add(int64(c.events))
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.checks.violation != nil {
		x.keep(Found{Violation: *c.checks.violation, Schedule: schedule, Events: c.events})
		return
	}
	x.next = append(x.next, r.children...)
}

// keep keeps the shortest violation of each invariant.
func (x *explorer) keep(found Found) {
	check := found.Violation.Check
	known, again := x.found[check]
	if !again || len(found.Schedule) < len(known.Schedule) || len(found.Schedule) == len(known.Schedule) && found.Events < known.Events {
		x.found[check] = found
	}
}

// visit notes a state, and says whether it was visited with as much budget.
func (x *explorer) visit(sum uint64, left budget) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, seen := x.visited[sum]
	if seen && known.deviations >= left.deviations && known.events >= left.events {
		return true
	}
	if !seen && len(x.visited) >= x.scope.States {
		x.full = true
		return true
	}
	if !seen || known.deviations <= left.deviations && known.events <= left.events {
		x.visited[sum] = left
	}
	return false
}

// run is one schedule under way.
type run struct {
	explorer *explorer
	cluster  *cluster
	schedule Schedule
	// used is how many of its deviations have happened.
	used int
	// windowEnd is the number of the first event behind the window.
	windowEnd int
	children  []Schedule
}

// step lets one event happen, and says whether the run is over.
func (r *run) step() (over bool) {
	c := r.cluster
	e := c.next()
	scope := &r.explorer.scope
	if r.windowEnd < 0 && c.nowMs >= startMs+scope.Scenario.WindowMs {
		r.windowEnd = c.events + scope.Depth
	}
	c.describe(e)
	replaying := r.used < len(r.schedule)
	switch {
	case replaying && r.schedule[r.used].Event == c.events:
		fault := r.schedule[r.used].Fault
		r.used++
		c.apply(e, fault)
	default:
		if !replaying {
			r.branch(e)
		}
		c.process(e)
	}
	c.events++
	if c.checks.violation != nil {
		return true
	}
	if r.used < len(r.schedule) {
		return false
	}
	return r.seen(e) || r.finished(e)
}

// left is how many deviations the schedule may still have.
func (r *run) left() int {
	if r.probed() {
		return 0
	}
	return r.explorer.scope.Deviations - len(r.schedule)
}

// open says whether a deviation may happen now.
func (r *run) open() bool {
	return r.left() > 0 && r.windowEnd >= 0 && r.cluster.events < r.windowEnd
}

// branch collects the schedules that deviate at this event.
func (r *run) branch(e *event) {
	if !r.open() {
		return
	}
	for _, fault := range r.cluster.options(e) {
		r.child(fault)
	}
}

func (r *run) child(fault Fault) {
	child := append(slices.Clone(r.schedule), Deviation{Event: r.cluster.events, Fault: fault})
	r.children = append(r.children, child)
}

// seen says whether the state was explored before. Where no more deviations
// follow, only the states after a tick of the first member are compared.
func (r *run) seen(e *event) bool {
	waiting := r.windowEnd < 0
	justDeviated := len(r.schedule) > 0 && r.cluster.events-1 == r.schedule[len(r.schedule)-1].Event
	if waiting || !r.open() && !justDeviated && !(e.kind == tickEvent && e.member == 0) {
		return false
	}
	left := budget{deviations: int16(r.left()), events: int32(max(0, r.windowEnd-r.cluster.events))}
	if left.deviations == 0 {
		left.events = 0
	}
	return r.explorer.visit(r.cluster.fingerprint(), left)
}

func (r *run) probed() bool {
	return len(r.schedule) > 0 && r.schedule[len(r.schedule)-1].Fault.Kind == loseSet
}

// finished says whether the cluster has recovered and nothing is left to be
// explored. Where a probe follows, it waits for its time.
func (r *run) finished(e *event) bool {
	c := r.cluster
	if !c.recovery.done || r.open() || r.windowEnd < 0 || c.recovery.sinceMs < c.healedMs || c.planned() {
		return false
	}
	if r.probed() || len(r.schedule) > r.explorer.scope.ProbeDeviations {
		return true
	}
	if e.kind != tickEvent || c.nowMs < c.healedMs+c.scope.CatchUpMs {
		return false
	}
	r.probe()
	return true
}

// planned says whether an action is still to come that must be waited for.
func (c *cluster) planned() bool {
	return slices.ContainsFunc(c.members, func(m *member) bool { return m.leaving && !m.down }) ||
		slices.ContainsFunc(c.queue, func(e *event) bool { return e.kind == actionEvent && !e.optional })
}

// probe collects the schedules that lose as many members as may be.
func (r *run) probe() {
	c := r.cluster
	for set := range uint32(1) << len(c.members) {
		if c.mayLose(set) {
			r.child(Fault{Kind: loseSet, Set: set})
		}
	}
}

// mayLose says whether a set is of running members and, with those that are
// lost, just as large as may be.
func (c *cluster) mayLose(set uint32) bool {
	size := 0
	for i, m := range c.members {
		if set&(1<<i) == 0 {
			continue
		}
		if m.down {
			return false
		}
		size++
	}
	return size > 0 && size+c.lost() == c.scope.Losses
}
