// Package statetable holds the state that the controllers of a site replicate:
// its position, plain rows of an application, and the rows of a ledger where the
// application keeps one. Commands change it at the primary alone and leave rows
// of text, which is what disks and followers take.
package statetable

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
)

// Prefix is before every key of the replicated state on a disk.
const Prefix = "state/"

// Keys of rows, without Prefix.
const (
	positionKey = "position"
	// plainPrefix is before the names of plain rows.
	plainPrefix = "kept/"
)

// ErrUnknownRow says that neither the table nor its ledger knows a row's key.
var ErrUnknownRow = errors.New("unknown row")

// Command changes the state at the primary.
type Command interface{ Apply(t *Table) }

// Ledger is the part of the state that an application keeps in a form of its
// own. Its rows have keys of its own choice, which must differ from the table's.
type Ledger interface {
	// Keys lists the keys of all rows.
	Keys() []string
	// Encode gives the text of a row.
	Encode(key string) string
	// Decode takes the text of a row. For a key that is none of its own it gives
	// ErrUnknownRow.
	Decode(key, text string) error
	// RevisionNumber is a number by which an operator recognizes the state.
	RevisionNumber() uint64
	// SkipAhead gives the command with which a site continues from a copy that may
	// lack the last changes, in an epoch that an operator's recovery began.
	SkipAhead(epoch uint64) Command
}

// Table is the replicated state in memory.
type Table struct {
	// Position is that of the last change.
	Position protocol.Position
	// plain are the application's plain rows by name.
	plain  map[string]string
	ledger Ledger
	// dirty are the keys of the rows that the present change has written.
	dirty map[string]bool
}

// New makes an empty table. The ledger is empty too, or nil where the application
// keeps none.
func New(ledger Ledger) *Table {
	return &Table{plain: map[string]string{}, ledger: ledger, dirty: map[string]bool{}}
}

// Ledger is the ledger that New was given.
func (t *Table) Ledger() Ledger { return t.ledger }

// Row reads a plain row; one that is not there is empty.
func (t *Table) Row(name string) string { return t.plain[name] }

// RevisionNumber is that of the ledger, or 0 without one.
func (t *Table) RevisionNumber() uint64 {
	if t.ledger == nil {
		return 0
	}
	return t.ledger.RevisionNumber()
}

// Apply runs commands as the change at a position. It gives the rows that a disk
// and the followers take for it.
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

// MarkDirty says that a command has written the row of a key.
func (t *Table) MarkDirty(key string) { t.dirty[key] = true }

// Snapshot gives every row.
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

// emptyLedgerRows are in every snapshot, also where there is no ledger: disks
// that earlier releases wrote have them.
var emptyLedgerRows = map[string]string{"revision": `{"number":0,"text":""}`, "past": "null", "orders": "0"}

// Load reads rows into the state, as a follower or a restart does. Keys without
// Prefix are passed over.
func (t *Table) Load(rows map[string]string) error {
	for key, text := range rows {
		name, ours := strings.CutPrefix(key, Prefix)
		if !ours {
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

// set writes a plain row; an empty text removes it.
func (t *Table) set(name, text string) {
	if text == "" {
		delete(t.plain, name)
		return
	}
	t.plain[name] = text
}
