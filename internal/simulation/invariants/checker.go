// Package invariants checks the rules of the native interface: what must never
// happen. It uses only what clients, runners and operators observed and what
// daemons sent and received, and nothing of the daemons' internal state.
// docs/proofs.md lists the rules with the faults that could break each of them.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Rule names something that must never happen.
type Rule string

// The rules. docs/proofs.md refers to them by their text.
const (
	// RuleExecutedTwice: a request that is not idempotent ran twice.
	RuleExecutedTwice Rule = "twice"
	// RuleRejectedButExecuted: a request ran although its client was promised that
	// it did not run.
	RuleRejectedButExecuted Rule = "drop ran"
	// RuleInvalidResponse: a client got something other than the runner's complete
	// response.
	RuleInvalidResponse Rule = "torn answer"
	// RuleSentToLeavingRunner: a request reached a runner more than LeavingGraceMs
	// after a daemon learned that the runner is leaving.
	RuleSentToLeavingRunner Rule = "leaver"
	// RuleStaleRevision: a request ran under a stale revision more than
	// StaleRevisionLimitMs after a newer one was accepted.
	RuleStaleRevision Rule = "in force"
	// RuleRevisionRegressed: a router sent a request under an older revision
	// than the one under which an earlier request of the same router ran.
	RuleRevisionRegressed Rule = "slip back"
	// RuleDescriptionConflict: a rejected description took effect, or two
	// descriptions have the same revision number.
	RuleDescriptionConflict Rule = "no effect"
	// RuleRevisionAcceptedTwice: one revision number was accepted twice.
	RuleRevisionAcceptedTwice Rule = "two accepted"
	// RuleDescriptionLost: an accepted description was lost.
	RuleDescriptionLost Rule = "description lost"
	// RuleRetryBudget: the retries of a service exceed its retry budget.
	RuleRetryBudget Rule = "second goes"
	// RuleOverlappingHolders: runners received orders of two lease holders less than
	// HolderGapMs apart.
	RuleOverlappingHolders Rule = "two holders"
	// RuleCapacity: a runner was ordered to hold more than its capacity.
	RuleCapacity Rule = "room"
	// RuleStoreRateLimit: loads from the weight store exceed its rate limit.
	RuleStoreRateLimit Rule = "store pace"
	// RuleNotRecovered: a service did not recover in time.
	RuleNotRecovered Rule = "not back"
)

// The time limits of the rules.
const (
	// LeavingGraceMs is how long requests may still reach a runner after a daemon
	// learned that it is leaving.
	LeavingGraceMs = 3000
	// StaleRevisionLimitMs is how long requests may still run under older revisions
	// after a revision was accepted.
	StaleRevisionLimitMs = 2000
	// HolderGapMs is the minimum time between the orders of two lease holders.
	HolderGapMs = 3000
	// RetryWindowMs is the sliding window over which retries are counted.
	RetryWindowMs = 10_000
	// loadWindowMs is the sliding window of the weight store's rate limit.
	loadWindowMs = 10_000
)

// Violation is an observed violation of a rule.
type Violation struct {
	Rule Rule
	// AtMs is the time of the observation, on the clock of whoever reported it.
	AtMs int64
	// Detail describes the observation.
	Detail string
}

// String returns the violation as a line of text.
func (v Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", v.Rule, v.AtMs, v.Detail) }

// Checker records observations and reports the rules that they break. Its
// methods may be called by several goroutines; the exported fields may be read
// once all observers have ended.
type Checker struct {
	// WorstLeavingRunnerMs is the longest time after a daemon learned that a runner is
	// leaving at which a request reached that runner.
	WorstLeavingRunnerMs int64
	// WorstStaleRevisionMs is the longest time after the acceptance of a revision at
	// which a request ran under an older one.
	WorstStaleRevisionMs int64
	// Executions counts how often a runner began to run a request.
	Executions int

	mu           sync.Mutex
	violations   []Violation
	requests     requestLog
	retries      retryLog
	descriptions descriptionLog
	runners      runnerLog
}

// New returns a checker without observations. At most loadsPer10s loads from the
// weight store may begin within ten seconds. In the same time each service may
// have retryAllowance retries in addition to retryRatio of its first attempts.
func New(loadsPer10s, retryAllowance int64) *Checker {
	return &Checker{
		requests:     newRequestLog(),
		retries:      newRetryLog(retryAllowance),
		descriptions: newDescriptionLog(),
		runners:      newRunnerLog(loadsPer10s),
	}
}

// report adds a violation. The caller must hold mu.
func (c *Checker) report(rule Rule, atMs int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, AtMs: atMs, Detail: fmt.Sprintf(format, args...)})
}

// ServiceNotRecovered records that a service did not respond again in time.
func (c *Checker) ServiceNotRecovered(atMs int64, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(RuleNotRecovered, atMs, "%s did not recover in time", service)
}

// Violations returns all violations in order of time. They include the
// violations of the retry budget, which are computed from all recorded
// attempts.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append(slices.Clone(c.violations), c.retries.violations()...)
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return all
}
