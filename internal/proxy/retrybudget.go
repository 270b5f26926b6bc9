package proxy

import "myrtlewinch/internal/dataplane"

const (
	// limitMargin is the part of a site-wide limit that the routers use together. The
	// rest allows for routers that restart with a new state, and for the delay with which
	// a router learns how many there are.
	limitMargin = 0.9
	// initialBudgetPart is the part of its capacity that a new budget holds. A router
	// that restarts often must not get a full budget each time.
	initialBudgetPart = 1.0 / 4
)

// retryBudget limits the retries of a service at this router: a token bucket
// to which each first attempt adds the retry ratio of the site and from which
// each retry takes one token.
type retryBudget struct{ dataplane.TokenBucket }

// newRetryBudget returns a budget with an initial part of its capacity.
func newRetryBudget(siteCapacity, routers int) *retryBudget {
	capacity := budgetCapacity(siteCapacity, routers)
	return &retryBudget{dataplane.NewTokenBucket(capacity*initialBudgetPart, capacity)}
}

// budgetCapacity returns this router's share of the site's capacity.
func budgetCapacity(siteCapacity, routers int) float64 {
	return max(1, limitMargin*float64(siteCapacity)/float64(max(1, routers)))
}

// deposit adds the part of a token that a first attempt earns, given the site's retry
// ratio.
func (b *retryBudget) deposit(ratio float64) { b.Deposit(limitMargin * ratio) }

// resize applies a new number of routers. It never adds tokens.
func (b *retryBudget) resize(siteCapacity, routers int) {
	b.Resize(budgetCapacity(siteCapacity, routers))
}

// retryBudget returns the budget of a service, and creates it on first use.
func (m *Machine) retryBudget(service string) *retryBudget {
	b := m.retryBudgets[service]
	if b == nil {
		b = newRetryBudget(m.settings.Bounds.ExtraTries, m.routerCount)
		m.retryBudgets[service] = b
	}
	return b
}
