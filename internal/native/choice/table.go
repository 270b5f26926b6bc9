// Package choice compiles the description and the ledger into tables: for each key that a
// request may name, the runners to which it may be sent.
package choice

import (
	"slices"
	"sort"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// Key is what a request names. Model and adapter may be empty.
type Key struct{ Service, Model, Adapter string }

// String is the key in messages between daemons.
func (k Key) String() string { return k.Service + "/" + k.Model + "/" + k.Adapter }

// Item is the model or adapter that a runner must hold for the key.
func (k Key) Item() ledger.Item { return ledger.Item{Model: k.Model, Adapter: k.Adapter} }

// Entry is what the table has for a key.
type Entry struct {
	// Holders are the runners that hold what the key needs, by name.
	Holders []protocol.Holder
	// Loading says that a runner is loading the item or its model.
	Loading bool
}

// Table holds the entries that were looked up since the last change. The zero value is
// empty.
type Table struct {
	// at is the position of the state that the entries were compiled from.
	at      protocol.Position
	entries map[Key]Entry
}

// Invalidate empties the table. It must be called when anything but the state's position
// tells of a change, such as new hints.
func (t *Table) Invalidate() { t.entries = nil }

// LookUp gives the entry for a key, compiled when it is first asked for. The ledger is as
// of the position.
func (t *Table) LookUp(key Key, described *description.Description, at protocol.Position, state *ledger.State, hints protocol.Hints) Entry {
	if t.entries == nil || t.at != at {
		t.entries, t.at = map[Key]Entry{}, at
	}
	entry, ok := t.entries[key]
	if !ok {
		entry = compile(key, described, state, hints)
		t.entries[key] = entry
	}
	return entry
}

// compile works out an entry. Runners that leave or are silent are left out.
func compile(key Key, described *description.Description, state *ledger.State, hints protocol.Hints) Entry {
	var entry Entry
	if described == nil {
		return entry
	}
	service, ok := described.Service(key.Service)
	if !ok {
		return entry
	}
	model := ledger.Item{Model: key.Model}
	for _, runner := range described.Runners {
		row := state.Rows[runner.Name]
		if row == nil || !service.Uses(runner.Pool) || state.Leaving(row) || slices.Contains(hints.Dark, runner.Name) {
			continue
		}
		entry.Loading = entry.Loading || row.Loading(model) || row.Loading(key.Item())
		// An adapter is of use only where its model is held too.
		if row.Holds(model) && (key.Adapter == "" || row.Holds(key.Item())) {
			entry.Holders = append(entry.Holders, protocol.Holder{
				Runner: runner.Name, Incarnation: row.Incarnation, Address: row.Address,
				Zone: runner.Zone, Burden: hints.Burdens[runner.Name],
			})
		}
	}
	sort.Slice(entry.Holders, func(i, j int) bool { return entry.Holders[i].Runner < entry.Holders[j].Runner })
	return entry
}
