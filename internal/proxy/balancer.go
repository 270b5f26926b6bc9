package proxy

import "hash/fnv"

// candidate is a runner that may take a request now.
type candidate struct {
	id string
	// load is how many requests are thought to run or wait there.
	load, slots int
	// prefillTokens is how many tokens of prompts are known to wait there.
	prefillTokens int64
	sameZone      bool
	unhealthy     bool
}

// selection is what a choice depends on beside the candidates.
type selection struct {
	// affinity names the parts of the prompt that others share; nought is none.
	affinity uint64
	// mostlyShared says that most of the prompt is shared, so that reading it anew
	// costs more than waiting behind others.
	mostlyShared bool
	// draw is a number that differs for each request.
	draw uint64
}

const (
	// sameZoneSlack is by how much a runner of the own zone may be busier.
	sameZoneSlack = 2
	// A runner that holds the prompt's parts may have a quarter and some more
	// than the average before another one reads them anew.
	affinityLoadFactor, affinityLoadSlack = 1.25, 4
)

// choose gives the place of the runner to take, or -1 where there is none.
func choose(candidates []candidate, w selection) int {
	sound := make([]int, 0, len(candidates))
	for i := range candidates {
		if !candidates[i].unhealthy {
			sound = append(sound, i)
		}
	}
	if len(sound) == 0 {
		for i := range candidates {
			sound = append(sound, i)
		}
	}
	switch {
	case len(sound) == 0:
		return -1
	case w.affinity != 0 && w.mostlyShared:
		return pickByAffinity(candidates, sound, w.affinity)
	case w.affinity != 0:
		return pickByRank(candidates, sound, w.affinity)
	}
	return pickByLoad(candidates, sound, w.draw)
}

// pickByAffinity takes the first in the order of the parts' own hash that is not
// too busy, so that all routers meet at the same runner without a word.
func pickByAffinity(candidates []candidate, of []int, affinity uint64) int {
	total := 0
	for _, i := range of {
		total += candidates[i].load
	}
	bound := affinityLoadFactor*float64(total)/float64(len(of)) + affinityLoadSlack
	best, bestRank, least := -1, uint64(0), of[0]
	for _, i := range of {
		c := &candidates[i]
		if c.load < candidates[least].load {
			least = i
		}
		if float64(c.load) >= bound || c.load >= c.slots {
			continue
		}
		if rank := mix(affinity ^ hash(c.id)); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	if best < 0 {
		return least
	}
	return best
}

// pickByRank takes the less busy of the two that come first in the order of the
// parts' own hash: what little they share is mostly kept there, and no runner
// gets much more than its part.
func pickByRank(candidates []candidate, of []int, affinity uint64) int {
	first, second := -1, -1
	var firstRank, secondRank uint64
	for _, i := range of {
		rank := mix(affinity ^ hash(candidates[i].id))
		switch {
		case first < 0 || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = i, rank
		case second < 0 || rank > secondRank:
			second, secondRank = i, rank
		}
	}
	if second >= 0 && candidates[second].compareLoad(candidates[first]) < 0 {
		return second
	}
	return first
}

// compareLoad compares two runners: prompts that wait to be read hold up all that
// runs there, so they count before the number of requests.
func (c candidate) compareLoad(than candidate) int {
	if d := c.prefillTokens/prefillStep - than.prefillTokens/prefillStep; d != 0 {
		return int(d)
	}
	return c.load - than.load
}

// prefillStep is how many tokens of prompts make a difference.
const prefillStep = 512

// pickByLoad draws two and takes the less busy one, since the loads are known a
// little late; one of the own zone goes first where it is hardly busier.
func pickByLoad(candidates []candidate, of []int, draw uint64) int {
	pick := func(from []int, draw uint64) int {
		a := from[draw%uint64(len(from))]
		b := from[mix(draw)%uint64(len(from))]
		if candidates[b].compareLoad(candidates[a]) < 0 {
			return b
		}
		return a
	}
	best := pick(of, draw)
	var own []int
	for _, i := range of {
		if candidates[i].sameZone {
			own = append(own, i)
		}
	}
	if len(own) > 0 {
		if near := pick(own, mix(draw+1)); candidates[near].load <= candidates[best].load+sameZoneSlack {
			return near
		}
	}
	return best
}

func hash(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}

// mix spreads the bits of a number.
func mix(n uint64) uint64 {
	n += 0x9e3779b97f4a7c15
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// affinity names all parts of a prompt but the last, which is the request's
// own; nought says that there is nothing to share.
func affinity(service string, a RequestParams) uint64 {
	if len(a.PromptParts) < 2 {
		return 0
	}
	sum := fnv.New64a()
	for _, text := range []string{service, a.Model, a.Adapter} {
		_, _ = sum.Write([]byte(text))
		_, _ = sum.Write([]byte{'/'})
	}
	for _, part := range a.PromptParts[:len(a.PromptParts)-1] {
		_, _ = sum.Write([]byte(part.ID))
		_, _ = sum.Write([]byte{','})
	}
	return max(1, sum.Sum64())
}

// mostlyShared says whether most of a prompt is shared with others.
func mostlyShared(a RequestParams) bool {
	common := int64(0)
	for _, part := range a.PromptParts[:max(0, len(a.PromptParts)-1)] {
		common += part.Tokens
	}
	return 2*common > a.PromptTokens
}
