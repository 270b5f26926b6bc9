package faultsim

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"myrtlewinch/internal/errkind"
)

// Rule names a rule of the platform, as docs/proofs.md lists them.
type Rule string

// The rules that are checked.
const (
	RuleTwice    Rule = "TWICE"
	RuleRefused  Rule = "REFUSED"
	RuleRoute    Rule = "ROUTE"
	RuleDrain    Rule = "DRAIN"
	RuleConfig   Rule = "CONFIG"
	RuleAck      Rule = "ACK"
	RuleBudget   Rule = "BUDGET"
	RuleLost     Rule = "LOST"
	RuleOrder    Rule = "ORDER"
	RuleRecover  Rule = "RECOVER"
	RuleOne      Rule = "ONE"
	RuleLimit    Rule = "LIMIT"
	RuleCeiling  Rule = "CEILING"
	RuleLookUp   Rule = "LOOKUP"
	RuleDenied   Rule = "DENIED"
	RuleAnswer   Rule = "ANSWER"
	RuleRegister Rule = "REGISTER"
)

// Violation is an event that a rule forbids.
type Violation struct {
	Rule    Rule
	AtMs    int64
	Message string
}

func (v Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", v.Rule, v.AtMs, v.Message) }

// Checker records what clients, runners and operators observe, and checks it
// against the rules.
type Checker struct {
	// Runs counts the runs that runners began.
	Runs int

	sim        *Simulation
	violations []Violation
	requests   requestRecords
	configs    configRecords
	// arrivals and requestsMs hold, by service, the arrivals at its runners and
	// when requests that may go there were sent.
	arrivals   map[string][]arrival
	requestsMs map[string][]int64
	// listedDrainingMs is when the list first showed a runner as draining.
	listedDrainingMs map[string]int64
	// lastOrders are, by runner, the latest orders; fenceHolder is who used a
	// fencing token first.
	lastOrders  map[string]orderRecord
	fenceHolder map[uint64]string
	// loadsMs are the times of loads from the weight store.
	loadsMs []int64
	// lookUps counts, by incarnation of a router, the look-ups of each request;
	// sent holds the requests that it sent to runners.
	lookUps map[string]map[uint64]int
	sent    map[string]map[string]bool
}

// requestRecords hold by request how often it ran, whether and how it was
// rejected, and whether a runner was reached.
type requestRecords struct {
	runs          map[string]int
	rejected      map[string]errkind.Kind
	reachedRunner map[string]bool
}

// configRecords hold what is known of versions of the configuration.
type configRecords struct {
	// usedBy are, by incarnation of a router, the versions that it used.
	usedBy map[string][]configUse
	// firstUsedMs is when any router first used a version.
	firstUsedMs map[uint64]int64
	// acceptedMs is when an operator was notified that a version is accepted.
	acceptedMs map[uint64]int64
	// successorOf is the accepted version that is based on another.
	successorOf map[uint64]uint64
	// refusedReason is why an operator was notified that a version has no effect.
	refusedReason map[uint64]string
}

// configUse is when a router first used a version.
type configUse struct {
	version uint64
	atMs    int64
}

// arrival is a request reaching a runner; isRetry says that it reached one
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
			successorOf: map[uint64]uint64{}, refusedReason: map[uint64]string{},
		},
		arrivals: map[string][]arrival{}, requestsMs: map[string][]int64{}, listedDrainingMs: map[string]int64{},
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

// Violations checks what only the whole run shows, and lists all violations in
// order of time.
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

// missingLookUps reports routers that sent more requests than they looked up.
func (c *Checker) missingLookUps() []Violation {
	var violations []Violation
	for _, router := range slices.Sorted(maps.Keys(c.sent)) {
		lookedUp, sent := len(c.lookUps[router]), len(c.sent[router])
		if lookedUp < sent {
			message := fmt.Sprintf("%s looked up %d requests and sent %d", router, lookedUp, sent)
			violations = append(violations, Violation{RuleLookUp, c.sim.NowMs(), message})
		}
	}
	return violations
}

// incarnationName tells the incarnations of a daemon apart.
func incarnationName(n *node) string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }
