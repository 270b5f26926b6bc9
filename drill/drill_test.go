package drill

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each fault alone, and each disaster, breaks no rule.
func TestEachFaultAlone(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 2; seed++ {
				r, ok := Play(seed, name)
				qt.Assert(t, ok, qt.IsTrue)
				if len(r.Breaches) > 0 {
					t.Errorf("%s", r.Report())
				}
			}
		})
	}
}
