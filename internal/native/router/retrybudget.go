package router

// retryBudget is the token bucket of a service's second goes. Each first go earns
// a fifth; what it may save up is the router's share of the allowance. So no
// ten seconds anywhere see more than a fifth and the allowance.
type retryBudget struct {
	tokens, capacity float64
}

const retryRatio = 0.2

func (b *retryBudget) deposit() { b.tokens = min(b.capacity, b.tokens+retryRatio) }

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryAllowance is this router's part of the allowance of a service.
func (m *Machine) retryAllowance() float64 {
	return float64(m.description.SecondGoes) / float64(max(1, len(m.description.Routers)))
}

func (m *Machine) retryBudget(service string) *retryBudget {
	b := m.retryBudgets[service]
	if b == nil {
		b = &retryBudget{tokens: m.retryAllowance(), capacity: max(1, m.retryAllowance())}
		m.retryBudgets[service] = b
	}
	return b
}

// resizeRetryBudgets follows a new description; a bucket is never filled by it.
func (m *Machine) resizeRetryBudgets() {
	for _, b := range m.retryBudgets {
		b.capacity = max(1, m.retryAllowance())
		b.tokens = min(b.tokens, b.capacity)
	}
}
