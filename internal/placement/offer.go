package placement

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/protocol"
)

// offeredMost is the most runners that a line of the index lists. What a router
// does with its requests of one key it does as well with some dozens, and a
// line of all holders would cost as much as the site is large, at each look-up.
const offeredMost = 64

// ownZone is by how much likelier a runner of a router's own zone is listed.
const ownZone = 4

type ranked struct {
	rank   uint64
	runner *runner
}

// sample picks, of a long list of runners, those that a router is offered. They
// are the same ones as long as they may be offered, and others for each router,
// so that all runners of a model are used.
func (k *Keeper) sample(runners []*runner, to protocol.Node, may func(r *runner) bool) []*runner {
	salt := seedOf(to.Name)
	limit := uint64(math.MaxUint64)
	// Those beyond a part of all ranks hardly ever are among the first.
	if part := 1.5 * offeredMost / float64(len(runners)); part < 1 {
		limit = uint64(part * float64(1<<63) * 2)
	}
	for {
		k.ranks = k.ranks[:0]
		for _, r := range runners {
			rank := mixed(r.seed ^ salt)
			if rank/ownZone > limit {
				continue
			}
			if r.entry.Zone == to.Zone {
				rank /= ownZone
			}
			if rank <= limit && may(r) {
				k.ranks = append(k.ranks, ranked{rank, r})
			}
		}
		if len(k.ranks) >= offeredMost || limit == math.MaxUint64 {
			break
		}
		// Too few of those that came first may be offered.
		more := uint64(max(2, 2*offeredMost/(len(k.ranks)+1)))
		if limit > math.MaxUint64/more {
			limit = math.MaxUint64
		} else {
			limit *= more
		}
	}
	slices.SortFunc(k.ranks, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	k.ranks = k.ranks[:min(len(k.ranks), offeredMost)]
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

// seedOf spreads a name over all numbers.
func seedOf(name string) uint64 {
	n := sumStart
	for i := range len(name) {
		n = (n ^ uint64(name[i])) * sumPrime
	}
	return mixed(n)
}

func mixed(n uint64) uint64 {
	n ^= n >> 30
	n *= 0xbf58476d1ce4e5b9
	n ^= n >> 27
	n *= 0x94d049bb133111eb
	return n ^ n>>31
}
