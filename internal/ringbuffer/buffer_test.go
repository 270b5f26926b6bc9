package ringbuffer

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRing(t *testing.T) {
	c := qt.New(t)
	r := New[int](2)
	c.Assert(r.Push(1), qt.IsTrue)
	c.Assert(r.Push(2), qt.IsTrue)
	c.Assert(r.Push(3), qt.IsFalse, qt.Commentf("a full ring refuses"))
	got, ok := r.Pop()
	c.Assert(ok, qt.IsTrue)
	c.Assert(got, qt.Equals, 1)
	c.Assert(r.Push(4), qt.IsTrue)
	r.Close()
	c.Assert(r.Push(5), qt.IsFalse, qt.Commentf("a closed ring refuses"))
	for _, want := range []int{2, 4} {
		got, ok = r.Pop()
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, want)
	}
	_, ok = r.Pop()
	c.Assert(ok, qt.IsFalse)
	_, dropped := r.Stats()
	c.Assert(dropped, qt.Equals, uint64(2))
}

// The room grows up to the bound, whatever the place of the first is, and the
// order stays.
func TestRingGrows(t *testing.T) {
	for _, taken := range []int{0, 1, firstSlots - 1, firstSlots, 3 * firstSlots} {
		c := qt.New(t)
		const most = 5*firstSlots + 3
		r := New[int](most)
		next := 0
		for range taken {
			c.Assert(r.Push(-1), qt.IsTrue)
			_, ok := r.Pop()
			c.Assert(ok, qt.IsTrue)
		}
		c.Assert(len(r.slots), qt.Equals, firstSlots)
		for r.Push(next) {
			next++
		}
		c.Assert(next, qt.Equals, most)
		for want := range most {
			got, ok := r.Pop()
			c.Assert(ok, qt.IsTrue)
			c.Assert(got, qt.Equals, want)
		}
	}
}
