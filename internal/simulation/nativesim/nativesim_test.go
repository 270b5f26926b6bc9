package nativesim

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
)

func example(t testing.TB, name string) string {
	text, err := os.ReadFile("../../../examples/" + name + ".json")
	qt.Assert(t, err, qt.IsNil)
	return string(text)
}

const seedsInCI = 3

// TestScenarios plays each scenario on both sites with a fixed set of seeds.
func TestScenarios(t *testing.T) {
	for _, site := range []string{"zagreb", "alexandria"} {
		text := example(t, site)
		for _, name := range ScenarioNames() {
			t.Run(site+"/"+name, func(t *testing.T) {
				t.Parallel()
				for seed := int64(1); seed <= seedsInCI; seed++ {
					r := Play(text, seed, Scenarios[name])
					if len(r.Violations) > 0 {
						t.Fatal(r.Report())
					}
				}
			})
		}
	}
}

// TestCampaigns brings faults about at random on both sites.
func TestCampaigns(t *testing.T) {
	for _, site := range []string{"zagreb", "alexandria"} {
		text := example(t, site)
		for seed := int64(1); seed <= 12; seed++ {
			t.Run(fmt.Sprintf("%s/%d", site, seed), func(t *testing.T) {
				t.Parallel()
				if r := Campaign(text, seed, 20); len(r.Violations) > 0 {
					t.Fatal(r.Report())
				}
			})
		}
	}
}

// pairStrideInCI is of how many pairs of faults one is played; each fault alone is.
const pairStrideInCI = 9

// TestPairs brings each fault about alone, and some with another one. All of
// them: sim --pairs.
func TestPairs(t *testing.T) {
	for _, site := range []string{"zagreb", "alexandria"} {
		text := example(t, site)
		paired := 0
		for _, cell := range FaultPairs() {
			if cell.Second != "" {
				if paired++; paired%pairStrideInCI != 0 {
					continue
				}
			}
			t.Run(site+"/"+cell.First+"/"+cell.Second, func(t *testing.T) {
				t.Parallel()
				if c := PlayPair(text, 1, cell); len(c.Violations) > 0 {
					t.Fatalf("%v\n%s", c.Violations, c.Trace)
				}
			})
		}
	}
}

// A run with the same seed is the same run.
func TestCampaignRepeats(t *testing.T) {
	t.Parallel()
	text := example(t, "alexandria")
	first, second := Campaign(text, 7, 8), Campaign(text, 7, 8)
	qt.Assert(t, second.World.Trace(), qt.Equals, first.World.Trace())
	qt.Assert(t, second.World.OutcomeLines(), qt.Equals, first.World.OutcomeLines())
	qt.Assert(t, second.World.Network, qt.Equals, first.World.Network)
	cell := FaultPairs()[7]
	qt.Assert(t, PlayPair(text, 3, cell).Drops, qt.DeepEquals, PlayPair(text, 3, cell).Drops)
}

// A rolling restart loses no request: each is answered, or dropped so that it
// may be sent again, or found the door closed before it was sent.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	for _, site := range []string{"zagreb", "alexandria"} {
		r := Play(example(t, site), 1, Scenario{"", (*World).RollingRestart, 5000})
		if len(r.Violations) > 0 {
			t.Fatal(r.Report())
		}
		for service, kinds := range r.World.clients.outcomes {
			for kind, count := range kinds {
				// Some senders go away, or send an id twice at once, on their own.
				own := kind == "sender gone" || kind == string(errkind.DuplicateRequest)
				lost := kind != "answered" && kind != "no stream" && !own && !errkind.Kind(kind).Response().NotExecuted
				qt.Assert(t, lost, qt.IsFalse, qt.Commentf("%s: %d of %s", service, count, kind))
			}
			qt.Assert(t, kinds["answered"] > 0, qt.IsTrue)
		}
	}
}
