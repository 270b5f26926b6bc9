package proxy

// budget is the token bucket of a service's second sends. Each first send
// earns a part; what may be saved is the router's share of the allowance.
type budget struct{ tokens, most float64 }

// margin is how much of what the bounds allow is used: routers may come back
// with a new bucket, and their count trails.
const margin = 0.9

func (b *budget) earn(ratio float64) { b.tokens = min(b.most, b.tokens+margin*ratio) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// size sets the share; a bucket is never filled by it.
func (b *budget) size(extra, routers int) {
	b.most = max(1, margin*float64(extra)/float64(max(1, routers)))
	b.tokens = min(b.tokens, b.most)
}

// newBudget begins with a quarter: a router that restarts must not bring a
// full bucket each time.
func newBudget(extra, routers int) *budget {
	b := &budget{}
	b.size(extra, routers)
	b.tokens = b.most / 4
	return b
}

func (m *Machine) budget(service string) *budget {
	b := m.budgets[service]
	if b == nil {
		b = newBudget(m.set.Bounds.ExtraTries, m.routers)
		m.budgets[service] = b
	}
	return b
}
