// Package invariants is what must never happen, checked from what senders and
// runners saw. It knows nothing of how the system works inside.
package invariants

import (
	"fmt"
	"sort"
	"sync"
)

// The bounds that the rules speak of.
const (
	LeaverGraceMs     = 3000
	InForceDeadlineMs = 2000
	HolderGapMs       = 3000
	RetryWindowMs     = 10_000
	retryRatio        = 0.2
)

// Violation is a rule that was broken.
type Violation struct {
	Rule   string
	AtMs   int64
	Detail string
}

func (b Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", b.Rule, b.AtMs, b.Detail) }

// Checker takes down what was seen.
type Checker struct {
	mu               sync.Mutex
	violations       []Violation
	executions       map[string]*execution
	outcomes         map[string]ending
	submissions      map[string]*submissions
	markers          map[string]*Marker
	markerOfRevision map[uint64]string
	leavingLearnedMs map[string]int64
	acceptedMs       map[uint64]int64
	newestRevision   map[string]uint64
	orders           []order
	loads            []int64
	arrivedAttempts  map[string][]attempt
	loadLimit        int64
	// SecondGoes is the allowance of second goes.
	retryAllowance int64
	// Worst figures, for measurements.
	WorstLeaverMs      int64
	WorstOldRevisionMs int64
	Executions         int
	// limits is what the newest description allows, before is the pace of
	// the one it followed.
	limits            *limits
	previousLoadLimit int64
	// sentAttempts are the goes that routers wrote, arrived or not.
	sentAttempts map[string][]attempt
	sentBefore   map[string]bool
}

type execution struct {
	count      int
	repeatable bool
	atMs       int64
}

// submissions counts the times a sender sent one id; it was told that the id is
// dropped only once it was told so of each.
type submissions struct {
	open       int
	notDropped bool
}

// Marker is what a description that was handed over can be told by: a service
// that no other description has.
type Marker struct {
	// Outcome is what its operator was told: "accepted", "no effect" or nothing.
	Outcome string
	// Revision is the number under which it was seen in effect, or nought.
	Revision      uint64
	FirstServedMs int64
}

type ending struct {
	kind string
	drop bool
	atMs int64
}

type order struct {
	atMs   int64
	holder string
	epoch  uint64
	runner string
}

type attempt struct {
	atMs  int64
	retry bool
}

// New makes an empty book for a store's pace and an allowance of second goes.
func New(loadsPer10s, secondGoes int64) *Checker {
	return &Checker{
		executions: map[string]*execution{}, outcomes: map[string]ending{}, leavingLearnedMs: map[string]int64{}, acceptedMs: map[uint64]int64{},
		newestRevision: map[string]uint64{}, arrivedAttempts: map[string][]attempt{}, loadLimit: loadsPer10s, retryAllowance: secondGoes,
		submissions: map[string]*submissions{}, markers: map[string]*Marker{}, markerOfRevision: map[uint64]string{},
		sentAttempts: map[string][]attempt{}, sentBefore: map[string]bool{},
	}
}

func (c *Checker) report(rule string, atMs int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, atMs, fmt.Sprintf(format, args...)})
}

// RequestArrived notes that a request reached a runner, run or not.
func (c *Checker) RequestArrived(atMs int64, service, id, runner, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if learnedMs, leaving := c.leavingLearnedMs[runner+"/"+incarnation]; leaving {
		c.WorstLeaverMs = max(c.WorstLeaverMs, atMs-learnedMs)
		if atMs-learnedMs > LeaverGraceMs {
			c.report("leaver", atMs, "%s reached %s %d ms after it was marked", id, runner, atMs-learnedMs)
		}
	}
	_, second := c.executions["go/"+service+"/"+id]
	c.executions["go/"+service+"/"+id] = &execution{}
	c.arrivedAttempts[service] = append(c.arrivedAttempts[service], attempt{atMs, second})
}

// RequestSent notes that a router wrote a request to a runner's stream.
func (c *Checker) RequestSent(atMs int64, router, service, id string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := service + "/" + id
	c.sentAttempts[service] = append(c.sentAttempts[service], attempt{atMs, c.sentBefore[key]})
	c.sentBefore[key] = true
	if revision < c.newestRevision[router] {
		c.report("slip back", atMs, "%s sent under revision %d after a runner saw %d from it", router, revision, c.newestRevision[router])
	}
}

// RequestStarted notes that a runner began to run a request.
func (c *Checker) RequestStarted(atMs int64, service, id, runner string, repeatable bool, router string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Executions++
	key := service + "/" + id
	r := c.executions[key]
	if r == nil {
		r = &execution{repeatable: repeatable, atMs: atMs}
		c.executions[key] = r
	}
	r.count++
	if r.count > 1 && !repeatable {
		c.report("twice", atMs, "%s ran again on %s", key, runner)
	}
	if end, told := c.outcomes[key]; told && end.drop {
		c.report("drop ran", atMs, "%s ran on %s after it was dropped as %q", key, runner, end.kind)
	}
	c.newestRevision[router] = max(c.newestRevision[router], revision)
	c.markerRan(atMs, service, router, revision)
	for number, acceptedMs := range c.acceptedMs {
		if revision < number {
			c.WorstOldRevisionMs = max(c.WorstOldRevisionMs, atMs-acceptedMs)
		}
		if revision < number && atMs-acceptedMs > InForceDeadlineMs {
			c.report("in force", atMs, "%s ran under revision %d, %d ms after %d was accepted", key, revision, atMs-acceptedMs, number)
		}
	}
}

// RequestSubmitted notes that a sender sent an id; it may send one several times.
func (c *Checker) RequestSubmitted(service, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := service + "/" + id
	if c.submissions[key] == nil {
		c.submissions[key] = &submissions{}
	}
	// What follows from a sender's own repeat is a first go again.
	delete(c.executions, "go/"+key)
	delete(c.sentBefore, key)
	c.submissions[key].open++
	// Who asks again after a drop wants it to run.
	delete(c.outcomes, key)
}

// RequestEnded notes how a request ended for its sender.
func (c *Checker) RequestEnded(atMs int64, service, id, kind string, drop bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := service + "/" + id
	if s := c.submissions[key]; s != nil {
		s.open--
		s.notDropped = s.notDropped || !drop
		if drop && (s.open > 0 || s.notDropped) {
			return
		}
	}
	c.outcomes[key] = ending{kind, drop, atMs}
	if r := c.executions[key]; drop && r != nil && r.count > 0 {
		c.report("drop ran", atMs, "%s was dropped as %q and had run", key, kind)
	}
}

// InvalidAnswer notes that a sender got what is not the runner's whole answer.
func (c *Checker) InvalidAnswer(atMs int64, service, id, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report("torn answer", atMs, "%s/%s: %s", service, id, what)
}

// LeavingLearned notes when the system could first read that a runner is leaving.
func (c *Checker) LeavingLearned(atMs int64, runner, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.leavingLearnedMs[runner+"/"+incarnation]; !known {
		c.leavingLearnedMs[runner+"/"+incarnation] = atMs
	}
}

// RevisionAccepted notes that an operator was told that a revision is in force.
func (c *Checker) RevisionAccepted(atMs int64, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, twice := c.acceptedMs[number]; twice {
		c.report("two accepted", atMs, "revision %d was accepted twice", number)
	}
	c.acceptedMs[number] = atMs
}

// DescriptionLost notes that an accepted revision is not there any more.
func (c *Checker) DescriptionLost(atMs int64, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report("description lost", atMs, "%s", what)
}

// ServiceNotRecovered notes that a service did not come back in time.
func (c *Checker) ServiceNotRecovered(atMs int64, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report("not back", atMs, "%s is not answered again in time", service)
}

// OrderReceived notes an order as a runner got it.
func (c *Checker) OrderReceived(atMs int64, runner, holder string, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.orders); n > 0 {
		last := c.orders[n-1]
		if last.holder != holder && atMs-last.atMs < HolderGapMs {
			c.report("two holders", atMs, "%s ordered %s %d ms after %s did", holder, runner, atMs-last.atMs, last.holder)
		}
	}
	c.orders = append(c.orders, order{atMs, holder, epoch, runner})
}

// LoadStarted notes that a runner began to load from the weight store.
func (c *Checker) LoadStarted(atMs int64, runner, item string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads = append(c.loads, atMs)
	within, pace := 0, c.loadLimitAt(atMs)
	for _, at := range c.loads {
		if at > atMs-10_000 {
			within++
		}
	}
	if int64(within) > pace {
		c.report("store pace", atMs, "%d loads within 10 s, %s of %s the last", within, item, runner)
	}
}

// CapacityAssigned notes what a runner was told to hold.
func (c *Checker) CapacityAssigned(atMs int64, runner string, taken, room int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if told := c.limits; told != nil && atMs > told.atMs+InForceDeadlineMs && told.capacities[runner] > 0 {
		room = min(room, told.capacities[runner])
	}
	if taken > room {
		c.report("room", atMs, "%s was told to hold %d of %d", runner, taken, room)
	}
}

// Violations checks what only the whole shows, and lists all in order of time.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]Violation{}, c.violations...)
	for _, seen := range []map[string][]attempt{c.arrivedAttempts, c.sentAttempts} {
		for service := range seen {
			if at, seconds, firsts, broken := c.worstWindow(seen[service]); broken {
				out = append(out, Violation{"second goes", at, fmt.Sprintf("%s: %d second goes and %d first within 10 s", service, seconds, firsts)})
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMs < out[j].AtMs })
	return out
}

// worstWindow slides ten seconds over the goes of a service.
func (c *Checker) worstWindow(goes []attempt) (atMs int64, seconds, firsts int, broken bool) {
	sort.SliceStable(goes, func(i, j int) bool { return goes[i].atMs < goes[j].atMs })
	from, s, f := 0, 0, 0
	for _, g := range goes {
		if g.retry {
			s++
		} else {
			f++
		}
		for goes[from].atMs <= g.atMs-RetryWindowMs {
			if goes[from].retry {
				s--
			} else {
				f--
			}
			from++
		}
		if s > seconds {
			atMs, seconds, firsts = g.atMs, s, f
		}
		if float64(s) > retryRatio*float64(f)+float64(c.retryAllowance) {
			return g.atMs, s, f, true
		}
	}
	return atMs, seconds, firsts, false
}

// WorstRetryWindow gives the most second goes that ten seconds saw, by service.
func (c *Checker) WorstRetryWindow(service string) (seconds, firsts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, seconds, firsts, _ = c.worstWindow(c.arrivedAttempts[service])
	return seconds, firsts
}

// OrderCount counts the orders that runners got.
func (c *Checker) OrderCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.orders)
}
