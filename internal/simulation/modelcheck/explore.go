package modelcheck

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"myrtlewinch/internal/threads"
)

// bootstrapMs is how long a new cluster runs to bootstrap and settle before its
// disks are used.
const bootstrapMs = 8000

// FoundViolation is a violation with the schedule that leads to it.
type FoundViolation struct {
	Violation Violation
	Schedule  Schedule
	// Events is the number of events processed up to the violation.
	Events int
}

// Report is the outcome of a check.
type Report struct {
	// States is how many distinct states were visited.
	States int64
	// Runs is how many schedules were run.
	Runs int64
	// Steps is how many events were processed in all, replays included.
	Steps int64
	// Level is the largest number of deviations of an explored schedule.
	Level int
	// Complete is true if every schedule within the bounds was explored without a
	// violation.
	Complete bool
	// Found holds the shortest violation of each invariant.
	Found []FoundViolation
}

// remaining is how many deviations and events were left when a state was visited. The
// deviations can only happen within these events.
type remaining struct {
	deviations int16
	events     int32
}

// explorer runs schedules level by level. All schedules of a level have the same
// number of deviations.
type explorer struct {
	scope Scope
	// disks are the disks that every schedule starts with; nil means empty disks.
	disks []map[string]string
	steps atomic.Int64
	runs  atomic.Int64

	// mu guards the fields below, which the workers share.
	mu sync.Mutex
	// visited holds the visited states by hash.
	visited   map[uint64]remaining
	found     map[Invariant]FoundViolation
	nextLevel []Schedule
	// stateLimitReached is true if a state was left unvisited because of Scope.States.
	stateLimitReached bool
}

func newExplorer(scope Scope) *explorer {
	e := &explorer{scope: scope.withDefaults(), visited: map[uint64]remaining{}, found: map[Invariant]FoundViolation{}}
	e.disks = initialDisks(e.scope)
	return e
}

// Explore checks every schedule within the scope.
func Explore(scope Scope) Report {
	x := newExplorer(scope)
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
	slices.SortFunc(report.Found, func(a, b FoundViolation) int { return cmp.Compare(a.Violation.Invariant, b.Violation.Invariant) })
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

// initialDisks returns the disks that every schedule starts with; nil means empty
// disks.
func initialDisks(scope Scope) []map[string]string {
	if scope.Scenario.Bootstrap {
		return nil
	}
	return bootstrapDisks(scope)
}

// bootstrapDisks bootstraps a site and returns the disks of its members.
func bootstrapDisks(scope Scope) []map[string]string {
	scope.Wrap = nil
	c := newCluster(scope, nil, true)
	// No write is submitted here, so that the writes of the schedules are numbered
	// from 1.
	c.recovery = recovery{sinceMs: startMs, done: true}
	for c.nowMs < startMs+bootstrapMs {
		c.process(c.next())
	}
	if c.checks.violation != nil {
		panic("modelcheck: the bootstrap failed: " + c.checks.violation.String())
	}
	var disks []map[string]string
	for _, m := range c.members {
		disks = append(disks, m.disk)
	}
	return disks
}

// newRun returns a run of a schedule, at its start.
func (x *explorer) newRun(schedule Schedule) *run {
	c := newCluster(x.scope, x.disks, x.scope.Scenario.Bootstrap)
	c.scheduleScenario(x.scope.Scenario)
	return &run{explorer: x, cluster: c, schedule: schedule, windowEnd: windowNotBegun}
}

// run runs one schedule, continues after its last deviation without further ones,
// and adds the schedules with one more deviation to the next level.
func (x *explorer) run(schedule Schedule) {
	x.runs.Add(1)
	r := x.newRun(schedule)
	r.runToEnd()
	c := r.cluster
	x.steps.Add(int64(c.processed))
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.checks.violation != nil {
		x.recordFound(FoundViolation{Violation: *c.checks.violation, Schedule: schedule, Events: c.processed})
		return
	}
	x.nextLevel = append(x.nextLevel, r.children...)
}

// recordFound keeps the shortest violation of each invariant.
func (x *explorer) recordFound(found FoundViolation) {
	invariant := found.Violation.Invariant
	known, isKnown := x.found[invariant]
	if !isKnown || found.isShorter(known) {
		x.found[invariant] = found
	}
}

// isShorter reports whether a violation has fewer deviations than another, or as
// many deviations and fewer events.
func (f FoundViolation) isShorter(other FoundViolation) bool {
	if len(f.Schedule) != len(other.Schedule) {
		return len(f.Schedule) < len(other.Schedule)
	}
	return f.Events < other.Events
}

// visit records a visit to a state. It reports whether the state need not be
// explored, because it was visited with at least as many deviations and events left
// or because the limit of states is reached.
func (x *explorer) visit(hash uint64, left remaining) (isExplored bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, isKnown := x.visited[hash]
	if isKnown && known.covers(left) {
		return true
	}
	if !isKnown && len(x.visited) >= x.scope.States {
		x.stateLimitReached = true
		return true
	}
	if !isKnown || left.covers(known) {
		x.visited[hash] = left
	}
	return false
}

// covers reports whether at least as many deviations and events are left as in
// another visit.
func (r remaining) covers(other remaining) bool {
	return r.deviations >= other.deviations && r.events >= other.events
}
