package disk

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

func write(number uint64, key, value string) protocol.DiskWrite {
	return protocol.DiskWrite{Number: number, Write: storage.Write{Set: map[string]string{key: value}}}
}

func TestPendingWritesAreTakenInOrder(t *testing.T) {
	d := New("core-1")
	qt.Check(t, d.Enqueue(write(1, "a", "first")), qt.IsTrue)
	qt.Check(t, d.Enqueue(write(2, "a", "second")), qt.IsFalse)
	qt.Check(t, d.Pending(), qt.Equals, 2)
	qt.Check(t, d.Dequeue().Number, qt.Equals, uint64(1))
	qt.Check(t, d.Dequeue().Number, qt.Equals, uint64(2))
	qt.Check(t, d.Pending(), qt.Equals, 0)
	qt.Check(t, d.Contents, qt.HasLen, 0)
}

func TestLosePowerKeepsAPrefixOfThePendingWrites(t *testing.T) {
	for durable, contents := range []map[string]string{{}, {"a": "1"}, {"a": "1", "b": "2"}} {
		d := New("core-1")
		d.Enqueue(write(1, "a", "1"))
		d.Enqueue(write(2, "b", "2"))
		d.LosePower(durable)
		qt.Check(t, d.Contents, qt.DeepEquals, contents)
		qt.Check(t, d.Pending(), qt.Equals, 0)
	}
}

func TestWipeMakesANewIncarnation(t *testing.T) {
	d := New("core-1")
	before := d.Incarnation()
	d.Contents["a"], d.IsFull = "1", true
	d.Enqueue(write(1, "b", "2"))
	d.Wipe("core-1")
	qt.Check(t, d.Incarnation(), qt.Not(qt.Equals), before)
	qt.Check(t, d.Contents, qt.HasLen, 0)
	qt.Check(t, d.Pending(), qt.Equals, 0)
	qt.Check(t, d.IsHealthy(), qt.IsTrue)
}

func TestSyncsTakeLongerOnASlowDisk(t *testing.T) {
	d := New("core-1")
	random := rand.New(rand.NewSource(1))
	for range 100 {
		ms := d.DrawSyncMs(random)
		qt.Assert(t, ms >= 1 && ms <= maxSyncMs, qt.IsTrue)
	}
	d.SlowMs = 50
	qt.Check(t, d.DrawSyncMs(random) > 50, qt.IsTrue)
	qt.Check(t, d.IsHealthy(), qt.IsFalse)
	d.Repair()
	qt.Check(t, d.IsHealthy(), qt.IsTrue)
}
