package router

// budget is the token bucket of a service's second goes. Each first go earns
// a fifth; what it may save up is the router's share of the allowance. So no
// ten seconds anywhere see more than a fifth and the allowance.
type budget struct {
	tokens, most float64
}

const earned = 0.2

func (b *budget) earn() { b.tokens = min(b.most, b.tokens+earned) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// share is this router's part of the allowance of a service.
func (m *Machine) share() float64 {
	return float64(m.described.SecondGoes) / float64(max(1, len(m.described.Routers)))
}

func (m *Machine) budget(service string) *budget {
	b := m.budgets[service]
	if b == nil {
		b = &budget{tokens: m.share(), most: max(1, m.share())}
		m.budgets[service] = b
	}
	return b
}

// adaptBudgets follows a new description; a bucket is never filled by it.
func (m *Machine) adaptBudgets() {
	for _, b := range m.budgets {
		b.most = max(1, m.share())
		b.tokens = min(b.tokens, b.most)
	}
}
