package nativesim

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
)

// burstOutcomes play the same with and without crowds that ask one service for all
// its models alike, and give what each service was answered and lost.
func burstOutcomes(t *testing.T, site, crowded string, seed int64, size int) map[string][2]int {
	r := Play(example(t, site), seed, Scenario{"", func(w *World) {
		w.Run(20_000)
		for _, kinds := range w.clients.outcomes {
			clear(kinds)
		}
		for range 6 {
			w.clients.uniformModels = true
			w.Burst(crowded, size)
			w.Run(250)
			w.clients.uniformModels = false
			w.Run(7000)
		}
	}, 20_000})
	qt.Assert(t, r.Violations, qt.HasLen, 0)
	out := map[string][2]int{}
	for service, kinds := range r.World.clients.outcomes {
		out[service] = [2]int{
			kinds["answered"],
			kinds[string(errkind.DeadlinePassed)] + kinds[string(errkind.PlacementTimeout)] + kinds[string(errkind.QueueFull)],
		}
	}
	return out
}

// A crowd for one service's rare models starves no other service: three in
// four of what the others are asked is answered, and more without it.
func TestBurstStarvesNoOtherService(t *testing.T) {
	for site, crowded := range map[string]string{"zagreb": "summary", "alexandria": "transcription"} {
		t.Run(site, func(t *testing.T) {
			t.Parallel()
			without, with := map[string][2]int{}, map[string][2]int{}
			for seed := int64(1); seed <= 5; seed++ {
				for service, got := range burstOutcomes(t, site, crowded, seed, 0) {
					without[service] = [2]int{without[service][0] + got[0], without[service][1] + got[1]}
				}
				for service, got := range burstOutcomes(t, site, crowded, seed, 150) {
					with[service] = [2]int{with[service][0] + got[0], with[service][1] + got[1]}
				}
			}
			for service, quiet := range without {
				crowd := with[service]
				t.Logf("%s: answered %d and lost %d without the crowd, %d and %d with it", service, quiet[0], quiet[1], crowd[0], crowd[1])
				if service != crowded {
					qt.Assert(t, 4*crowd[1] <= crowd[0]+crowd[1], qt.IsTrue, qt.Commentf("%s", service))
					qt.Assert(t, quiet[1] <= crowd[1], qt.IsTrue, qt.Commentf("%s", service))
				}
			}
		})
	}
}
