package controller

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// padded returns a configuration text with this many bytes.
func padded(version, bytes int) string {
	text := fmt.Sprintf("version %d", version)
	return text + strings.Repeat(" ", bytes-len(text))
}

// incompressible returns a configuration text that has this many bytes when it is compressed.
func incompressible(c *qt.C, version, packedBytes int) string {
	const attempts = 10
	random := rand.New(rand.NewPCG(1, 1))
	raw := make([]byte, packedBytes)
	for i := range raw {
		raw[i] = byte(random.IntN(256))
	}
	head := fmt.Sprintf("version %d #", version)
	size := packedBytes - len(head)
	for range attempts {
		text := head + string(raw[:size])
		missing := packedBytes - len(protocol.Compress(text))
		if missing == 0 {
			return text
		}
		size += missing
	}
	c.Fatalf("no text has %d bytes when compressed", packedBytes)
	return ""
}

// Guards against review/1: an acknowledged configuration above 8 MiB was applied by no router, and
// gone after a kill of all controllers. What is accepted can be read back from its row, and what
// is too large is rejected before anything is written.
func TestAcceptedConfigurationsCanBeReadBack(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name     string
		text     string
		accepted bool
	}{
		{"text below the bound", padded(1, protocol.MaxTextBytes-1), true},
		{"text at the bound", padded(1, protocol.MaxTextBytes), true},
		{"text above the bound", padded(1, protocol.MaxTextBytes+1), false},
		{"compressed, below the bound", incompressible(c, 1, protocol.MaxPackedBytes-1), true},
		{"compressed, at the bound", incompressible(c, 1, protocol.MaxPackedBytes), true},
		{"compressed, above the bound", incompressible(c, 1, protocol.MaxPackedBytes+1), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h, controller := newPendingPrimary(nil)
			fixture := submissionFixture{h, controller}
			fixture.submit(newSubmission(1, 0, test.text))
			if !test.accepted {
				c.Assert(h.answered[1], qt.DeepEquals, []string{string(errkind.TooLarge)})
				c.Assert(h.writes, qt.HasLen, 0)
				c.Assert(h.Row(configRow), qt.Equals, "")
				return
			}
			c.Assert(h.writes, qt.HasLen, 1)
			h.endWrite(true)
			c.Assert(h.answered[1], qt.DeepEquals, []string{"accepted 1"})
			read, err := readActiveConfig(h.Row(configRow), controller.format)
			c.Assert(err, qt.IsNil)
			c.Assert(read.text == test.text, qt.IsTrue)
			c.Assert(len(h.Row(configRow)) <= protocol.MaxMessageBytes/2, qt.IsTrue, qt.Commentf("room in a snapshot"))
		})
	}
}

// The row of the largest configuration, a full history and as much again as the history fit into
// one message, which a snapshot is.
func TestLargestConfigurationFitsInSnapshot(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	packed := make([]byte, protocol.MaxPackedBytes)
	for i := range packed {
		packed[i] = byte(random.IntN(256))
	}
	rows := map[string]string{configRow: encodeRow(storedConfig{math.MaxUint64, packed})}
	for number := range uint64(2 * maxHistory) {
		rows[successorKey(math.MaxUint64-number)] = encodeRow(successor{math.MaxUint64, protocol.Digest("")})
	}
	var message bytes.Buffer
	c.Assert(gob.NewEncoder(&message).Encode(protocol.Snapshot{Rows: rows}), qt.IsNil)
	c.Assert(message.Len() < protocol.MaxMessageBytes, qt.IsTrue, qt.Commentf("%d bytes", message.Len()))
}
