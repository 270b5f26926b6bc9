// Package choice computes from the description and the ledger which runners may serve a
// request.
package choice

import (
	"slices"
	"sort"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// Key is the service, model and adapter of a request. Model and Adapter may be empty.
type Key struct{ Service, Model, Adapter string }

// String returns the key as it is written in messages between daemons.
func (k Key) String() string { return k.Service + "/" + k.Model + "/" + k.Adapter }

// Item returns the model or adapter that a runner must hold for the key.
func (k Key) Item() ledger.Item { return ledger.Item{Model: k.Model, Adapter: k.Adapter} }

// Entry is the table's entry for a key.
type Entry struct {
	// Holders are the runners that hold what the key needs, sorted by name.
	Holders []protocol.Holder
	// Loading is true while a runner is loading the item or its model.
	Loading bool
}

// Table caches the entries that were looked up since the last change of the state. The zero
// value is an empty table.
type Table struct {
	// at is the position of the state from which the entries were computed.
	at      protocol.Position
	entries map[Key]Entry
}

// Invalidate empties the table. It must be called after changes that leave the state's position
// unchanged, for example new hints.
func (t *Table) Invalidate() { t.entries = nil }

// LookUp returns the entry for a key. It computes the entry at the first call. at is the position
// of the ledger state.
func (t *Table) LookUp(key Key, described *description.Description, at protocol.Position, state *ledger.State, hints protocol.Hints) Entry {
	if t.entries == nil || t.at != at {
		t.entries, t.at = map[Key]Entry{}, at
	}
	entry, ok := t.entries[key]
	if !ok {
		entry = computeEntry(key, described, state, hints)
		t.entries[key] = entry
	}
	return entry
}

// computeEntry computes an entry. Leaving and unresponsive runners are left out.
func computeEntry(key Key, described *description.Description, state *ledger.State, hints protocol.Hints) Entry {
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
		// A runner can use an adapter only if it holds the adapter's model too.
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
