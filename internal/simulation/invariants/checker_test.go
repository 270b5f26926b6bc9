package invariants

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each rule is shown to fire on what breaks it, and not on what just keeps it.
func TestCheckerReportsEachRule(t *testing.T) {
	cases := []struct {
		about string
		do    func(b *Checker)
		rule  string
	}{
		{"ran once", func(b *Checker) { b.RequestStarted(1, "s", "q", "r", false, "e", 1) }, ""},
		{"ran twice", func(b *Checker) {
			b.RequestStarted(1, "s", "q", "r", false, "e", 1)
			b.RequestStarted(2, "s", "q", "p", false, "e", 1)
		}, "twice"},
		{"a repeatable one twice", func(b *Checker) {
			b.RequestStarted(1, "s", "q", "r", true, "e", 1)
			b.RequestStarted(2, "s", "q", "p", true, "e", 1)
		}, ""},
		{"dropped after it ran", func(b *Checker) {
			b.RequestStarted(1, "s", "q", "r", false, "e", 1)
			b.RequestEnded(2, "s", "q", "no runner", true)
		}, "drop ran"},
		{"ran after it was dropped", func(b *Checker) {
			b.RequestEnded(1, "s", "q", "no runner", true)
			b.RequestStarted(2, "s", "q", "r", false, "e", 1)
		}, "drop ran"},
		{"unknown and ran", func(b *Checker) {
			b.RequestStarted(1, "s", "q", "r", false, "e", 1)
			b.RequestEnded(2, "s", "q", "outcome unknown", false)
		}, ""},
		{"torn", func(b *Checker) { b.InvalidAnswer(1, "s", "q", "half") }, "torn answer"},
		{"leaver in time", func(b *Checker) { b.LeavingLearned(0, "r", "i"); b.RequestArrived(3000, "s", "q", "r", "i") }, ""},
		{"leaver too late", func(b *Checker) { b.LeavingLearned(0, "r", "i"); b.RequestArrived(3001, "s", "q", "r", "i") }, "leaver"},
		{"the next incarnation", func(b *Checker) { b.LeavingLearned(0, "r", "i"); b.RequestArrived(9000, "s", "q", "r", "j") }, ""},
		{"old revision in time", func(b *Checker) { b.RevisionAccepted(0, 2); b.RequestStarted(2000, "s", "q", "r", false, "e", 1) }, ""},
		{"old revision too late", func(b *Checker) { b.RevisionAccepted(0, 2); b.RequestStarted(2001, "s", "q", "r", false, "e", 1) }, "in force"},
		{"slip back", func(b *Checker) {
			b.RequestStarted(1, "s", "p", "r", false, "e", 2)
			b.RequestSent(2, "e", "s", "p", 1)
		}, "slip back"},
		{"accepted twice", func(b *Checker) { b.RevisionAccepted(0, 2); b.RevisionAccepted(1, 2) }, "two accepted"},
		{"refused and never seen", func(b *Checker) { b.DescriptionSubmitted("m"); b.DescriptionRejected(1, "m") }, ""},
		{"refused and seen later", func(b *Checker) {
			b.DescriptionSubmitted("m")
			b.DescriptionRejected(1, "m")
			b.RequestStarted(2, "m", "q", "r", true, "e", 2)
		}, "no effect"},
		{"seen and refused later", func(b *Checker) {
			b.DescriptionSubmitted("m")
			b.RequestStarted(1, "m", "q", "r", true, "e", 2)
			b.DescriptionRejected(2, "m")
		}, "no effect"},
		{"accepted and seen", func(b *Checker) {
			b.DescriptionSubmitted("m")
			b.DescriptionAccepted(1, "m", 2)
			b.RequestStarted(2, "m", "q", "r", true, "e", 2)
		}, ""},
		{"two texts of one number", func(b *Checker) {
			b.DescriptionSubmitted("m")
			b.DescriptionSubmitted("n")
			b.DescriptionAccepted(1, "m", 2)
			b.RequestStarted(2, "n", "q", "r", true, "e", 2)
		}, "no effect"},
		{"dropped, asked again, and ran", func(b *Checker) {
			b.RequestSubmitted("s", "q")
			b.RequestEnded(1, "s", "q", "no runner", true)
			b.RequestSubmitted("s", "q")
			b.RequestStarted(2, "s", "q", "r", false, "e", 1)
			b.RequestEnded(3, "s", "q", "answered", false)
		}, ""},
		{"sent twice, one dropped and one ran", func(b *Checker) {
			b.RequestSubmitted("s", "q")
			b.RequestSubmitted("s", "q")
			b.RequestEnded(1, "s", "q", "no runner", true)
			b.RequestStarted(2, "s", "q", "r", false, "e", 1)
		}, ""},
		{"sent twice, both dropped, and ran", func(b *Checker) {
			b.RequestSubmitted("s", "q")
			b.RequestSubmitted("s", "q")
			b.RequestEnded(1, "s", "q", "no runner", true)
			b.RequestEnded(2, "s", "q", "no runner", true)
			b.RequestStarted(3, "s", "q", "r", false, "e", 1)
		}, "drop ran"},
		{"second goes written beyond", func(b *Checker) {
			for range 4 {
				b.RequestSent(1, "e", "s", "q", 1)
			}
		}, "second goes"},
		{"lost", func(b *Checker) { b.DescriptionLost(1, "revision 2") }, "description lost"},
		{"not back", func(b *Checker) { b.ServiceNotRecovered(1, "s") }, "not back"},
		{"holders with a gap", func(b *Checker) { b.OrderReceived(0, "r", "a", 1); b.OrderReceived(3000, "r", "b", 2) }, ""},
		{"holders alternate", func(b *Checker) { b.OrderReceived(0, "r", "a", 1); b.OrderReceived(2999, "p", "b", 2) }, "two holders"},
		{"pace kept", func(b *Checker) {
			b.LoadStarted(0, "r", "m")
			b.LoadStarted(1, "r", "m")
			b.LoadStarted(10_000, "r", "m")
		}, ""},
		{"pace outrun", func(b *Checker) {
			for ms := range int64(3) {
				b.LoadStarted(ms, "r", "m")
			}
		}, "store pace"},
		{"a smaller pace, ten seconds later", func(b *Checker) {
			b.LimitsAccepted(0, 1, nil)
			b.LoadStarted(10_000, "r", "m")
			b.LoadStarted(10_001, "r", "m")
		}, "store pace"},
		{"a smaller pace, at once", func(b *Checker) {
			b.LimitsAccepted(0, 1, nil)
			b.LoadStarted(1, "r", "m")
			b.LoadStarted(2, "r", "m")
		}, ""},
		{"a smaller room", func(b *Checker) {
			b.LimitsAccepted(0, 2, map[string]int64{"r": 50})
			b.CapacityAssigned(2001, "r", 51, 100)
		}, "room"},
		{"room kept", func(b *Checker) { b.CapacityAssigned(0, "r", 100, 100) }, ""},
		{"room exceeded", func(b *Checker) { b.CapacityAssigned(0, "r", 101, 100) }, "room"},
		{"second goes within", func(b *Checker) {
			for range 2 {
				b.RequestArrived(1, "s", "q", "r", "i")
			}
		}, ""},
		{"second goes beyond", func(b *Checker) {
			for range 4 {
				b.RequestArrived(1, "s", "q", "r", "i")
			}
		}, "second goes"},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			b := New(2, 1)
			test.do(b)
			breaches := b.Violations()
			if test.rule == "" {
				qt.Assert(t, breaches, qt.HasLen, 0)
				return
			}
			qt.Assert(t, len(breaches) > 0, qt.IsTrue)
			qt.Assert(t, breaches[0].Rule, qt.Equals, test.rule)
		})
	}
}
