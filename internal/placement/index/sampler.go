package index

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// MaxHolders is the largest number of runners that a reply lists. A router balances its
	// requests for one key over a few dozen runners as well as over all holders. If a reply
	// listed all holders, the cost of each look-up would grow with the size of the site.
	MaxHolders = 64
	// sameZoneFactor is how many times more likely a runner in the router's own zone is to be
	// listed.
	sameZoneFactor = 4
	// rankMargin widens the first range of ranks that is searched. Without it the range would
	// contain about MaxHolders of the runners.
	rankMargin = 1.5
)

// rankedRunner is a runner that may be listed for a router. The lowest ranks are chosen.
type rankedRunner struct {
	rank   uint64
	runner *runnerstate.Runner
}

// sampler chooses which of many holders are listed for a router. Reusing its buffers
// saves allocations.
type sampler struct {
	ranked  []rankedRunner
	sampled []*runnerstate.Runner
}

// sample returns at most MaxHolders eligible runners, chosen by rank (rendezvous hashing). A
// router gets the same ones as long as they are eligible; different routers get different ones,
// so that all runners of a model are used. The result is valid until the next call.
func (s *sampler) sample(runners []*runnerstate.Runner, router protocol.Node, eligible func(r *runnerstate.Runner) bool) []*runnerstate.Runner {
	routerHash := HashName(router.Name)
	limit := firstRankLimit(len(runners))
	for {
		s.rank(runners, router.Zone, routerHash, limit, eligible)
		if len(s.ranked) >= MaxHolders || limit == math.MaxUint64 {
			break
		}
		limit = raisedRankLimit(limit, len(s.ranked))
	}
	slices.SortFunc(s.ranked, func(a, b rankedRunner) int { return cmp.Compare(a.rank, b.rank) })
	s.ranked = s.ranked[:min(len(s.ranked), MaxHolders)]
	out := s.sampled[:0]
	for _, r := range s.ranked {
		out = append(out, r.runner)
	}
	// Sorted by id like the complete list, so that replies with the same runners are identical.
	slices.SortFunc(out, runnerstate.ByID)
	s.sampled = out
	return out
}

// firstRankLimit returns the rank up to which enough of the given number of runners should be
// found. Runners with higher ranks are hardly ever chosen.
func firstRankLimit(runners int) uint64 {
	part := rankMargin * MaxHolders / float64(runners)
	if part >= 1 {
		return math.MaxUint64
	}
	return uint64(part * float64(1<<63) * 2)
}

// raisedRankLimit returns the next limit if too few runners up to the last one were eligible.
func raisedRankLimit(limit uint64, found int) uint64 {
	factor := uint64(max(2, 2*MaxHolders/(found+1)))
	if limit > math.MaxUint64/factor {
		return math.MaxUint64
	}
	return limit * factor
}

// rank collects the eligible runners whose rank is within the limit.
func (s *sampler) rank(runners []*runnerstate.Runner, zone string, routerHash, limit uint64, eligible func(r *runnerstate.Runner) bool) {
	s.ranked = s.ranked[:0]
	for _, r := range runners {
		rank := mixBits(r.Hash ^ routerHash)
		if rank/sameZoneFactor > limit {
			continue
		}
		if r.Entry.Zone == zone {
			rank /= sameZoneFactor
		}
		if rank <= limit && eligible(r) {
			s.ranked = append(s.ranked, rankedRunner{rank, r})
		}
	}
}
