package storage

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// messageBytes is protocol.MaxMessageBytes; that package imports this one.
const messageBytes = 8 << 20

// A row as large as a message can carry is read back after the folder was opened again, from a
// change in the log and from a snapshot.
func TestLargestRowsAreReadBack(t *testing.T) {
	text, err := json.Marshal(map[string]string{"row": strings.Repeat("a", messageBytes)})
	qt.Assert(t, err, qt.IsNil)
	for _, key := range []string{changeKey(1), snapshotKey, "row"} {
		t.Run(key, func(t *testing.T) {
			c := qt.New(t)
			folder := t.TempDir()
			store, err := Open(folder, "zagreb")
			c.Assert(err, qt.IsNil)
			c.Assert(store.Save(Write{Set: map[string]string{key: string(text)}}), qt.IsNil)
			store.Close()
			store, err = Open(folder, "zagreb")
			c.Assert(err, qt.IsNil)
			defer store.Close()
			c.Assert(store.Rows()[key] == string(text), qt.IsTrue)
		})
	}
}
