// Package benchjournal reads the journal that the platform's bench writes: one
// JSON document for each run, with the bench's verdict on each day played. The bench
// is the platform's test harness; a day is one scenario of it.
package benchjournal

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Entry is the part of a journal entry that this project evaluates: one run, of
// one or several days, of one deployment.
type Entry struct {
	ID string `json:"id"`
	// Site names the deployment.
	Site string `json:"site"`
	// Finished is true if the run finished; otherwise Error says why it did not.
	Finished bool    `json:"ok"`
	Error    *string `json:"error"`
	Days     []Day   `json:"days"`
	// Digest is the beginning of the bench's report.
	Digest string `json:"digest"`
}

// Day is the bench's verdict on one day.
type Day struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Score is the day's score between 0 and 1; nil if the day defines no reference
	// values to score against.
	Score *float64 `json:"score"`
	// NetValue is the value earned minus the prices. The score is calculated from NetValue.
	NetValue float64 `json:"G"`
	// Rules counts the violations of each rule.
	Rules map[string]int `json:"rules"`
	// Fault is set if the software failed outright.
	Fault *string `json:"fault"`
	// PassedGate is true if the day passed the bench's gate; otherwise Shortfalls lists
	// what it lacked.
	PassedGate bool     `json:"gate"`
	Shortfalls []string `json:"short"`
	// MissedDuties counts the duties that the bench reports as missed.
	MissedDuties int `json:"missed"`
	// Served is the value earned as a fraction of the value due.
	Served float64 `json:"served"`
	// Parts are the weighted parts of the value before prices are deducted.
	Parts []Part `json:"parts"`
	// Prices are the costs that are deducted from the value.
	Prices []Price `json:"prices"`
}

// Part is one weighted part of the value, such as the part for the worst class.
type Part struct {
	Name          string
	Weight, Value float64
}

// UnmarshalJSON reads the bench's form, an array of name, weight and value.
func (p *Part) UnmarshalJSON(text []byte) error {
	return unmarshalTuple(text, &p.Name, &p.Weight, &p.Value)
}

// Price is one kind of cost.
type Price struct {
	Name string
	// Amount is the quantity, in a unit that depends on Name. Worth is the value that is
	// deducted for it.
	Amount, Worth float64
}

// UnmarshalJSON reads the bench's form, an array of name, amount and deducted value.
func (p *Price) UnmarshalJSON(text []byte) error {
	return unmarshalTuple(text, &p.Name, &p.Amount, &p.Worth)
}

// unmarshalTuple reads an array of exactly the given fields.
func unmarshalTuple(text []byte, fields ...any) error {
	var items []json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return err
	}
	if len(items) != len(fields) {
		return errors.Newf("an array has %d items instead of %d", len(items), len(fields))
	}
	for i, item := range items {
		if err := json.Unmarshal(item, fields[i]); err != nil {
			return err
		}
	}
	return nil
}

// Parse reads one entry of the journal.
func Parse(text []byte) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(text, &entry); err != nil {
		return Entry{}, errors.Wrap(err, "decoding the journal entry")
	}
	if entry.ID == "" || entry.Site == "" {
		return Entry{}, errors.New("journal entry: the id or the site is missing")
	}
	return entry, nil
}
