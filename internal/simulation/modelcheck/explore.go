package modelcheck

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"myrtlewinch/internal/threads"
)

// bootstrapMs is how long a new cluster is left to found itself and to settle.
const bootstrapMs = 8000

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

// remaining is what was left when a state was visited.
type remaining struct {
	deviations int16
	events     int32
}

// explorer runs schedules, level by level.
type explorer struct {
	scope             Scope
	disks             []map[string]string
	steps             atomic.Int64
	runs              atomic.Int64
	mu                sync.Mutex
	visited           map[uint64]remaining
	found             map[Invariant]Found
	nextLevel         []Schedule
	stateLimitReached bool
}

// Explore checks every schedule within the scope.
func Explore(scope Scope) Report {
	x := &explorer{scope: scope.withDefaults(), visited: map[uint64]remaining{}, found: map[Invariant]Found{}}
	x.disks = initialDisks(x.scope)
	frontier := []Schedule{nil}
	level := 0
	for {
		x.nextLevel = nil
		x.exploreLevel(frontier)
		if len(x.nextLevel) == 0 || len(x.found) > 0 || x.stateLimitReached {
			break
		}
		frontier = x.nextLevel
		level++
	}
	return x.report(level)
}

func (x *explorer) report(level int) Report {
	report := Report{
		States: int64(len(x.visited)), Runs: x.runs.Load(), Steps: x.steps.Load(),
		Level: min(level, x.scope.Deviations), Complete: !x.stateLimitReached && len(x.found) == 0,
	}
	for _, found := range x.found {
		report.Found = append(report.Found, found)
	}
	slices.SortFunc(report.Found, func(a, b Found) int { return cmp.Compare(a.Violation.Invariant, b.Violation.Invariant) })
	return report
}

// exploreLevel runs all schedules with one number of deviations.
func (x *explorer) exploreLevel(frontier []Schedule) {
	var taken atomic.Int64
	var workers sync.WaitGroup
	for range x.scope.Workers {
		workers.Add(1)
		threads.Go(func() {
			defer workers.Done()
			for {
				i := int(taken.Add(1)) - 1
				if i >= len(frontier) || x.isStateLimitReached() {
					return
				}
				x.run(frontier[i])
			}
		})
	}
	workers.Wait()
}

func (x *explorer) isStateLimitReached() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.stateLimitReached
}

// initialDisks gives the disks that every schedule begins with; nil are empty.
func initialDisks(scope Scope) []map[string]string {
	if scope.Scenario.Bootstrap {
		return nil
	}
	return bootstrapDisks(scope)
}

// bootstrapDisks lets the members found a site, and gives their disks.
func bootstrapDisks(scope Scope) []map[string]string {
	scope.Wrap = nil
	c := newCluster(scope, nil, true)
	// No write is tried: those of the schedules begin at the first number.
	c.recovery = recovery{sinceMs: startMs, done: true}
	for c.nowMs < startMs+bootstrapMs {
		c.process(c.next())
	}
	if c.checks.violation != nil {
		panic("modelcheck: the founding failed: " + c.checks.violation.String())
	}
	var disks []map[string]string
	for _, m := range c.members {
		disks = append(disks, m.disk)
	}
	return disks
}

// newRun makes the cluster that every schedule begins with.
func (x *explorer) newRun() *cluster {
	c := newCluster(x.scope, x.disks, x.scope.Scenario.Bootstrap)
	c.scheduleScenario(x.scope.Scenario)
	return c
}

// run replays one schedule, goes on from its last deviation by the default
// one, and collects the schedules with one more deviation.
func (x *explorer) run(schedule Schedule) {
	x.runs.Add(1)
	c := x.newRun()
	r := &run{explorer: x, cluster: c, schedule: schedule, windowEnd: -1}
	for !r.step() {
	}
	x.steps.Add(int64(c.processed))
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.checks.violation != nil {
		x.recordFound(Found{Violation: *c.checks.violation, Schedule: schedule, Events: c.processed})
		return
	}
	x.nextLevel = append(x.nextLevel, r.children...)
}

// recordFound keeps the shortest violation of each invariant.
func (x *explorer) recordFound(found Found) {
	check := found.Violation.Invariant
	known, again := x.found[check]
	if !again || len(found.Schedule) < len(known.Schedule) || len(found.Schedule) == len(known.Schedule) && found.Events < known.Events {
		x.found[check] = found
	}
}

// isVisited notes a state, and says whether it was visited with as much budget.
func (x *explorer) isVisited(sum uint64, left remaining) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, seen := x.visited[sum]
	if seen && known.deviations >= left.deviations && known.events >= left.events {
		return true
	}
	if !seen && len(x.visited) >= x.scope.States {
		x.stateLimitReached = true
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
		r.windowEnd = c.processed + scope.Depth
	}
	c.describe(e)
	replaying := r.used < len(r.schedule)
	switch {
	case replaying && r.schedule[r.used].Event == c.processed:
		fault := r.schedule[r.used].Fault
		r.used++
		c.applyFault(e, fault)
	default:
		if !replaying {
			r.addDeviations(e)
		}
		c.process(e)
	}
	c.processed++
	if c.checks.violation != nil {
		return true
	}
	if r.used < len(r.schedule) {
		return false
	}
	return r.isExplored(e) || r.isFinished(e)
}

// remainingDeviations is how many deviations the schedule may still have.
func (r *run) remainingDeviations() int {
	if r.isProbe() {
		return 0
	}
	return r.explorer.scope.Deviations - len(r.schedule)
}

// mayDeviate says whether a deviation may happen now.
func (r *run) mayDeviate() bool {
	return r.remainingDeviations() > 0 && r.windowEnd >= 0 && r.cluster.processed < r.windowEnd
}

// addDeviations collects the schedules that deviate at this event.
func (r *run) addDeviations(e *event) {
	if !r.mayDeviate() {
		return
	}
	for _, fault := range r.cluster.possibleFaults(e) {
		r.addChild(fault)
	}
}

func (r *run) addChild(fault Fault) {
	child := append(slices.Clone(r.schedule), Deviation{Event: r.cluster.processed, Fault: fault})
	r.children = append(r.children, child)
}

// isExplored says whether the state was explored before. Where no more deviations
// follow, only the states after a tick of the first member are compared.
func (r *run) isExplored(e *event) bool {
	waiting := r.windowEnd < 0
	justDeviated := len(r.schedule) > 0 && r.cluster.processed-1 == r.schedule[len(r.schedule)-1].Event
	if waiting || !r.mayDeviate() && !justDeviated && !(e.kind == tickEvent && e.member == 0) {
		return false
	}
	left := remaining{deviations: int16(r.remainingDeviations()), events: int32(max(0, r.windowEnd-r.cluster.processed))}
	if left.deviations == 0 {
		left.events = 0
	}
	return r.explorer.isVisited(r.cluster.fingerprint(), left)
}

func (r *run) isProbe() bool {
	return len(r.schedule) > 0 && r.schedule[len(r.schedule)-1].Fault.Kind == loseMembers
}

// isFinished says whether the cluster has recovered and nothing is left to be
// explored. Where a probe follows, it waits for its time.
func (r *run) isFinished(e *event) bool {
	c := r.cluster
	if !c.recovery.done || r.mayDeviate() || r.windowEnd < 0 || c.recovery.sinceMs < c.faultsEndMs || c.hasPendingActions() {
		return false
	}
	if r.isProbe() || len(r.schedule) > r.explorer.scope.ProbeDeviations {
		return true
	}
	if e.kind != tickEvent || c.nowMs < c.faultsEndMs+c.scope.CatchUpMs {
		return false
	}
	r.addProbes()
	return true
}

// hasPendingActions says whether an action is still to come that must be waited for.
func (c *cluster) hasPendingActions() bool {
	return slices.ContainsFunc(c.members, func(m *member) bool { return m.stopping && !m.down }) ||
		slices.ContainsFunc(c.queue, func(e *event) bool { return e.kind == actionEvent && !e.optional })
}

// addProbes collects the schedules that lose as many members as may be.
func (r *run) addProbes() {
	c := r.cluster
	for set := range uint32(1) << len(c.members) {
		if c.isProbeSet(set) {
			r.addChild(Fault{Kind: loseMembers, Set: set})
		}
	}
}

// isProbeSet says whether a set is of running members and, with those that are
// lost, just as large as may be.
func (c *cluster) isProbeSet(set uint32) bool {
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
	return size > 0 && size+c.lostCount() == c.scope.Losses
}
