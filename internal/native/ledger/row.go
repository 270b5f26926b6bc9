package ledger

import (
	"strings"

	"myrtlewinch/internal/protocol"
)

// Item names a model, or an adapter of a model.
type Item struct{ Model, Adapter string }

// itemSeparator is between model and adapter in the text of an Item.
const itemSeparator = "+"

// String is the model's name, with that of the adapter if there is one.
func (i Item) String() string {
	if i.Adapter == "" {
		return i.Model
	}
	return i.Model + itemSeparator + i.Adapter
}

// ParseItem reads what String wrote.
func ParseItem(name string) Item {
	model, adapter, _ := strings.Cut(name, itemSeparator)
	return Item{Model: model, Adapter: adapter}
}

// Holding is an item that a runner holds.
type Holding struct {
	// Size is the room that it takes.
	Size int64 `json:"size"`
}

// OpenOrder is an order whose outcome is not known yet. The room of a load is taken
// until a report of the runner names the order.
type OpenOrder struct {
	Number  uint64 `json:"number"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Size    int64  `json:"size"`
}

// Item is what the order loads or unloads.
func (o *OpenOrder) Item() Item { return Item{Model: o.Model, Adapter: o.Adapter} }

// RunnerRow is what the ledger knows of one runner.
type RunnerRow struct {
	Runner      string `json:"runner"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	// Room is all of the runner's room.
	Room int64 `json:"room"`
	// Leaving counts where a row on a disk has it. Nothing sets it any more: see
	// State.LeavingRunners.
	Leaving bool `json:"leaving,omitempty"`
	// Held are the items that it holds by their text.
	Held map[string]Holding `json:"held"`
	// Order is the one that is open, or nil.
	Order *OpenOrder `json:"intent,omitempty"`
}

// UsedRoom is the room of all items that are held, being loaded, or being unloaded.
func (r *RunnerRow) UsedRoom() int64 {
	var used int64
	for _, holding := range r.Held {
		used += holding.Size
	}
	if r.opens(protocol.ActionLoad) {
		used += r.Order.Size
	}
	return used
}

// opens says whether an order with the action is open.
func (r *RunnerRow) opens(action string) bool { return r.Order != nil && r.Order.Action == action }

// Holds says whether the item is held for certain. One that is being unloaded is not; no
// item at all always is.
func (r *RunnerRow) Holds(item Item) bool {
	if item.Model == "" {
		return true
	}
	if _, ok := r.Held[item.String()]; !ok {
		return false
	}
	return !r.opens(protocol.ActionUnload) || r.Order.Item() != item
}

// Loading says whether an order to load the item is open.
func (r *RunnerRow) Loading(item Item) bool {
	return r.opens(protocol.ActionLoad) && r.Order.Item() == item
}

// Matches says whether the row holds just what a report lists.
func (r *RunnerRow) Matches(report protocol.RunnerReport) bool {
	for _, held := range report.Held {
		if r.Held[Item{held.Model, held.Adapter}.String()].Size != held.Size {
			return false
		}
	}
	return len(report.Held) == len(r.Held)
}

// holdingsOf are the items that a report lists.
func holdingsOf(report protocol.RunnerReport) map[string]Holding {
	holdings := map[string]Holding{}
	for _, held := range report.Held {
		holdings[Item{held.Model, held.Adapter}.String()] = Holding{Size: held.Size}
	}
	return holdings
}
