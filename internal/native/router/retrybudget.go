package router

import "myrtlewinch/internal/dataplane"

// retryRatio is the number of tokens that each first attempt adds to the retry budget of its
// service. Together with the capacities of the budgets it limits the retries of a service in any
// ten seconds to a fifth of its requests plus the description's allowance.
const retryRatio = 0.2

// retryAllowance returns this router's share of the allowance of retries that the description
// grants each service.
func (m *Machine) retryAllowance() float64 {
	return float64(m.description.RetryAllowance) / float64(max(1, len(m.description.Routers)))
}

// retryBudget returns the budget of a service. It is created on first use.
func (m *Machine) retryBudget(service string) *dataplane.TokenBucket {
	budget := m.retryBudgets[service]
	if budget == nil {
		created := dataplane.NewTokenBucket(m.retryAllowance(), max(1, m.retryAllowance()))
		budget = &created
		m.retryBudgets[service] = budget
	}
	return budget
}

// resizeRetryBudgets adapts the capacities of the budgets to a new description.
func (m *Machine) resizeRetryBudgets() {
	for _, budget := range m.retryBudgets {
		budget.Resize(max(1, m.retryAllowance()))
	}
}
