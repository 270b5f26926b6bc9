package ledger

import (
	"strings"

	"myrtlewinch/internal/protocol"
)

// Item names a model, or an adapter of a model.
type Item struct{ Model, Adapter string }

// itemSeparator separates model and adapter in the text of an Item.
const itemSeparator = "+"

// String returns the model's name, followed by the adapter's name if there is one.
func (i Item) String() string {
	if i.Adapter == "" {
		return i.Model
	}
	return i.Model + itemSeparator + i.Adapter
}

// ParseItem parses the result of Item.String.
func ParseItem(name string) Item {
	model, adapter, _ := strings.Cut(name, itemSeparator)
	return Item{Model: model, Adapter: adapter}
}

// Holding is an item that a runner holds.
type Holding struct {
	// Size is the capacity that the item uses.
	Size int64 `json:"size"`
}

// OpenOrder is an order whose outcome is not known yet. A load uses capacity from the time it
// is recorded until a report of the runner names the order.
type OpenOrder struct {
	Number  uint64 `json:"number"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Size    int64  `json:"size"`
}

// Item returns what the order loads or unloads.
func (o *OpenOrder) Item() Item { return Item{Model: o.Model, Adapter: o.Adapter} }

// RunnerRow is the ledger's row of one runner.
type RunnerRow struct {
	Runner      string `json:"runner"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	// Capacity is the runner's total capacity, used or not, in the unit of Holding.Size. The
	// runner reports it as RunnerReport.Room.
	Capacity int64 `json:"room"`
	// Leaving is set only in rows that an earlier version of this program stored. It is still
	// read; new marks are in State.LeavingRunners.
	Leaving bool `json:"leaving,omitempty"`
	// Held holds the runner's items by the text of Item.String.
	Held map[string]Holding `json:"held"`
	// Order is the open order, or nil.
	Order *OpenOrder `json:"intent,omitempty"`
}

// UsedCapacity returns the capacity that is used by all items that are held, being loaded or
// being unloaded.
func (r *RunnerRow) UsedCapacity() int64 {
	var used int64
	for _, holding := range r.Held {
		used += holding.Size
	}
	if r.hasOpenOrder(protocol.ActionLoad) {
		used += r.Order.Size
	}
	return used
}

// hasOpenOrder reports whether an order with the action is open.
func (r *RunnerRow) hasOpenOrder(action string) bool {
	return r.Order != nil && r.Order.Action == action
}

// Holds reports whether the runner is certain to hold the item, which it is not while an order to
// unload it is open. The zero Item, which a request without a model has, is always held.
func (r *RunnerRow) Holds(item Item) bool {
	if item.Model == "" {
		return true
	}
	if _, ok := r.Held[item.String()]; !ok {
		return false
	}
	return !r.hasOpenOrder(protocol.ActionUnload) || r.Order.Item() != item
}

// Loading reports whether an order to load the item is open.
func (r *RunnerRow) Loading(item Item) bool {
	return r.hasOpenOrder(protocol.ActionLoad) && r.Order.Item() == item
}

// MatchesReport reports whether the row has exactly the items of a report.
func (r *RunnerRow) MatchesReport(report protocol.RunnerReport) bool {
	for _, held := range report.Held {
		if r.Held[Item{held.Model, held.Adapter}.String()].Size != held.Size {
			return false
		}
	}
	return len(report.Held) == len(r.Held)
}

// holdingsOf returns the items that a report lists.
func holdingsOf(report protocol.RunnerReport) map[string]Holding {
	holdings := map[string]Holding{}
	for _, held := range report.Held {
		holdings[Item{held.Model, held.Adapter}.String()] = Holding{Size: held.Size}
	}
	return holdings
}
