package placement

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// newScene is a service whose runners are told, and what is asked of it.
func newScene(models int, held ...[]string) *Service {
	s := NewService(llm)
	m := newServiceMap(models, 42, 4.2)
	s.SetEngine(m.Services[0].Engine)
	s.Engine = m.Services[0].Engine
	for i, names := range held {
		r := NewRunner(protocol.RunnerEntry{ID: fmt.Sprintf("r%d", i+1), Address: fmt.Sprint(i), Zone: string(rune('a' + i%3)), Slots: 64}, s)
		r.Confirmed = true
		var said []protocol.HeldModel
		for _, name := range names {
			said = append(said, protocol.HeldModel{Name: name})
		}
		r.ApplyModels(0, said, noObserver{})
		s.Runners = append(s.Runners, r)
	}
	return s
}

type noObserver struct{}

func (noObserver) HoldersChanged(*Model) {}

// requestSteadily adds so many requests a second for ten seconds before nowMs.
func (s *Service) requestSteadily(nowMs int64, name string, perSec int) {
	for atMs := nowMs - 10_000; atMs < nowMs; atMs += 1000 / int64(perSec) {
		s.Models[name].Demand.Add(atMs, 1, 1000, 0)
	}
}

const sceneNowMs = 100_000

func TestPlannerChooses(t *testing.T) {
	full, one := Budget{StoreLoads: 10, Concurrent: 8}, Budget{StoreLoads: 1, Concurrent: 1}
	for _, test := range []struct {
		name   string
		held   [][]string
		demand func(s *Service)
		budget Budget
		want   []string
	}{
		{"nothing is asked: nothing moves", [][]string{{"m001"}, {"m002"}}, func(*Service) {}, full, nil},
		{"a fill takes free room, slowly", [][]string{{"m001"}, {"m000"}}, func(*Service) {}, Budget{StoreLoads: 10, Concurrent: 8, Prefetch: true}, []string{"load m002"}},
		{"a fill leaves the last room that a larger one would need", [][]string{{"m001", "m003"}}, func(s *Service) {
			s.Engine.WeightMemoryMb = 215_000
		}, Budget{StoreLoads: 10, Concurrent: 8, Prefetch: true}, nil},
		{"what someone waits for is loaded into free room", [][]string{{"m001", "m002", "m000"}, {"m003"}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 1)
		}, full, []string{"r2 load m004"}},
		{"the store's pace holds it back", [][]string{{"m001"}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 1)
		}, Budget{}, nil},
		{"what the runner held before needs no store", [][]string{{"m001"}, {"m002"}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 1)
			s.Runners[1].OnDisk["m004"] = true
		}, Budget{}, []string{"r2 load m004"}},
		{"the silent one goes, not the asked one", [][]string{{"m001", "m002", "m003"}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 1)
			s.requestSteadily(sceneNowMs, "m001", 5)
			s.requestSteadily(sceneNowMs-20_000, "m002", 5)
			s.requestSteadily(sceneNowMs, "m003", 5)
		}, full, []string{"r1 unload m002"}},
		{"a surplus copy goes before a last one", [][]string{{"m001", "m002", "m003"}, {"m001", "m005", "m000"}, {"m001", "m006", "m007"}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 1)
			s.requestSteadily(sceneNowMs, "m001", 1)
			for _, name := range []string{"m002", "m003", "m005", "m000", "m006", "m007"} {
				s.requestSteadily(sceneNowMs, name, 1)
			}
		}, full, []string{"unload m001"}},
		{"what is asked for as much does not go", [][]string{{"m001", "m002", "m003"}}, func(s *Service) {
			for _, name := range []string{"m001", "m002", "m003", "m004"} {
				s.requestSteadily(sceneNowMs, name, 1)
			}
		}, full, nil},
		{"a busy model has a second copy in another zone", [][]string{{"m001"}, {"m000"}, {"m002"}}, func(s *Service) {
			s.requestSteadily(sceneNowMs, "m001", 10)
			s.Runners[1].Entry.Zone = "a"
		}, full, []string{"r3 load m001"}},
		{"an adapter goes where fewest are", [][]string{{"m000"}, {"m000"}}, func(s *Service) {
			s.Models["m000"].Demand.Add(sceneNowMs, 1, 1, 0)
			s.Models["m000"].Adapter("a5").Demand.Add(sceneNowMs, 1, 1, 1)
			s.Runners[0].Held["m000"].Adapters["a1"] = &HeldAdapter{}
		}, full, []string{"r2 load m000 a5"}},
		{"a full runner drops the adapter asked for longest ago", [][]string{{"m000"}}, func(s *Service) {
			s.Models["m000"].Demand.Add(sceneNowMs, 1, 1, 0)
			for i := range 8 {
				name := fmt.Sprintf("a%d", i+1)
				s.Runners[0].Held["m000"].Adapters[name] = &HeldAdapter{}
				s.Models["m000"].Adapter(name).Demand.Add(sceneNowMs-int64(i)*3000-10_000, 1, 1, 0)
			}
			s.Models["m000"].Adapter("a9").Demand.Add(sceneNowMs, 1, 1, 1)
		}, full, []string{"r1 unload m000 a8"}},
		{"a runner that leaves counts no more", [][]string{{"m001", "m002", "m003"}, {"m000"}}, func(s *Service) {
			s.requestSteadily(sceneNowMs, "m002", 1)
			s.Runners[0].Leaving = true
		}, full, []string{"r2 load m002"}},
		{"a crowd on one copy goes before the first copy of a rare one that someone waits for", [][]string{{"m001", "m003", "m005"}, {"m003", "m005"}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 1)
			s.requestSteadily(sceneNowMs, "m001", 40)
		}, one, []string{"r2 load m001"}},
		{"those who wait for a load go before a crowd, which is only slowed", [][]string{{"m001", "m003", "m005"}, {"m003", "m005"}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 5, 1, 5)
			s.requestSteadily(sceneNowMs, "m001", 45)
		}, one, []string{"r2 load m004"}},
		{"the second copy of a rising model goes before the fifth of a busy one", [][]string{{"m001", "m000", "m002"}, {"m001", "m000", "m002"}, {"m001", "m000", "m002"}, {"m001", "m000", "m002"}, {"m003"}, {"m000"}}, func(s *Service) {
			for atMs := int64(sceneNowMs - 30_000); atMs < sceneNowMs; atMs += 10 {
				s.Models["m001"].Demand.Add(atMs, 1, 1000, 0)
			}
			s.requestSteadily(sceneNowMs, "m003", 50)
		}, one, []string{"r6 load m003"}},
		{"a busy runner's own disk goes before the store", [][]string{{}, {}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 0)
			s.Runners[1].OnDisk["m004"] = true
			s.Runners[1].State.Active = 64
		}, full, []string{"r2 load m004"}},
		{"most of all where someone waits", [][]string{{}, {}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 1)
			s.Runners[1].OnDisk["m004"] = true
			s.Runners[1].State.Active, s.Runners[1].State.Queued = 64, 115
		}, full, []string{"r2 load m004"}},
		{"a last copy that is silent goes before a spare one that has runs to finish", [][]string{{"m001", "m002", "m003"}, {"m005", "m006", "m007"}, {"m001"}}, func(s *Service) {
			s.Models["m004"].Demand.Add(sceneNowMs, 1, 1, 1)
			s.Models["m005"].Demand.Add(sceneNowMs-20_000, 1, 1, 0)
			s.requestSteadily(sceneNowMs, "m001", 1)
			for _, name := range []string{"m002", "m003", "m006", "m007"} {
				s.requestSteadily(sceneNowMs, name, 2)
			}
			// It takes no order now.
			s.Runners[2].Confirmed = false
		}, full, []string{"r2 unload m005"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScene(8, test.held...)
			test.demand(s)
			var p Planner
			p.Plan(sceneNowMs, s, test.budget, func(r *Runner) bool { return !r.Unavailable() })
			var got []string
			for _, mv := range p.Moves {
				verb := " unload "
				if mv.Load {
					verb = " load "
				}
				text := mv.Runner.Entry.ID + verb + mv.Model
				if mv.Adapter != "" {
					text += " " + mv.Adapter
				}
				got = append(got, text)
			}
			c.Assert(got, qt.HasLen, len(test.want), qt.Commentf("%v", got))
			for _, want := range test.want {
				c.Assert(slices.ContainsFunc(got, func(text string) bool { return text == want || len(text) > 3 && text[3:] == want }), qt.IsTrue, qt.Commentf("%v", got))
			}
		})
	}
}

// Where all fits and demand is steady, nothing moves after the start.
func TestSteadyDemandMovesNothing(t *testing.T) {
	c := qt.New(t)
	s := newPlatformSim(t, 9, newServiceMap(12, 8, 4.2), 8)
	s.fill(0, 1)
	k := s.manager("one")
	k.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs())
	load := newRouterSim(s, k)
	ask := func(int64) {
		if s.poisson(30) {
			load.ask("m000", "")
		}
		if s.poisson(5) {
			load.ask("m000", fmt.Sprintf("a%d", 1+s.rnd.IntN(8)))
		}
		if s.poisson(6) {
			load.ask(fmt.Sprintf("m%03d", 1+s.rnd.IntN(11)), "")
		}
	}
	play(s, load, 8, ask)
	before := s.orders
	play(s, load, 20, ask)
	c.Assert(s.orders-before <= 2, qt.IsTrue, qt.Commentf("%d orders", s.orders-before))
}
