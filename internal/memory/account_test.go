package memory

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"myrtlewinch/internal/threads"
)

const testLimit = 16 << 20

func TestLimitFor(t *testing.T) {
	for _, test := range []struct {
		memoryMb int
		want     int64
	}{
		{0, LimitFor(defaultMemoryMb)}, {-1, LimitFor(defaultMemoryMb)}, {1, minLimitBytes}, {64, minLimitBytes},
	} {
		qt.Check(t, LimitFor(test.memoryMb), qt.Equals, test.want)
	}
	for memoryMb := 96; memoryMb <= 1024; memoryMb += 8 {
		limit := LimitFor(memoryMb)
		qt.Check(t, limit+baseMb<<20 < int64(memoryMb)<<20*7/10, qt.IsTrue, qt.Commentf("%d MB", memoryMb))
		qt.Check(t, limit*classLimits[Bodies].share/shareDenominator >= 2*4<<20, qt.IsTrue, qt.Commentf("%d MB", memoryMb))
	}
}

// Whatever others take, an ordinary request, its response and a message find the reserve.
func TestOthersCannotTakeTheReserve(t *testing.T) {
	for _, test := range []struct {
		class Class
		want  bool
	}{
		{Connections, false}, {Heads, false}, {Bodies, false}, {Requests, true}, {Responses, true}, {Messages, true},
	} {
		a := NewAccount(testLimit)
		for _, class := range []Class{Connections, Bodies, Heads} {
			for a.Take(class, 1<<10) {
			}
		}
		qt.Check(t, a.Take(test.class, 64<<10), qt.Equals, test.want, qt.Commentf("class %d", test.class))
	}
}

// No sequence of calls gives out more than the limits, and all that is returned can be taken
// again.
func TestAccountKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(testLimit)
		now := time.Unix(0, 0)
		a.now = func() time.Time { return now }
		var open []*Reservation
		drawBytes := rapid.Int64Range(1, testLimit/3)
		drawClass := rapid.IntRange(0, int(classCount)-1)
		choose := func() int { return rapid.IntRange(0, len(open)-1).Draw(t, "reservation") }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				r := a.Open()
				if rapid.Bool().Draw(t, "evictable") {
					r.AllowEviction(r.Close)
				}
				open = append(open, r)
			},
			"grow": func(t *rapid.T) {
				if len(open) > 0 {
					open[choose()].Grow(Class(drawClass.Draw(t, "class")), drawBytes.Draw(t, "bytes"))
				}
			},
			"keep": func(t *rapid.T) {
				if len(open) > 0 {
					open[choose()].Keep()
				}
			},
			"close": func(t *rapid.T) {
				if len(open) > 0 {
					open[choose()].Close()
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for class, used := range a.usedBy {
					sum += used
					if used < 0 || used > a.ClassLimit(Class(class)) {
						t.Fatalf("class %d uses %d", class, used)
					}
				}
				if sum != a.Used() || sum > a.limit {
					t.Fatalf("%d used of %d, sum %d", a.Used(), a.limit, sum)
				}
			},
		})
		for _, r := range open {
			r.Close()
		}
		if a.Used() != 0 || a.evictable.Len() != 0 {
			t.Fatalf("%d used, %d evictable at the end", a.Used(), a.evictable.Len())
		}
	})
}

func TestOldReservationsAreEvictedForOthers(t *testing.T) {
	c := qt.New(t)
	a := NewAccount(testLimit)
	now := time.Unix(0, 0)
	a.now = func() time.Time { return now }
	var evicted []string
	open := func(name string) *Reservation {
		r := a.Open()
		r.AllowEviction(func() { evicted = append(evicted, name); r.Close() })
		c.Assert(r.Grow(Bodies, 4<<20), qt.IsTrue)
		return r
	}
	kept := open("kept")
	c.Assert(kept.Keep(), qt.IsTrue)
	now = now.Add(time.Millisecond)
	first := open("first")
	c.Assert(a.Take(Bodies, 4<<20), qt.IsFalse)
	c.Assert(evicted, qt.HasLen, 0, qt.Commentf("none is old enough"))
	now = now.Add(evictionAge)
	c.Assert(a.Take(Bodies, 4<<20), qt.IsFalse)
	c.Assert(evicted, qt.DeepEquals, []string{"first"})
	c.Assert(first.Keep(), qt.IsFalse)
	c.Assert(first.Evicted(), qt.IsTrue)
	c.Assert(a.Take(Bodies, 4<<20), qt.IsTrue)
	kept.Close()
	a.Release(Bodies, 4<<20)
	c.Assert(a.Used(), qt.Equals, int64(0))
}

// EvictOldest leaves the messages of other daemons alone.
func TestEvictOldestPassesOverMessages(t *testing.T) {
	c := qt.New(t)
	a := NewAccount(testLimit)
	now := time.Unix(0, 0)
	a.now = func() time.Time { return now }
	var evicted []Class
	for _, class := range []Class{Messages, Requests, Responses} {
		r := a.Open()
		r.AllowEviction(func() { evicted = append(evicted, class) })
		c.Assert(r.Grow(class, 10), qt.IsTrue)
	}
	a.EvictOldest()
	c.Assert(evicted, qt.HasLen, 0)
	now = now.Add(evictionAge)
	for range 3 {
		a.EvictOldest()
	}
	c.Assert(evicted, qt.DeepEquals, []Class{Requests, Responses})
}

func TestReadAll(t *testing.T) {
	text := bytes.Repeat([]byte("herbarium"), 30_000)
	full := int64(len(text))
	for _, test := range []struct {
		name        string
		length, max int64
		want        error
	}{
		{"known length", full, full, nil},
		{"unknown length", -1, full, nil},
		{"larger maximum", -1, 4 * full, nil},
		{"declared above the maximum", full, full - 1, ErrTooLarge},
		{"above the maximum", -1, full - 1, ErrTooLarge},
		{"shorter than declared", full + 1, full + 1, io.ErrUnexpectedEOF},
		{"does not fit", -1, testLimit, ErrFull},
	} {
		for _, reader := range []io.Reader{bytes.NewReader(text), iotest.OneByteReader(bytes.NewReader(text)), iotest.DataErrReader(bytes.NewReader(text))} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				a := NewAccount(testLimit)
				if test.want == ErrFull {
					c.Assert(a.Take(Bodies, a.ClassLimit(Bodies)-full/2), qt.IsTrue)
				}
				before := a.Used()
				r := a.Open()
				got, err := r.ReadAll(reader, test.length, test.max, Classes{Requests, Bodies})
				c.Assert(err, qt.Equals, test.want)
				if err == nil {
					c.Assert(bytes.Equal(got, text), qt.IsTrue)
					c.Assert(a.Used() >= full && a.Used() <= 2*full, qt.IsTrue, qt.Commentf("%d taken", a.Used()))
				}
				r.Close()
				r.Close()
				c.Assert(a.Used(), qt.Equals, before)
			})
		}
	}
}

func TestReadAllOfAnEmptyText(t *testing.T) {
	for _, length := range []int64{0, -1} {
		got, err := NewAccount(testLimit).Open().ReadAll(strings.NewReader(""), length, 10, Classes{Requests, Bodies})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.HasLen, 0)
	}
}

// A reservation with a context waits for memory until the context is done.
func TestGrowWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAccount(testLimit)
		c.Assert(a.Take(Responses, a.ClassLimit(Responses)), qt.IsTrue)
		ctx, cancel := context.WithCancel(context.Background())
		r := a.OpenWaiting(ctx)
		c.Assert(r.Grow(Responses, testLimit), qt.IsFalse, qt.Commentf("this never fits"))
		grown := make(chan bool)
		threads.Go(func() { grown <- r.Grow(Responses, 100) })
		synctest.Wait()
		a.Release(Responses, 100)
		c.Assert(<-grown, qt.IsTrue)
		threads.Go(func() { grown <- r.Grow(Responses, 100) })
		synctest.Wait()
		cancel()
		c.Assert(<-grown, qt.IsFalse)
	})
}

// BenchmarkTake is the cost that each request pays at least twice.
func BenchmarkTake(b *testing.B) {
	a := NewAccount(testLimit)
	for b.Loop() {
		if a.Take(Requests, 100) {
			a.Release(Requests, 100)
		}
	}
}

// BenchmarkReadAll reads a body in chunks; the memory that it allocates stays within a small
// multiple of its size.
func BenchmarkReadAll(b *testing.B) {
	text := make([]byte, 4<<20)
	a := NewAccount(64 << 20)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		r := a.Open()
		if _, err := r.ReadAll(bytes.NewReader(text), -1, int64(len(text)), Classes{Requests, Bodies}); err != nil {
			b.Fatal(err)
		}
		r.Close()
	}
}
