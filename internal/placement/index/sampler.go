package index

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// MaxHolders is the most runners that a reply lists. A router balances its
	// requests for one key as well over some dozens, and a list of all holders
	// would cost as much as the site is large, at each look-up.
	MaxHolders = 64
	// sameZoneFactor is by how much likelier a runner of the router's own zone is
	// listed.
	sameZoneFactor = 4
	// rankMargin widens the range of ranks that is looked at first beyond the part
	// that MaxHolders is of all runners.
	rankMargin = 1.5
)

// rankedRunner is a runner that a router may be offered; the lowest rank comes
// first.
type rankedRunner struct {
	rank   uint64
	runner *runnerstate.Runner
}

// sampler picks, of many holders, those that a router is offered. Its buffers
// save allocations.
type sampler struct {
	ranked  []rankedRunner
	sampled []*runnerstate.Runner
}

// sample picks at most MaxHolders eligible runners by rank (rendezvous hashing):
// the same ones as long as they are eligible, and others for each router, so
// that all runners of a model are used. The result is valid until the next call.
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
	// In the order of the whole list, so that a reply changes only where its
	// runners do.
	slices.SortFunc(out, runnerstate.ByID)
	s.sampled = out
	return out
}

// firstRankLimit is the rank up to which enough of so many runners should be
// found; those beyond hardly ever are among the first.
func firstRankLimit(runners int) uint64 {
	part := rankMargin * MaxHolders / float64(runners)
	if part >= 1 {
		return math.MaxUint64
	}
	return uint64(part * float64(1<<63) * 2)
}

// raisedRankLimit is the next limit where too few runners below the last one
// were eligible.
func raisedRankLimit(limit uint64, found int) uint64 {
	factor := uint64(max(2, 2*MaxHolders/(found+1)))
	if limit > math.MaxUint64/factor {
		return math.MaxUint64
	}
	return limit * factor
}

// rank collects the eligible runners whose rank lies within the limit.
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
