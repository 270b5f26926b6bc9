package sim

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

func example(t testing.TB, name string) string {
	text, err := os.ReadFile("../examples/" + name + ".json")
	qt.Assert(t, err, qt.IsNil)
	return string(text)
}

const seedsInCi = 3

// TestScenarios plays each scenario on both sites with a fixed set of seeds.
func TestScenarios(t *testing.T) {
	for _, site := range []string{"zagreb", "alexandria"} {
		text := example(t, site)
		for _, name := range Names() {
			t.Run(site+"/"+name, func(t *testing.T) {
				t.Parallel()
				for seed := int64(1); seed <= seedsInCi; seed++ {
					r := Play(text, seed, Scenarios[name])
					if len(r.Breaches) > 0 {
						t.Fatal(r.Report())
					}
				}
			})
		}
	}
}
