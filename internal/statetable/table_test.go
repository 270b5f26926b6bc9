package statetable

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// A follower that takes each change, and one that takes a snapshot, hold what the
// primary holds.
func TestFollowerWithoutALedgerEqualsPrimary(t *testing.T) {
	primary, follower, restored := New(nil), New(nil), New(nil)
	changes := [][]Command{
		{Begin{}, Put{Rows: map[string]string{"map": "one", "runner": "r"}}},
		{Put{Rows: map[string]string{"map": "two", "runner": ""}}},
	}
	for n, commands := range changes {
		rows := primary.Apply(protocol.Position{Epoch: 1, Number: uint64(n + 1)}, commands)
		qt.Assert(t, follower.Load(rows), qt.IsNil)
	}
	qt.Assert(t, restored.Load(primary.Snapshot()), qt.IsNil)
	for _, copied := range []*Table{follower, restored} {
		qt.Assert(t, copied.Snapshot(), qt.DeepEquals, primary.Snapshot())
		qt.Assert(t, copied.Position, qt.Equals, primary.Position)
		qt.Assert(t, copied.Row("map"), qt.Equals, "two")
		qt.Assert(t, copied.Row("runner"), qt.Equals, "")
	}
}

// Rows of a disk that the table does not know are an error, except those that
// earlier releases wrote on every disk.
func TestLoadOfUnknownRows(t *testing.T) {
	cases := []struct {
		about string
		rows  map[string]string
		fails bool
	}{
		{"a key of another kind", map[string]string{"record": "{}"}, false},
		{"the rows of an empty ledger", map[string]string{"state/revision": `{"number":0,"text":""}`, "state/past": "null", "state/orders": "0"}, false},
		{"an unknown row", map[string]string{"state/odd": "1"}, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			err := New(nil).Load(test.rows)
			qt.Assert(t, err != nil, qt.Equals, test.fails, qt.Commentf("%v", err))
		})
	}
}
