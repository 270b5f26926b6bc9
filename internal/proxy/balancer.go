package proxy

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// sameZoneSlack is how many requests more than the least busy runner a runner of the
	// router's own zone may have and still be preferred.
	sameZoneSlack = 2
	// A runner that likely has a prompt's parts in its prefix cache is used
	// while its load is below affinityLoadFactor times the average plus
	// affinityLoadSlack requests.
	affinityLoadFactor, affinityLoadSlack = 1.25, 4
	// A runner to which a connection can be reused is preferred if it has at most
	// slots/connectedLoadDivisor, or sameZoneSlack if that is more, requests more than
	// the least busy runner.
	connectedLoadDivisor = 16
	// prefillStepMs is the unit in which the waiting prefill of runners is compared, so
	// that small differences do not count.
	prefillStepMs = 20
	// noCandidate is the index that choose returns for an empty list.
	noCandidate = -1
)

// candidate is a runner that can take a request now.
type candidate struct {
	id string
	// load is the estimated number of requests that execute or wait there, slots the
	// number that can execute at the same time.
	load, slots int
	// prefillMs is the estimated duration of the prefill in progress at the runner.
	prefillMs int64
	// sameZone is true if the runner is in the router's own zone.
	sameZone bool
	// unhealthy is true if attempts there failed recently.
	unhealthy bool
	// connected is true if a connection to it can be reused for the request.
	connected bool
}

// selection holds the criteria by which choose selects one of the candidates.
type selection struct {
	// affinity is a hash of the prompt parts that may be shared with other requests, or 0
	// if there are none.
	affinity uint64
	// mostlyShared is true if these parts are most of the prompt. Waiting behind other
	// requests then costs less than prefilling them again at another runner.
	mostlyShared bool
	// prefillDelaysStreams is true if several prompts at one runner would delay its
	// streams for longer than the route allows.
	prefillDelaysStreams bool
	// draw is a pseudo-random number that differs between requests, and
	// between the attempts of one request.
	draw uint64
}

// choose returns the index of the runner for a request, or noCandidate. Unhealthy runners
// are chosen only if there is no other. With prefillDelaysStreams only the runners with
// the least waiting prefill are considered, except for a prompt that is mostly shared.
func choose(candidates []candidate, s selection) int {
	eligible := make([]int, 0, len(candidates))
	for i := range candidates {
		if !candidates[i].unhealthy {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		for i := range candidates {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return noCandidate
	}
	if s.affinity != 0 && s.mostlyShared {
		return pickByAffinity(candidates, eligible, s.affinity)
	}
	if s.prefillDelaysStreams {
		eligible = withLeastPrefill(candidates, eligible)
	}
	eligible = preferConnected(candidates, eligible)
	if s.affinity != 0 {
		return pickByRank(candidates, eligible, s.affinity)
	}
	return pickByLoad(candidates, eligible, s.draw)
}

// withLeastPrefill keeps the runners with the least waiting prefill. A prefill delays
// every stream of its runner, so no runner should get a second prompt while another is
// idle.
func withLeastPrefill(candidates []candidate, eligible []int) []int {
	least := candidates[eligible[0]].prefillSteps()
	for _, i := range eligible {
		least = min(least, candidates[i].prefillSteps())
	}
	return slices.DeleteFunc(eligible, func(i int) bool { return candidates[i].prefillSteps() > least })
}

// preferConnected keeps only the runners to which a connection can be reused and that
// have at most a few more requests than the least busy runner. If there are none, it
// keeps all. A runner with more than half of its slots taken is not preferred, because at
// a busy runner a prefix cache hit saves more than a reused connection.
func preferConnected(candidates []candidate, eligible []int) []int {
	leastLoad := candidates[eligible[0]].load
	for _, i := range eligible {
		leastLoad = min(leastLoad, candidates[i].load)
	}
	var connected []int
	for _, i := range eligible {
		c := &candidates[i]
		if c.connected && 2*c.load <= c.slots && c.load <= leastLoad+max(sameZoneSlack, c.slots/connectedLoadDivisor) {
			connected = append(connected, i)
		}
	}
	if len(connected) == 0 {
		return eligible
	}
	return connected
}

// pickByAffinity returns the runner with the highest rank for the prompt parts
// (rendezvous hashing) among those that are not too busy, so that all routers
// choose the same one without communicating. If all are too busy it returns
// the least loaded one.
func pickByAffinity(candidates []candidate, eligible []int, affinity uint64) int {
	totalLoad := 0
	for _, i := range eligible {
		totalLoad += candidates[i].load
	}
	loadLimit := affinityLoadFactor*float64(totalLoad)/float64(len(eligible)) + affinityLoadSlack
	best, bestRank, leastLoaded := noCandidate, uint64(0), eligible[0]
	for _, i := range eligible {
		c := &candidates[i]
		if c.load < candidates[leastLoaded].load {
			leastLoaded = i
		}
		if float64(c.load) >= loadLimit || c.load >= c.slots {
			continue
		}
		if rank := mix(affinity ^ hash(c.id)); best == noCandidate || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	if best == noCandidate {
		return leastLoaded
	}
	return best
}

// pickByRank returns the less busy of the two runners with the highest rank for the
// prompt parts. The small shared part is mostly cached at these two, and no runner gets
// much more than its share of the requests.
func pickByRank(candidates []candidate, eligible []int, affinity uint64) int {
	first, second := noCandidate, noCandidate
	var firstRank, secondRank uint64
	for _, i := range eligible {
		rank := mix(affinity ^ hash(candidates[i].id))
		switch {
		case first == noCandidate || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = i, rank
		case second == noCandidate || rank > secondRank:
			second, secondRank = i, rank
		}
	}
	if second != noCandidate && candidates[second].compareLoad(candidates[first]) < 0 {
		return second
	}
	return first
}

// pickByLoad returns the less busy of two randomly drawn runners, which works well with
// loads that are known with a delay. A runner of the router's own zone, drawn the same
// way, is preferred if it has at most sameZoneSlack more requests.
func pickByLoad(candidates []candidate, eligible []int, draw uint64) int {
	best := lessBusyOfTwo(candidates, eligible, draw)
	var inZone []int
	for _, i := range eligible {
		if candidates[i].sameZone {
			inZone = append(inZone, i)
		}
	}
	if len(inZone) == 0 {
		return best
	}
	near := lessBusyOfTwo(candidates, inZone, mix(draw+1))
	if candidates[near].load <= candidates[best].load+sameZoneSlack {
		return near
	}
	return best
}

// lessBusyOfTwo draws two of the indexes and returns the one of the less busy runner.
func lessBusyOfTwo(candidates []candidate, indexes []int, draw uint64) int {
	a := indexes[draw%uint64(len(indexes))]
	b := indexes[mix(draw)%uint64(len(indexes))]
	if candidates[b].compareLoad(candidates[a]) < 0 {
		return b
	}
	return a
}

// compareLoad is negative if c is less busy than other and positive if it is busier.
// Waiting prefill is compared first, because it delays all requests at a runner.
func (c candidate) compareLoad(other candidate) int {
	return cmp.Or(cmp.Compare(c.prefillSteps(), other.prefillSteps()), cmp.Compare(c.load, other.load))
}

// prefillSteps returns the waiting prefill in units of prefillStepMs, rounded down.
func (c candidate) prefillSteps() int64 { return c.prefillMs / prefillStepMs }

// hash returns the FNV-1a hash of a text.
func hash(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(n uint64) uint64 {
	n += 0x9e3779b97f4a7c15
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// affinity returns a hash of all parts of a prompt except the last one, which other
// requests do not share. It returns 0 if the prompt has fewer than two parts.
func affinity(service string, params RequestParams) uint64 {
	if len(params.PromptParts) < 2 {
		return 0
	}
	sum := fnv.New64a()
	for _, text := range []string{service, params.Model, params.Adapter} {
		_, _ = sum.Write([]byte(text))
		_, _ = sum.Write([]byte{'/'})
	}
	for _, part := range params.PromptParts[:len(params.PromptParts)-1] {
		_, _ = sum.Write([]byte(part.ID))
		_, _ = sum.Write([]byte{','})
	}
	return max(1, sum.Sum64())
}

// mostlyShared reports whether more than half of a prompt may be shared with
// other requests.
func mostlyShared(params RequestParams) bool {
	common := int64(0)
	for _, part := range params.PromptParts[:max(0, len(params.PromptParts)-1)] {
		common += part.Tokens
	}
	return 2*common > params.PromptTokens
}
