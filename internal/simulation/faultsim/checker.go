package faultsim

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"myrtlewinch/internal/errkind"
)

// Rule is the name of a rule of the platform. docs/proofs.md lists the rules.
type Rule string

// The rules that are checked.
const (
	// RuleTwice: a request that must not be repeated runs at most once.
	RuleTwice Rule = "TWICE"
	// RuleRefused: a request that was rejected as not executed does not run, unless it may be
	// retried.
	RuleRefused Rule = "REFUSED"
	// RuleRoute: a request runs only at runners of the service that its route names.
	RuleRoute Rule = "ROUTE"
	// RuleDrain: after the drain time, a draining runner gets no more requests.
	RuleDrain Rule = "DRAIN"
	// RuleConfig: accepted configurations, and no others, take effect, in order and in time, and
	// are not lost.
	RuleConfig Rule = "CONFIG"
	// RuleAck: a valid submission is acknowledged in time.
	RuleAck Rule = "ACK"
	// RuleBudget: retries stay within the retry budget.
	RuleBudget Rule = "BUDGET"
	// RuleLost: a router's graceful shutdown loses no request that it accepted long after the start
	// of the shutdown.
	RuleLost Rule = "LOST"
	// RuleOrder: clients get the chunks of a stream in order and completely.
	RuleOrder Rule = "ORDER"
	// RuleRecover: the site serves requests before the first fault, after all faults have ended,
	// and within a time limit after a disaster.
	RuleRecover Rule = "RECOVER"
	// RuleOne: only one controller at a time sends orders to runners.
	RuleOne Rule = "ONE"
	// RuleLimit: no order exceeds the capacity of its runner.
	RuleLimit Rule = "LIMIT"
	// RuleCeiling: the rate of loads from the weight store stays within its limit.
	RuleCeiling Rule = "CEILING"
	// RuleLookUp: routers look up each request that they send to a runner once, and a second time
	// only if it waits for a runner.
	RuleLookUp Rule = "LOOKUP"
	// RuleDenied: a request whose route exists in all versions is never rejected as unknown.
	RuleDenied Rule = "DENIED"
	// RuleAnswer: each request gets exactly one outcome in time, and a rejection that allows a
	// retry has a retry delay.
	RuleAnswer Rule = "ANSWER"
	// RuleRegister: the operators' submissions and reads are linearizable.
	RuleRegister Rule = "REGISTER"
)

// Violation is an event that violates a rule.
type Violation struct {
	Rule    Rule
	AtMs    int64
	Message string
}

func (v Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", v.Rule, v.AtMs, v.Message) }

// Checker records what clients, runners and operators observe, and checks it against the rules.
type Checker struct {
	// Runs counts the runs of requests that runners began.
	Runs int

	sim        *Simulation
	violations []Violation
	requests   requestRecords
	configs    configRecords
	// arrivals holds, by service, the arrivals of requests at its runners. requestTimesMs holds, by
	// service, the times at which clients sent requests that may be routed to it.
	arrivals       map[string][]arrival
	requestTimesMs map[string][]int64
	// listedDrainingMs is when the runner list first showed a runner as draining.
	listedDrainingMs map[string]int64
	// lastOrders holds the latest order by runner. fenceHolder holds, by fencing token, the
	// controller whose order last had it.
	lastOrders  map[string]orderRecord
	fenceHolder map[uint64]string
	// loadTimesMs are the times at which loads from the weight store began.
	loadTimesMs []int64
	// lookUps counts, by incarnation of a router, the look-ups of each request. sent holds, by
	// incarnation of a router, the requests that it sent to runners.
	lookUps map[string]map[uint64]int
	sent    map[string]map[string]bool
}

// requestRecords holds, by request, how often it ran and whether it reached a runner. If a request
// was rejected as not executed, it also holds the kind of the rejection.
type requestRecords struct {
	runs          map[string]int
	rejected      map[string]errkind.Kind
	reachedRunner map[string]bool
}

// configRecords holds what was observed of the versions of the configuration.
type configRecords struct {
	// usedBy holds, by incarnation of a router, the versions that it used.
	usedBy map[string][]configUse
	// firstUsedMs is when any router first used a version.
	firstUsedMs map[uint64]int64
	// acceptedMs is when an operator first got the response that a version was accepted.
	acceptedMs map[uint64]int64
	// successorOf holds, by base version, the accepted version that is based on it.
	successorOf map[uint64]uint64
	// rejectionReason holds, by rejected version, the kind of its rejection.
	rejectionReason map[uint64]string
}

// configUse is the first use of a version by a router.
type configUse struct {
	version uint64
	atMs    int64
}

// arrival is the arrival of a request at a runner. isRetry is true if the request reached a runner
// before.
type arrival struct {
	atMs    int64
	isRetry bool
}

// orderRecord is an order as a runner received it.
type orderRecord struct {
	atMs   int64
	holder string
	fence  uint64
}

func newChecker(sim *Simulation) *Checker {
	return &Checker{
		sim: sim,
		requests: requestRecords{
			runs: map[string]int{}, rejected: map[string]errkind.Kind{}, reachedRunner: map[string]bool{},
		},
		configs: configRecords{
			usedBy: map[string][]configUse{}, firstUsedMs: map[uint64]int64{}, acceptedMs: map[uint64]int64{},
			successorOf: map[uint64]uint64{}, rejectionReason: map[uint64]string{},
		},
		arrivals: map[string][]arrival{}, requestTimesMs: map[string][]int64{}, listedDrainingMs: map[string]int64{},
		lastOrders: map[string]orderRecord{}, fenceHolder: map[uint64]string{},
		lookUps: map[string]map[uint64]int{}, sent: map[string]map[string]bool{},
	}
}

// report records a violation.
func (c *Checker) report(rule Rule, atMs int64, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, Violation{rule, atMs, message})
	c.sim.logf("VIOLATION of %s: %s", rule, message)
}

// Violations checks the rules that need the complete run, and returns all violations in order of
// time.
func (c *Checker) Violations() []Violation {
	violations := slices.Clone(c.violations)
	for _, service := range services {
		if violation, isViolated := c.checkBudget(service); isViolated {
			violations = append(violations, violation)
		}
	}
	violations = append(violations, c.missingLookUps()...)
	sort.SliceStable(violations, func(i, j int) bool { return violations[i].AtMs < violations[j].AtMs })
	return violations
}

// missingLookUps returns a violation for each incarnation of a router that sent more requests to
// runners than it looked up.
func (c *Checker) missingLookUps() []Violation {
	var violations []Violation
	for _, router := range slices.Sorted(maps.Keys(c.sent)) {
		lookedUp, sent := len(c.lookUps[router]), len(c.sent[router])
		if lookedUp < sent {
			message := fmt.Sprintf("%s looked up %d requests but sent %d to runners", router, lookedUp, sent)
			violations = append(violations, Violation{RuleLookUp, c.sim.NowMs(), message})
		}
	}
	return violations
}

// incarnationName returns a name that distinguishes the incarnations of a daemon.
func incarnationName(n *node) string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }
