package proxy

const (
	// limitMargin is the part of a site-wide limit that the routers use
	// together. The rest covers routers that restart with a new state, and
	// the delay with which a router learns how many there are.
	limitMargin = 0.9
	// initialBudgetPart is the part of its capacity that a new budget holds: a
	// router that restarts often must not get a full one each time.
	initialBudgetPart = 1.0 / 4
)

// retryBudget limits the retries of a service at this router: a token bucket
// to which each first attempt adds the retry ratio of the site and from which
// each retry takes one token.
type retryBudget struct{ tokens, capacity float64 }

// newRetryBudget returns a budget with an initial part of its capacity.
func newRetryBudget(siteCapacity, routers int) *retryBudget {
	b := &retryBudget{}
	b.resize(siteCapacity, routers)
	b.tokens = b.capacity * initialBudgetPart
	return b
}

// deposit adds what a first attempt earns.
func (b *retryBudget) deposit(ratio float64) {
	b.tokens = min(b.capacity, b.tokens+limitMargin*ratio)
}

// withdraw takes one token and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// resize sets the capacity to this router's share of the site's. It never
// adds tokens.
func (b *retryBudget) resize(siteCapacity, routers int) {
	b.capacity = max(1, limitMargin*float64(siteCapacity)/float64(max(1, routers)))
	b.tokens = min(b.tokens, b.capacity)
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
