package router

import "myrtlewinch/internal/dataplane"

// retryRatio is what each first attempt adds to the retry budget of its
// service. Together with the capacities it bounds the retries of a service in
// any ten seconds to a fifth of its requests and the description's allowance.
const retryRatio = 0.2

// retryAllowance is this router's share of the description's allowance of
// retries, which each service has.
func (m *Machine) retryAllowance() float64 {
	return float64(m.description.RetryAllowance) / float64(max(1, len(m.description.Routers)))
}

// retryBudget returns the budget of a service, and creates it on first use.
func (m *Machine) retryBudget(service string) *dataplane.TokenBucket {
	budget := m.retryBudgets[service]
	if budget == nil {
		created := dataplane.NewTokenBucket(m.retryAllowance(), max(1, m.retryAllowance()))
		budget = &created
		m.retryBudgets[service] = budget
	}
	return budget
}

// resizeRetryBudgets applies a new description.
func (m *Machine) resizeRetryBudgets() {
	for _, budget := range m.retryBudgets {
		budget.Resize(max(1, m.retryAllowance()))
	}
}
