package proxy

// retryBudget is the token bucket of a service's second sends. Each first send
// earns a part; what may be saved is the router's share of the allowance.
type retryBudget struct{ tokens, capacity float64 }

// limitMargin is how much of what the bounds allow is used: routers may come back
// with a new bucket, and their count trails.
const limitMargin = 0.9

func (b *retryBudget) deposit(ratio float64) { b.tokens = min(b.capacity, b.tokens+limitMargin*ratio) }

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// resize sets the share; a bucket is never filled by it.
func (b *retryBudget) resize(extra, routers int) {
	b.capacity = max(1, limitMargin*float64(extra)/float64(max(1, routers)))
	b.tokens = min(b.tokens, b.capacity)
}

// newRetryBudget begins with a quarter: a router that restarts must not bring a
// full bucket each time.
func newRetryBudget(extra, routers int) *retryBudget {
	b := &retryBudget{}
	b.resize(extra, routers)
	b.tokens = b.capacity / 4
	return b
}

func (m *Machine) retryBudget(service string) *retryBudget {
	b := m.retryBudgets[service]
	if b == nil {
		b = newRetryBudget(m.settings.Bounds.ExtraTries, m.routerCount)
		m.retryBudgets[service] = b
	}
	return b
}
