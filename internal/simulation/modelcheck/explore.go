package modelcheck

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"myrtlewinch/internal/threads"
)

// bootstrapMs is how long a new cluster may take to bootstrap itself and to
// settle.
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
	// States is how many distinct states were visited.
	States int64
	// Runs is how many schedules were begun.
	Runs int64
	// Steps is how many events happened in all, replays included.
	Steps int64
	// Level is the largest number of deviations of an explored schedule.
	Level int
	// Complete says that every schedule within the bounds was explored.
	Complete bool
	// Found has the shortest violation of each invariant.
	Found []Found
}

// remaining is how many deviations, and events within which they may happen,
// were left when a state was visited.
type remaining struct {
	deviations int16
	events     int32
}

// explorer runs schedules, level by level: a level has the schedules with one
// number of deviations.
type explorer struct {
	scope Scope
	// disks are those that every schedule begins with; nil are empty.
	disks []map[string]string
	steps atomic.Int64
	runs  atomic.Int64

	// mu guards what follows, which the workers share.
	mu sync.Mutex
	// visited holds the visited states by hash.
	visited   map[uint64]remaining
	found     map[Invariant]Found
	nextLevel []Schedule
	// stateLimitReached says that Scope.States were visited.
	stateLimitReached bool
}

func newExplorer(scope Scope) *explorer {
	e := &explorer{scope: scope.withDefaults(), visited: map[uint64]remaining{}, found: map[Invariant]Found{}}
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

// bootstrapDisks lets the members bootstrap a site, and gives their disks.
func bootstrapDisks(scope Scope) []map[string]string {
	scope.Wrap = nil
	c := newCluster(scope, nil, true)
	// No write is submitted here, so that those of the schedules begin at 1.
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

// newRun makes a run of a schedule from the beginning.
func (x *explorer) newRun(schedule Schedule) *run {
	c := newCluster(x.scope, x.disks, x.scope.Scenario.Bootstrap)
	c.scheduleScenario(x.scope.Scenario)
	return &run{explorer: x, cluster: c, schedule: schedule, windowEnd: windowNotBegun}
}

// run runs one schedule, continues from its last deviation without further ones,
// and collects the schedules with one more deviation.
func (x *explorer) run(schedule Schedule) {
	x.runs.Add(1)
	r := x.newRun(schedule)
	r.toEnd()
	c := r.cluster
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
	invariant := found.Violation.Invariant
	known, isKnown := x.found[invariant]
	if !isKnown || found.isShorter(known) {
		x.found[invariant] = found
	}
}

// isShorter says whether a violation has fewer deviations, or as many and
// fewer events, than another.
func (f Found) isShorter(other Found) bool {
	if len(f.Schedule) != len(other.Schedule) {
		return len(f.Schedule) < len(other.Schedule)
	}
	return f.Events < other.Events
}

// visit notes a visit to a state, and says whether it need not be explored: it
// was visited with as much left, or the limit of states is reached.
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

// covers says whether no less is left than in another visit.
func (r remaining) covers(other remaining) bool {
	return r.deviations >= other.deviations && r.events >= other.events
}
