package storage

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// folderBytes returns the total size of all files of a folder.
func folderBytes(c *qt.C, folder string) (total int64) {
	entries, err := os.ReadDir(folder)
	c.Assert(err, qt.IsNil)
	for _, entry := range entries {
		info, err := entry.Info()
		c.Assert(err, qt.IsNil)
		total += info.Size()
	}
	return total
}

// For any number and size of changes, the folder takes no more than a full log and a few
// times the size of its rows, also while the file is replaced. A restart reads no more than
// that.
func TestFolderSizeIsBounded(t *testing.T) {
	for _, test := range []struct {
		name              string
		rowBytes, changes int
		maxBytes          int64
		replacesAllRows   bool
		// orders is the number of small rows that exist from the start and stay.
		orders int
	}{
		{"many small changes", 200, 9_000, 3 << 20, false, 0},
		{"a configuration with 1,400 routes", 54_209, 300, 3 << 20, false, 0},
		{"a configuration with 3,000 routes", 115_453, 150, 3 << 20, false, 0},
		{"the largest configuration", 750_000, 20, 6 << 20, false, 0},
		{"snapshots from another replica", 54_209, 150, 3 << 20, true, 0},
		{"after a day with 11,000 orders", 54_209, 150, 6 << 20, false, 11_000},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			folder := c.TempDir()
			var largest int64
			store, err := openWith(folder, "zagreb", nil, func(*os.File) error {
				largest = max(largest, folderBytes(c, folder))
				return nil
			})
			c.Assert(err, qt.IsNil)
			row := strings.Repeat("r", test.rowBytes)
			orders := map[string]string{}
			for n := range test.orders {
				orders[fmt.Sprintf("state/kept/taken/%016d", n)] = strings.Repeat("o", 64)
			}
			c.Assert(store.Save(Write{Set: orders}), qt.IsNil)
			for n := range test.changes {
				w := Write{Set: map[string]string{"state/map": row, "state/position": fmt.Sprint(n)}}
				if test.replacesAllRows {
					w.ClearPrefix = "state/"
				}
				c.Assert(store.Save(w), qt.IsNil)
				c.Assert(store.log.bytes <= max(maxLogBytes, 2*store.log.snapshotBytes), qt.IsTrue)
			}
			store.Close()
			t.Logf("at most %d bytes", largest)
			c.Assert(largest <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", largest))
			rows := reopen(c, folder)
			c.Assert(rows["state/position"], qt.Equals, fmt.Sprint(test.changes-1))
			c.Assert(len(rows["state/map"]), qt.Equals, test.rowBytes)
			c.Assert(rows["state/kept/taken/"+strings.Repeat("0", 16)] != "", qt.Equals, test.orders > 0)
		})
	}
}
