package placement

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/protocol"
)

// maxListedHolders is the most runners that a line of the index lists. What a router
// does with its requests of one key it does as well with some dozens, and a
// line of all holders would cost as much as the site is large, at each look-up.
const maxListedHolders = 64

// sameZoneFactor is by how much likelier a runner of a router's own zone is listed.
const sameZoneFactor = 4

type rankedRunner struct {
	rank   uint64
	runner *Runner
}

// sampleRunners picks, of a long list of runners, those that a router is offered. They
// are the same ones as long as they may be offered, and others for each router,
// so that all runners of a model are used.
func (k *Manager) sampleRunners(runners []*Runner, to protocol.Node, may func(r *Runner) bool) []*Runner {
	salt := hashName(to.Name)
	limit := uint64(math.MaxUint64)
	// Those beyond a part of all ranks hardly ever are among the first.
	if part := 1.5 * maxListedHolders / float64(len(runners)); part < 1 {
		limit = uint64(part * float64(1<<63) * 2)
	}
	for {
		k.ranks = k.ranks[:0]
		for _, r := range runners {
			rank := mixBits(r.Hash ^ salt)
			if rank/sameZoneFactor > limit {
				continue
			}
			if r.Entry.Zone == to.Zone {
				rank /= sameZoneFactor
			}
			if rank <= limit && may(r) {
				k.ranks = append(k.ranks, rankedRunner{rank, r})
			}
		}
		if len(k.ranks) >= maxListedHolders || limit == math.MaxUint64 {
			break
		}
		// Too few of those that came first may be offered.
		more := uint64(max(2, 2*maxListedHolders/(len(k.ranks)+1)))
		if limit > math.MaxUint64/more {
			limit = math.MaxUint64
		} else {
			limit *= more
		}
	}
	slices.SortFunc(k.ranks, func(a, b rankedRunner) int { return cmp.Compare(a.rank, b.rank) })
	k.ranks = k.ranks[:min(len(k.ranks), maxListedHolders)]
	out := k.sampled[:0]
	for _, r := range k.ranks {
		out = append(out, r.runner)
	}
	// In the order of the whole list, so that a line changes only where its
	// runners do.
	slices.SortFunc(out, byID)
	k.sampled = out
	return out
}

// hashName spreads a name over all numbers.
func hashName(name string) uint64 {
	n := fnvOffset
	for i := range len(name) {
		n = (n ^ uint64(name[i])) * fnvPrime
	}
	return mixBits(n)
}

func mixBits(n uint64) uint64 {
	n ^= n >> 30
	n *= 0xbf58476d1ce4e5b9
	n ^= n >> 27
	n *= 0x94d049bb133111eb
	return n ^ n>>31
}
