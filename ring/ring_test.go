package ring

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRing(t *testing.T) {
	c := qt.New(t)
	r := New[int](2)
	c.Assert(r.Put(1), qt.IsTrue)
	c.Assert(r.Put(2), qt.IsTrue)
	c.Assert(r.Put(3), qt.IsFalse, qt.Commentf("a full ring refuses"))
	got, ok := r.Take()
	c.Assert(ok, qt.IsTrue)
	c.Assert(got, qt.Equals, 1)
	c.Assert(r.Put(4), qt.IsTrue)
	r.Close()
	c.Assert(r.Put(5), qt.IsFalse, qt.Commentf("a closed ring refuses"))
	for _, want := range []int{2, 4} {
		got, ok = r.Take()
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, want)
	}
	_, ok = r.Take()
	c.Assert(ok, qt.IsFalse)
	_, dropped := r.Burden()
	c.Assert(dropped, qt.Equals, uint64(2))
}
