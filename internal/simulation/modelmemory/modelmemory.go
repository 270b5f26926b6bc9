// Package modelmemory models the memory of a simulated runner: the models and
// adapters that it has loaded, and the orders that change them. One order is
// carried out at a time.
package modelmemory

import (
	"maps"
	"slices"

	"myrtlewinch/internal/protocol"
)

// Memory is the memory of one incarnation of a runner.
type Memory struct {
	// Models holds the loaded models, each with its loaded adapters.
	Models map[string]map[string]bool
	// OnDisk holds the models whose weights are on the runner's disk, from which
	// they are loaded faster than from the weight store. Incarnations of runners
	// on one machine may share it.
	OnDisk map[string]bool
	// AcceptedOrders counts the orders that were accepted.
	AcceptedOrders int64
	// IsBusy is true while an accepted order is being carried out.
	IsBusy bool
}

// New returns an empty memory of a runner that has the weights of the models in
// onDisk on its disk.
func New(onDisk map[string]bool) Memory {
	return Memory{Models: map[string]map[string]bool{}, OnDisk: onDisk}
}

// HeldModels returns the loaded models and adapters in order of name.
func (m *Memory) HeldModels() []protocol.HeldModel {
	held := make([]protocol.HeldModel, 0, len(m.Models))
	for _, name := range slices.Sorted(maps.Keys(m.Models)) {
		held = append(held, protocol.HeldModel{Name: name, Version: 1, Adapters: slices.Sorted(maps.Keys(m.Models[name]))})
	}
	return held
}

// Accept decides whether an order is accepted. An accepted order is counted and
// makes the memory busy until Complete. An order must expect the current number of
// accepted orders, unless ignoreCount is set.
func (m *Memory) Accept(order protocol.RunnerOrder, ignoreCount bool) protocol.OrderOutcome {
	if m.IsBusy || order.Expected != m.AcceptedOrders && !ignoreCount {
		return protocol.OutcomeBusy
	}
	adapters, isLoaded := m.Models[order.Model]
	if order.Adapter != "" {
		if !isLoaded {
			return protocol.OutcomeRejected
		}
		isLoaded = adapters[order.Adapter]
	}
	if order.Load == isLoaded {
		return protocol.OutcomeAlreadyInEffect
	}
	m.AcceptedOrders++
	m.IsBusy = true
	return protocol.OutcomeAccepted
}

// Complete ends an accepted order: its load or unload takes effect.
func (m *Memory) Complete(order protocol.RunnerOrder) {
	m.IsBusy = false
	switch {
	case order.Load && order.Adapter == "":
		m.Models[order.Model], m.OnDisk[order.Model] = map[string]bool{}, true
	case order.Load:
		m.Models[order.Model][order.Adapter] = true
	case order.Adapter == "":
		delete(m.Models, order.Model)
	default:
		delete(m.Models[order.Model], order.Adapter)
	}
}
