package process

import (
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
)

func imageOf(bytes int) protocol.Envelope {
	return protocol.Envelope{Body: protocol.Snapshot{Rows: map[string]string{"map": strings.Repeat("r", bytes)}}}
}

func followOf(changes, bytes int) protocol.Envelope {
	var follow protocol.Append
	for range changes {
		follow.Changes = append(follow.Changes, protocol.Change{Rows: map[string]string{"map": strings.Repeat("r", bytes)}})
	}
	return protocol.Envelope{Body: follow}
}

// A batch ends with the message that makes it large, so that no more than one
// large message is lost with the small ones, and the time for a call covers what
// the bytes take over a thin link.
func TestTakeBatch(t *testing.T) {
	small := protocol.Envelope{Body: protocol.Heartbeat{}}
	repeat := func(count int, e protocol.Envelope) (out []protocol.Envelope) {
		for range count {
			out = append(out, e)
		}
		return out
	}
	for _, test := range []struct {
		name string
		line []protocol.Envelope
		want []int
		// most is the longest time for a call.
		most time.Duration
	}{
		{"one", repeat(1, small), []int{1}, callMs * time.Millisecond},
		{"many small ones", repeat(batchMost+3, small), []int{batchMost, 3}, callMs * time.Millisecond},
		{"large ones each alone", repeat(3, imageOf(400_000)), []int{1, 1, 1}, 2166 * time.Millisecond},
		{"a large one behind small ones", append(repeat(5, small), imageOf(400_000), small), []int{6, 1}, 2166 * time.Millisecond},
		{"changes of some size", repeat(10, followOf(1, 54_209)), []int{5, 5}, 1951 * time.Millisecond},
		{"many changes in one", repeat(2, followOf(19, 54_209)), []int{1, 1}, 3216 * time.Millisecond},
		{"a map for routers", repeat(2, protocol.Envelope{Body: protocol.ConfigUpdate{Packed: make([]byte, 300_000)}}), []int{1, 1}, 2000 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			line := ringbuffer.New[protocol.Envelope](lineMost)
			for _, e := range test.line {
				c.Assert(line.Push(e), qt.IsTrue)
			}
			var got []int
			var most time.Duration
			for waiting, _ := line.Stats(); waiting > 0; waiting, _ = line.Stats() {
				batch, ok := takeBatch(line)
				c.Assert(ok, qt.IsTrue)
				got = append(got, len(batch))
				most = max(most, callTime(batch))
			}
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(most, qt.Equals, test.most)
			line.Close()
			_, ok := takeBatch(line)
			c.Assert(ok, qt.IsFalse)
		})
	}
}

// A peer that reads nothing holds a line up for no longer than a call may
// take, also where the batch is more than the buffers on the way hold.
func TestCallToAPeerThatReadsNothing(t *testing.T) {
	c := qt.New(t)
	here, there := net.Pipe()
	defer there.Close()
	open := newRoute(here)
	defer open.close()
	c.Assert(open.call([]protocol.Envelope{imageOf(1 << 20)}, time.Millisecond), qt.IsNotNil)
}
