// Package invariants checks what must never happen on the own interface. It
// judges only what clients, runners and operators observed, and knows nothing
// of how the system works inside. docs/proofs.md lists the rules with what
// provokes each of them.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Rule names something that must never happen.
type Rule string

// The rules. docs/proofs.md names each of them.
const (
	// RuleTwice: a request that may not be repeated ran twice.
	RuleTwice Rule = "twice"
	// RuleDropRan: a request that was reported to its client as dropped ran.
	RuleDropRan Rule = "drop ran"
	// RuleTornAnswer: a client got something else than the runner's whole answer.
	RuleTornAnswer Rule = "torn answer"
	// RuleLeaver: a request reached a runner too long after it was known to leave.
	RuleLeaver Rule = "leaver"
	// RuleInForce: a request ran under an old revision too long after the next
	// one was accepted.
	RuleInForce Rule = "in force"
	// RuleSlipBack: a router sent under an older revision than before.
	RuleSlipBack Rule = "slip back"
	// RuleNoEffect: a rejected description took effect, or one revision number
	// stands for two descriptions.
	RuleNoEffect Rule = "no effect"
	// RuleTwoAccepted: one revision number was accepted twice.
	RuleTwoAccepted Rule = "two accepted"
	// RuleDescriptionLost: an accepted description is not there any more.
	RuleDescriptionLost Rule = "description lost"
	// RuleSecondGoes: retries exceed their share of the first attempts.
	RuleSecondGoes Rule = "second goes"
	// RuleTwoHolders: two lease holders gave orders too close to each other.
	RuleTwoHolders Rule = "two holders"
	// RuleRoom: a runner was told to hold more than its capacity.
	RuleRoom Rule = "room"
	// RuleStorePace: loads from the weight store exceed its rate limit.
	RuleStorePace Rule = "store pace"
	// RuleNotBack: a service did not recover in time.
	RuleNotBack Rule = "not back"
)

// The time limits of the rules.
const (
	// LeaverGraceMs is how long after it was learned that a runner leaves
	// requests may still reach it.
	LeaverGraceMs = 3000
	// InForceDeadlineMs is how long after a revision was accepted requests may
	// still run under the one before.
	InForceDeadlineMs = 2000
	// HolderGapMs is the least time between the orders of two lease holders.
	HolderGapMs = 3000
	// RetryWindowMs is the sliding window over which retries are counted.
	RetryWindowMs = 10_000
	// loadWindowMs is the sliding window of the weight store's rate limit.
	loadWindowMs = 10_000
)

// Violation is a rule that was broken.
type Violation struct {
	Rule Rule
	// AtMs is the time of the observation, on the clock of whoever reported it.
	AtMs int64
	// Detail says what was observed.
	Detail string
}

// String gives the violation as a line of text.
func (v Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", v.Rule, v.AtMs, v.Detail) }

// Checker records observations and reports the rules that they break. Its
// methods may be called by several goroutines; the exported figures may be read
// once all observers have ended.
type Checker struct {
	// WorstLeaverMs is the longest time between a runner's leaving being
	// learned and a request reaching it.
	WorstLeaverMs int64
	// WorstOldRevisionMs is the longest time between a revision's acceptance
	// and a request running under an older one.
	WorstOldRevisionMs int64
	// Executions counts how often a runner began to run a request.
	Executions int

	mu           sync.Mutex
	violations   []Violation
	requests     requestLog
	retries      retryLog
	descriptions descriptionLog
	runners      runnerLog
}

// New makes a checker that has observed nothing. At most loadsPer10s loads may
// begin at the weight store within ten seconds; retryAllowance is the number of
// retries of a service within ten seconds that is allowed beyond its share of
// the first attempts.
func New(loadsPer10s, retryAllowance int64) *Checker {
	return &Checker{
		requests:     newRequestLog(),
		retries:      newRetryLog(retryAllowance),
		descriptions: newDescriptionLog(),
		runners:      newRunnerLog(loadsPer10s),
	}
}

// report adds a violation; the caller holds the lock.
func (c *Checker) report(rule Rule, atMs int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, AtMs: atMs, Detail: fmt.Sprintf(format, args...)})
}

// ServiceNotRecovered records that a service did not answer again in time.
func (c *Checker) ServiceNotRecovered(atMs int64, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(RuleNotBack, atMs, "%s is not answered again in time", service)
}

// Violations gives all violations in order of time, with those that only the
// record as a whole shows.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append(slices.Clone(c.violations), c.retries.violations()...)
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return all
}
