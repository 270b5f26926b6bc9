package endurance

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// rowBytes is the row of a configuration of 1,400 routes, as steward keeps it.
const rowBytes = 54_209

// What the messages between controllers take on the wire, in a frame of their
// own: an image holds each row once, changes hold the large row each time.
func TestMessageSizes(t *testing.T) {
	rows := func(bytes int) map[string]string {
		return map[string]string{"kept/map": strings.Repeat("r", bytes)}
	}
	changes := func(count, bytes int) (follow protocol.Append) {
		for n := range count {
			follow.Changes = append(follow.Changes, protocol.Change{At: protocol.Position{Epoch: 1, Number: uint64(n)}, Rows: rows(bytes)})
		}
		return follow
	}
	for _, test := range []struct {
		name    string
		body    protocol.Message
		count   int
		atMost  int
		tooMuch bool
	}{
		{"an image", protocol.Snapshot{Rows: rows(rowBytes)}, 1, 56_000, false},
		{"10 changes", changes(10, rowBytes), 1, 545_000, false},
		{"100 changes", changes(100, rowBytes), 1, 5_430_000, false},
		{"150 changes", changes(150, rowBytes), 1, 8_150_000, false},
		{"155 changes", changes(155, rowBytes), 1, 0, true},
		{"256 changes", changes(256, rowBytes), 1, 0, true},
		{"a batch of 64 changes", changes(1, rowBytes), 64, 3_480_000, false},
		{"a batch of 9 times 1 MiB", changes(19, rowBytes), 9, 0, true},
		{"an image of the largest configuration", protocol.Snapshot{Rows: rows(4 << 20 * 4 / 3)}, 1, 5_600_000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var batch []protocol.Envelope
			for range test.count {
				batch = append(batch, protocol.Envelope{Site: "s", To: "core-1", Body: test.body})
			}
			size, err := (&connection{}).size(batch)
			c.Assert(errors.Is(err, protocol.ErrFrame), qt.Equals, test.tooMuch)
			t.Logf("%d bytes", size)
			if !test.tooMuch {
				c.Assert(size <= test.atMost, qt.IsTrue, qt.Commentf("%d bytes", size))
			}
		})
	}
}

// The row that the other tests reckon with is what a real configuration makes.
func TestConfigurationSizes(t *testing.T) {
	for _, test := range []struct {
		routes       int
		text, packed int
	}{
		{100, 23_000, 3_400}, {largeRoutes, 310_000, 41_000}, {3000, 670_000, 88_000},
	} {
		c := qt.New(t)
		_, text := newRouteTable(1, test.routes).next()
		packed := len(protocol.Compress(text))
		t.Logf("%d routes: %d bytes, packed %d", test.routes, len(text), packed)
		c.Check(len(text) <= test.text && len(text) > test.text*9/10, qt.IsTrue)
		c.Check(packed <= test.packed && packed > test.packed*9/10, qt.IsTrue)
	}
}
