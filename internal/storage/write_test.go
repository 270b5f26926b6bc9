package storage

import (
	"fmt"
	"maps"
	"math/rand"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Merged writes result in the same rows as the original writes in sequence.
func TestMergedWritesHaveTheSameEffect(t *testing.T) {
	c := qt.New(t)
	for seed := range int64(3000) {
		random := rand.New(rand.NewSource(seed))
		prefixes := []string{"", "", "state/", "state/order/", "other/"}
		key := func() string {
			return []string{"state/", "state/order/", "other/", ""}[random.Intn(4)] + fmt.Sprint(random.Intn(3))
		}
		draw := func() Write {
			w := Write{ClearPrefix: prefixes[random.Intn(len(prefixes))], Set: map[string]string{}}
			for range random.Intn(4) {
				w.Set[key()] = []string{"", "x", "y"}[random.Intn(3)]
			}
			return w
		}
		want := map[string]string{}
		for range 6 {
			want[key()] = "old"
		}
		got := maps.Clone(want)
		var writes []Write
		for range 1 + random.Intn(6) {
			w := draw()
			writes = append(writes, w)
			w.Apply(want)
		}
		for _, w := range mergeAll(writes) {
			w.Apply(got)
		}
		c.Assert(got, qt.DeepEquals, want, qt.Commentf("seed %d: %v", seed, writes))
	}
}

// Writes that are saved together share one sync if they can be merged.
func TestMergedWritesShareOneSync(t *testing.T) {
	for _, test := range []struct {
		name   string
		writes []Write
		syncs  int
		want   string
	}{
		{"one write", []Write{set("state/a", "1")}, 1, "1"},
		{"several rows", []Write{set("state/a", "1"), set("state/b", "2"), set("state/a", "3")}, 1, "32"},
		{"a row set and removed", []Write{set("state/a", "1"), set("state/a", "")}, 1, ""},
		{"a snapshot after changes", []Write{set("state/a", "1"), set("witness", "w"), {ClearPrefix: "state/", Set: map[string]string{"state/b": "2"}}}, 1, "2w"},
		{"changes after a snapshot", []Write{{ClearPrefix: "state/", Set: map[string]string{"state/b": "2"}}, set("state/a", "1")}, 1, "12"},
		{"snapshots that clear different prefixes", []Write{{ClearPrefix: "state/", Set: map[string]string{"state/b": "2"}}, {ClearPrefix: "other/", Set: map[string]string{"other/x": "2"}}}, 2, "2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			folder := c.TempDir()
			syncs := 0
			store, err := openWith(folder, "zagreb", nil, func(*os.File) error { syncs++; return nil })
			c.Assert(err, qt.IsNil)
			syncs = 0
			c.Assert(store.Save(test.writes...), qt.IsNil)
			store.Close()
			c.Assert(syncs, qt.Equals, test.syncs)
			rows := reopen(c, folder)
			c.Assert(rows["state/a"]+rows["state/b"]+rows["witness"], qt.Equals, test.want)
		})
	}
}
