package modelcheck

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// findScenario returns the scenario with a name and fails the test if there is
// none.
func findScenario(c *qt.C, name string) Scenario {
	c.Helper()
	scenario, known := FindScenario(name)
	c.Assert(known, qt.IsTrue, qt.Commentf("no scenario %q", name))
	return scenario
}

// assertNoViolation fails the test and prints the end of the trace if an invariant
// was violated.
func assertNoViolation(c *qt.C, scope Scope, report Report) {
	c.Helper()
	for _, found := range report.Found {
		lines := Trace(scope, found.Schedule)
		text := ""
		for _, line := range lines[max(0, len(lines)-traceTail):] {
			text += line + "\n"
		}
		c.Errorf("%s\nby %s\n%s", found.Violation, found.Schedule, text)
	}
}

// traceTail is how many lines of a trace are printed.
const traceTail = 40

// No schedule with one deviation in a short window of some scenarios violates an
// invariant, in the smallest site. cmd/modelcheck checks longer windows.
func TestExploreOneDeviation(t *testing.T) {
	for _, test := range []struct {
		scenario string
		// windowMs is when the window starts.
		windowMs int64
		depth    int
	}{
		{"steady", settledMs + 100, 3},
		{"start", 57, 3},
		{"primary crashes", settledMs + restartMs, 6},
		{"primary wiped", settledMs + 1460, 4},
		{"replica wiped", settledMs + restartMs, 4},
		{"outsider wiped", settledMs + restartMs, 4},
	} {
		t.Run(test.scenario, func(t *testing.T) {
			c := qt.New(t)
			scope := Scope{Deviations: 1, Depth: test.depth, ProbeDeviations: -1, Workers: 2, Scenario: findScenario(c, test.scenario)}
			scope.Scenario.WindowMs = test.windowMs
			report := Explore(scope)
			assertNoViolation(c, scope, report)
			c.Check(report.Complete, qt.IsTrue)
			c.Check(report.Level, qt.Equals, 1)
			t.Logf("depth %d: %s", test.depth, report)
		})
	}
}

// Without deviations, the cluster survives the permanent loss of any set of Scope.Losses
// members after it has had time to catch up.
func TestExploreLossesAfterCatchUp(t *testing.T) {
	for _, test := range []struct {
		members, losses int
		scenarios       []string
	}{
		{3, 1, []string{"primary crashes", "primary wiped", "replica wiped", "rotation"}},
		{4, 1, []string{"replica wiped"}},
		{5, 2, []string{"primary wiped"}},
	} {
		for _, name := range test.scenarios {
			t.Run(fmt.Sprintf("%d of %d, %s", test.losses, test.members, name), func(t *testing.T) {
				c := qt.New(t)
				scope := Scope{Members: test.members, Losses: test.losses, Depth: 1, Workers: 2, Scenario: findScenario(c, name)}
				report := Explore(scope)
				assertNoViolation(c, scope, report)
				c.Check(report.Complete, qt.IsTrue)
				c.Check(report.Runs > 1, qt.IsTrue, qt.Commentf("no members were lost: %s", report))
			})
		}
	}
}

// Guards against a ballot that two lives of a process use, of which the second could propose another
// record. Known red (KNOWN-RED.txt): the round of a ballot is not on the disk before it is used.
func TestNoBallotIsUsedByTwoLives(t *testing.T) {
	c := qt.New(t)
	scope := Scope{
		Deviations: 1, Depth: 6, ProbeDeviations: -1, Workers: 2, CheckBallots: true,
		Scenario: findScenario(c, "primary crashes"), Faults: []FaultKind{PowerLoss},
	}
	scope.Scenario.WindowMs = settledMs + restartMs
	assertNoViolation(c, scope, Explore(scope))
}

// A delayed snapshot may arrive after later snapshots or changes. A replica never
// installs one that is older than its state.
func TestStaleSnapshotIsNotInstalled(t *testing.T) {
	c := qt.New(t)
	scope := Scope{
		Deviations: 1, Depth: 1000, ProbeDeviations: -1, Scenario: findScenario(c, "replica wiped, writes"),
		Faults: []FaultKind{DelayMessage, DuplicateMessage}, Messages: []string{"Snapshot"},
	}
	report := Explore(scope)
	assertNoViolation(c, scope, report)
	c.Check(report.Complete, qt.IsTrue)
	c.Check(report.Runs > 1, qt.IsTrue)
}

// A lost change is resent even while other writes continue.
func TestLostChangeIsResentInAStreamOfWrites(t *testing.T) {
	c := qt.New(t)
	scope := Scope{
		Deviations: 1, Depth: 100, ProbeDeviations: -1, Scenario: findScenario(c, "busy"),
		Faults: []FaultKind{DropMessage}, Messages: []string{"Append", "AppendReply"},
	}
	report := Explore(scope)
	assertNoViolation(c, scope, report)
	c.Check(report.Complete, qt.IsTrue)
}

// The other members finish a bootstrap if one member is lost permanently before it,
// or if the member that runs it is lost after any part of its messages was sent.
func TestInterruptedBootstrapIsFinished(t *testing.T) {
	for _, test := range []struct {
		fault    FaultKind
		windowMs int64
		depth    int
	}{
		{Crash, 0, 8}, {CrashMidSend, 101, 12},
	} {
		t.Run(test.fault.String(), func(t *testing.T) {
			c := qt.New(t)
			scope := Scope{
				Deviations: 1, Depth: test.depth, Workers: 2, ProbeDeviations: -1, CatchUpMs: bootstrapWithoutSeedMs,
				Scenario: findScenario(c, "founding"), Faults: []FaultKind{test.fault},
			}
			scope.Scenario.WindowMs = test.windowMs
			report := Explore(scope)
			assertNoViolation(c, scope, report)
			c.Check(report.Complete, qt.IsTrue)
			c.Check(report.Runs > 1, qt.IsTrue)
		})
	}
}

// bootstrapWithoutSeedMs is the time allowed for the bootstrap of a site that lacks
// a seed. It is longer because the other seeds first wait for the missing one.
const bootstrapWithoutSeedMs = 10_000

// exitedMs is how long after the start of a planned stop the process has just
// exited.
const exitedMs = 300

// A member that stopped as planned no longer counts as lost if a spare replaces it:
// another member may crash at any moment after the exit.
func TestCrashAfterAPlannedStop(t *testing.T) {
	for _, name := range []string{"replica leaves", "primary leaves"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			scenario := findScenario(c, name)
			scenario.WindowMs = settledMs + exitedMs
			scope := Scope{
				Members: 4, Deviations: 1, Depth: 12, Workers: 2, ProbeDeviations: -1, Scenario: scenario, Faults: []FaultKind{Crash},
			}
			report := Explore(scope)
			assertNoViolation(c, scope, report)
			c.Check(report.Complete, qt.IsTrue)
			c.Check(report.Runs > 1, qt.IsTrue)
		})
	}
}

// Two explorations with the same bounds report the same states, schedules and steps.
func TestExploreIsDeterministic(t *testing.T) {
	c := qt.New(t)
	scope := Scope{Deviations: 1, Depth: 1, Scenario: findScenario(c, "steady")}
	c.Assert(Explore(scope), qt.DeepEquals, Explore(scope))
}

// A run does not wait for a step of the scenario that can no longer happen because
// as many members as allowed are lost permanently.
func TestExploreSkipsImpossibleSteps(t *testing.T) {
	c := qt.New(t)
	scope := Scope{
		Deviations: 1, Depth: 1, States: 500, ProbeDeviations: -1, Scenario: findScenario(c, "primary crashes, writes"), Faults: []FaultKind{Crash},
	}
	report := Explore(scope)
	assertNoViolation(c, scope, report)
	c.Assert(report.Complete, qt.IsTrue)
}

// A check stops at the limit of states, and then reports that it is incomplete.
func TestExploreStopsAtTheLimitOfStates(t *testing.T) {
	c := qt.New(t)
	report := Explore(Scope{Deviations: 1, Depth: 12, States: 50, Scenario: findScenario(c, "steady")})
	c.Check(report.Complete, qt.IsFalse)
	c.Check(report.States, qt.Equals, int64(50))
	c.Check(report.String(), qt.Matches, ".*INCOMPLETE.*")
}
