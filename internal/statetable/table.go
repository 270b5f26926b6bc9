// Package statetable holds the state that the controllers of a site replicate:
// its position, plain rows of an application, and the rows of a ledger if the
// application keeps one. Commands are applied only at the primary. They result in rows
// of text, which the disks store and the followers load.
package statetable

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
)

// Prefix begins every key of the replicated state on a disk.
const Prefix = "state/"

// Keys of rows, without Prefix.
const (
	positionKey = "position"
	// plainPrefix begins the key of a plain row, before its name.
	plainPrefix = "kept/"
)

// ErrUnknownRow is the error for a row whose key neither the table nor its ledger knows.
var ErrUnknownRow = errors.New("unknown row")

// Command changes the state at the primary.
type Command interface{ Apply(t *Table) }

// Ledger is the part of the state that an application keeps in data structures of its
// own. It chooses the keys of its rows, which must differ from the table's.
type Ledger interface {
	// Keys returns the keys of all rows.
	Keys() []string
	// Encode returns the text of a row.
	Encode(key string) string
	// Decode loads a row from its text. It returns ErrUnknownRow for a key that is not
	// its own.
	Decode(key, text string) error
	// RevisionNumber returns a number by which an operator recognizes the state.
	RevisionNumber() uint64
	// SkipAhead returns the command with which a site continues from a replica that may lack
	// the last changes. epoch is the epoch that an operator's recovery began.
	SkipAhead(epoch uint64) Command
}

// Table is the replicated state in memory.
type Table struct {
	// Position is the position of the last change.
	Position protocol.Position
	// plain has the application's plain rows by name.
	plain  map[string]string
	ledger Ledger
	// dirty are the keys of the rows that the current change has written.
	dirty map[string]bool
}

// New returns an empty table. The ledger must be empty too, or nil if the application
// keeps none.
func New(ledger Ledger) *Table {
	return &Table{plain: map[string]string{}, ledger: ledger, dirty: map[string]bool{}}
}

// Ledger returns the ledger that was passed to New.
func (t *Table) Ledger() Ledger { return t.ledger }

// Row returns a plain row, empty if there is none.
func (t *Table) Row(name string) string { return t.plain[name] }

// RevisionNumber returns the revision number of the ledger, or 0 without one.
func (t *Table) RevisionNumber() uint64 {
	if t.ledger == nil {
		return 0
	}
	return t.ledger.RevisionNumber()
}

// Apply applies commands as the change at a position. It returns the rows of the change
// that the disk must store and the followers must load.
func (t *Table) Apply(at protocol.Position, commands []Command) map[string]string {
	clear(t.dirty)
	for _, command := range commands {
		command.Apply(t)
	}
	t.Position = at
	t.MarkDirty(positionKey)
	rows := make(map[string]string, len(t.dirty))
	for key := range t.dirty {
		rows[Prefix+key] = t.encode(key)
	}
	return rows
}

// MarkDirty notes that a command has written the row with the key.
func (t *Table) MarkDirty(key string) { t.dirty[key] = true }

// Snapshot returns all rows.
func (t *Table) Snapshot() map[string]string {
	rows := map[string]string{Prefix + positionKey: t.encode(positionKey)}
	for name, text := range t.plain {
		rows[Prefix+plainPrefix+name] = text
	}
	for key, text := range emptyLedgerRows {
		rows[Prefix+key] = text
	}
	if t.ledger == nil {
		return rows
	}
	for _, key := range t.ledger.Keys() {
		rows[Prefix+key] = t.ledger.Encode(key)
	}
	return rows
}

// emptyLedgerRows are in every snapshot, even if there is no ledger, because disks of
// earlier releases have them.
var emptyLedgerRows = map[string]string{"revision": `{"number":0,"text":""}`, "past": "null", "orders": "0"}

// Load reads rows into the state, at a follower or after a restart. Keys without Prefix
// are ignored.
func (t *Table) Load(rows map[string]string) error {
	for key, text := range rows {
		name, isState := strings.CutPrefix(key, Prefix)
		if !isState {
			continue
		}
		if err := t.decode(name, text); err != nil {
			return errors.Wrap(err, key)
		}
	}
	return nil
}

func (t *Table) encode(key string) string {
	if key == positionKey {
		text, _ := json.Marshal(t.Position)
		return string(text)
	}
	if name, plain := strings.CutPrefix(key, plainPrefix); plain {
		return t.plain[name]
	}
	return t.ledger.Encode(key)
}

func (t *Table) decode(key, text string) error {
	if key == positionKey {
		return json.Unmarshal([]byte(text), &t.Position)
	}
	if name, plain := strings.CutPrefix(key, plainPrefix); plain {
		t.set(name, text)
		return nil
	}
	if t.ledger != nil {
		return t.ledger.Decode(key, text)
	}
	if _, known := emptyLedgerRows[key]; known {
		return nil
	}
	return ErrUnknownRow
}

// set writes a plain row. An empty text removes it.
func (t *Table) set(name, text string) {
	if text == "" {
		delete(t.plain, name)
		return
	}
	t.plain[name] = text
}
