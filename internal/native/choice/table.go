// Package choice compiles the service map and the holding ledger into choice
// tables: for each thing a request may name, the runners that may get it.
package choice

import (
	"sort"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// Key is what a request names.
type Key struct{ Service, Model, Adapter string }

func (k Key) String() string { return k.Service + "/" + k.Model + "/" + k.Adapter }

// Item is the model or adapter that the key needs loaded.
func (k Key) Item() ledger.Item { return ledger.Item{Model: k.Model, Adapter: k.Adapter} }

// Entry is the answer for a key.
type Entry struct {
	Holders []protocol.Holder
	Loading bool
}

// Table holds the lines that were asked for, compiled when first asked for
// after a change.
type Table struct {
	at      protocol.Position
	entries map[Key]Entry
}

// Invalidate empties the table, since the ledger or the description changed.
func (t *Table) Invalidate() { t.entries = nil }

// LookUp gives the line for a key.
func (t *Table) LookUp(key Key, d *description.Description, at protocol.Position, s *ledger.State, soft protocol.Hints) Entry {
	if t.entries == nil || t.at != at {
		t.entries, t.at = map[Key]Entry{}, at
	}
	line, ok := t.entries[key]
	if !ok {
		line = compile(key, d, s, soft)
		t.entries[key] = line
	}
	return line
}

func compile(key Key, d *description.Description, s *ledger.State, soft protocol.Hints) Entry {
	var line Entry
	if d == nil {
		return line
	}
	service, ok := d.Service(key.Service)
	if !ok {
		return line
	}
	dark := map[string]bool{}
	for _, name := range soft.Dark {
		dark[name] = true
	}
	for _, runner := range d.Runners {
		row := s.Rows[runner.Name]
		if row == nil || !service.Uses(runner.Pool) || s.Leaving(row) || dark[runner.Name] {
			continue
		}
		model := ledger.Item{Model: key.Model}
		line.Loading = line.Loading || row.Loading(model) || row.Loading(key.Item())
		// An adapter is of use only where its model is held too.
		if !row.Holds(model) || key.Adapter != "" && !row.Holds(key.Item()) {
			continue
		}
		line.Holders = append(line.Holders, protocol.Holder{
			Runner: runner.Name, Incarnation: row.Incarnation, Address: row.Address,
			Zone: runner.Zone, Burden: soft.Burdens[runner.Name],
		})
	}
	sort.Slice(line.Holders, func(i, j int) bool { return line.Holders[i].Runner < line.Holders[j].Runner })
	return line
}
