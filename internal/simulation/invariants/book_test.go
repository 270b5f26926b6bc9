package invariants

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each rule is shown to fire on what breaks it, and not on what just keeps it.
func TestBookFires(t *testing.T) {
	cases := []struct {
		about string
		do    func(b *Book)
		rule  string
	}{
		{"ran once", func(b *Book) { b.Started(1, "s", "q", "r", false, "e", 1) }, ""},
		{"ran twice", func(b *Book) {
			b.Started(1, "s", "q", "r", false, "e", 1)
			b.Started(2, "s", "q", "p", false, "e", 1)
		}, "twice"},
		{"a repeatable one twice", func(b *Book) {
			b.Started(1, "s", "q", "r", true, "e", 1)
			b.Started(2, "s", "q", "p", true, "e", 1)
		}, ""},
		{"dropped after it ran", func(b *Book) {
			b.Started(1, "s", "q", "r", false, "e", 1)
			b.Told(2, "s", "q", "no runner", true)
		}, "drop ran"},
		{"ran after it was dropped", func(b *Book) {
			b.Told(1, "s", "q", "no runner", true)
			b.Started(2, "s", "q", "r", false, "e", 1)
		}, "drop ran"},
		{"unknown and ran", func(b *Book) {
			b.Started(1, "s", "q", "r", false, "e", 1)
			b.Told(2, "s", "q", "outcome unknown", false)
		}, ""},
		{"torn", func(b *Book) { b.Wrong(1, "s", "q", "half") }, "torn answer"},
		{"leaver in time", func(b *Book) { b.Learned(0, "r", "i"); b.Arrived(3000, "s", "q", "r", "i") }, ""},
		{"leaver too late", func(b *Book) { b.Learned(0, "r", "i"); b.Arrived(3001, "s", "q", "r", "i") }, "leaver"},
		{"the next incarnation", func(b *Book) { b.Learned(0, "r", "i"); b.Arrived(9000, "s", "q", "r", "j") }, ""},
		{"old revision in time", func(b *Book) { b.Accepted(0, 2); b.Started(2000, "s", "q", "r", false, "e", 1) }, ""},
		{"old revision too late", func(b *Book) { b.Accepted(0, 2); b.Started(2001, "s", "q", "r", false, "e", 1) }, "in force"},
		{"slip back", func(b *Book) {
			b.Started(1, "s", "p", "r", false, "e", 2)
			b.Sent(2, "e", "s", "p", 1)
		}, "slip back"},
		{"accepted twice", func(b *Book) { b.Accepted(0, 2); b.Accepted(1, 2) }, "two accepted"},
		{"refused and never seen", func(b *Book) { b.Handed("m"); b.NoEffect(1, "m") }, ""},
		{"refused and seen later", func(b *Book) {
			b.Handed("m")
			b.NoEffect(1, "m")
			b.Started(2, "m", "q", "r", true, "e", 2)
		}, "no effect"},
		{"seen and refused later", func(b *Book) {
			b.Handed("m")
			b.Started(1, "m", "q", "r", true, "e", 2)
			b.NoEffect(2, "m")
		}, "no effect"},
		{"accepted and seen", func(b *Book) {
			b.Handed("m")
			b.InForce(1, "m", 2)
			b.Started(2, "m", "q", "r", true, "e", 2)
		}, ""},
		{"two texts of one number", func(b *Book) {
			b.Handed("m")
			b.Handed("n")
			b.InForce(1, "m", 2)
			b.Started(2, "n", "q", "r", true, "e", 2)
		}, "no effect"},
		{"dropped, asked again, and ran", func(b *Book) {
			b.Asked("s", "q")
			b.Told(1, "s", "q", "no runner", true)
			b.Asked("s", "q")
			b.Started(2, "s", "q", "r", false, "e", 1)
			b.Told(3, "s", "q", "answered", false)
		}, ""},
		{"sent twice, one dropped and one ran", func(b *Book) {
			b.Asked("s", "q")
			b.Asked("s", "q")
			b.Told(1, "s", "q", "no runner", true)
			b.Started(2, "s", "q", "r", false, "e", 1)
		}, ""},
		{"sent twice, both dropped, and ran", func(b *Book) {
			b.Asked("s", "q")
			b.Asked("s", "q")
			b.Told(1, "s", "q", "no runner", true)
			b.Told(2, "s", "q", "no runner", true)
			b.Started(3, "s", "q", "r", false, "e", 1)
		}, "drop ran"},
		{"second goes written beyond", func(b *Book) {
			for range 4 {
				b.Sent(1, "e", "s", "q", 1)
			}
		}, "second goes"},
		{"lost", func(b *Book) { b.Lost(1, "revision 2") }, "description lost"},
		{"not back", func(b *Book) { b.Unserved(1, "s") }, "not back"},
		{"holders with a gap", func(b *Book) { b.Order(0, "r", "a", 1); b.Order(3000, "r", "b", 2) }, ""},
		{"holders alternate", func(b *Book) { b.Order(0, "r", "a", 1); b.Order(2999, "p", "b", 2) }, "two holders"},
		{"pace kept", func(b *Book) { b.Load(0, "r", "m"); b.Load(1, "r", "m"); b.Load(10_000, "r", "m") }, ""},
		{"pace outrun", func(b *Book) {
			for ms := range int64(3) {
				b.Load(ms, "r", "m")
			}
		}, "store pace"},
		{"a smaller pace, ten seconds later", func(b *Book) {
			b.Allow(0, 1, nil)
			b.Load(10_000, "r", "m")
			b.Load(10_001, "r", "m")
		}, "store pace"},
		{"a smaller pace, at once", func(b *Book) {
			b.Allow(0, 1, nil)
			b.Load(1, "r", "m")
			b.Load(2, "r", "m")
		}, ""},
		{"a smaller room", func(b *Book) {
			b.Allow(0, 2, map[string]int64{"r": 50})
			b.Room(2001, "r", 51, 100)
		}, "room"},
		{"room kept", func(b *Book) { b.Room(0, "r", 100, 100) }, ""},
		{"room exceeded", func(b *Book) { b.Room(0, "r", 101, 100) }, "room"},
		{"second goes within", func(b *Book) {
			for range 2 {
				b.Arrived(1, "s", "q", "r", "i")
			}
		}, ""},
		{"second goes beyond", func(b *Book) {
			for range 4 {
				b.Arrived(1, "s", "q", "r", "i")
			}
		}, "second goes"},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			b := New(2, 1)
			test.do(b)
			breaches := b.Breaches()
			if test.rule == "" {
				qt.Assert(t, breaches, qt.HasLen, 0)
				return
			}
			qt.Assert(t, len(breaches) > 0, qt.IsTrue)
			qt.Assert(t, breaches[0].Rule, qt.Equals, test.rule)
		})
	}
}
