package placement

import "math"

// store keeps the pace of the weight store: how many loads of weights began
// within its window over all runners.
type store struct {
	windowMs int64
	perSec   float64
	// begun holds until when each load may at latest have begun; openMs those
	// of which it is not known yet.
	begun []int64
	open  map[uint64]bool
}

// marginMs is added to the window: an order reaches its runner later than it
// was sent, by a time that differs.
const marginMs = 250

// most is how many loads may begin within the window. The rule allows more
// (its share over, and three); that is left as the margin.
func (s *store) most() int { return max(1, int(s.perSec*float64(s.windowMs)/1000)) }

// atOnce is how many loads run side by side without slowing each other, by
// the pace of the store and the time of a load.
func (s *store) atOnce(loadMs int64) int {
	return max(2, int(math.Round(s.perSec*float64(loadMs)/1000)))
}

// begin takes two thirds of the window for used up, evenly, as the holder
// before may have used it; agesMs is what is known of that holder's loads.
func (s *store) begin(nowMs int64, agesMs []int64) {
	s.begun, s.open = s.begun[:0], map[uint64]bool{}
	guess := s.most() * 2 / 3
	for i := range max(guess, len(agesMs)) {
		atMs := nowMs - s.windowMs
		if i < guess {
			atMs = nowMs - s.windowMs*int64(guess-1-i)/int64(max(1, guess))
		}
		if i < len(agesMs) {
			atMs = max(atMs, nowMs-agesMs[i])
		}
		s.begun = append(s.begun, atMs)
	}
}

func (s *store) drop(nowMs int64) {
	kept := s.begun[:0]
	for _, atMs := range s.begun {
		if nowMs-atMs < s.windowMs+marginMs {
			kept = append(kept, atMs)
		}
	}
	s.begun = kept
}

// left is how many loads may begin now.
func (s *store) left(nowMs int64) int {
	s.drop(nowMs)
	return s.most() - len(s.begun) - len(s.open)
}

// sent counts an order that may begin a load from now on.
func (s *store) sent(number uint64) { s.open[number] = true }

// settled says that by now the load has begun, or that it never will.
func (s *store) settled(nowMs int64, number uint64, began bool) {
	if !s.open[number] {
		return
	}
	delete(s.open, number)
	if began {
		s.begun = append(s.begun, nowMs)
	}
}

// agesMs tells a follower how long ago the loads began.
func (s *store) agesMs(nowMs int64) []int64 {
	s.drop(nowMs)
	out := make([]int64, 0, len(s.begun)+len(s.open))
	for _, atMs := range s.begun {
		out = append(out, nowMs-atMs)
	}
	for range s.open {
		out = append(out, 0)
	}
	return out
}
