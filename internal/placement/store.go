package placement

import "math"

// Limiter keeps the pace of the weight store: how many loads of weights began
// within its window over all runners.
type Limiter struct {
	windowMs int64
	perSec   float64
	// startedMs holds until when each load may at latest have begun; openMs those
	// of which it is not known yet.
	startedMs []int64
	reserved  map[uint64]bool
}

// windowMarginMs is added to the window: an order reaches its runner later than it
// was sent, by a time that differs.
const windowMarginMs = 250

// Limit is how many loads may begin within the window. The rule allows more
// (its share over, and three); that is left as the margin.
func (s *Limiter) Limit() int { return max(1, int(s.perSec*float64(s.windowMs)/1000)) }

// Concurrency is how many loads run side by side without slowing each other, by
// the pace of the store and the time of a load.
func (s *Limiter) Concurrency(loadMs int64) int {
	return max(2, int(math.Round(s.perSec*float64(loadMs)/1000)))
}

// AssumePriorLoads takes two thirds of the window for used up, evenly, as the holder
// before may have used it; priorLoadAgesMs is what is known of that holder's loads.
func (s *Limiter) AssumePriorLoads(nowMs int64, agesMs []int64) {
	s.startedMs, s.reserved = s.startedMs[:0], map[uint64]bool{}
	guess := s.Limit() * 2 / 3
	for i := range max(guess, len(agesMs)) {
		atMs := nowMs - s.windowMs
		if i < guess {
			atMs = nowMs - s.windowMs*int64(guess-1-i)/int64(max(1, guess))
		}
		if i < len(agesMs) {
			atMs = max(atMs, nowMs-agesMs[i])
		}
		s.startedMs = append(s.startedMs, atMs)
	}
}

func (s *Limiter) expire(nowMs int64) {
	kept := s.startedMs[:0]
	for _, atMs := range s.startedMs {
		if nowMs-atMs < s.windowMs+windowMarginMs {
			kept = append(kept, atMs)
		}
	}
	s.startedMs = kept
}

// Available is how many loads may begin now.
func (s *Limiter) Available(nowMs int64) int {
	s.expire(nowMs)
	return s.Limit() - len(s.startedMs) - len(s.reserved)
}

// Reserve counts an order that may begin a load from now on.
func (s *Limiter) Reserve(number uint64) { s.reserved[number] = true }

// Settle says that by now the load has begun, or that it never will.
func (s *Limiter) Settle(nowMs int64, number uint64, began bool) {
	if !s.reserved[number] {
		return
	}
	delete(s.reserved, number)
	if began {
		s.startedMs = append(s.startedMs, nowMs)
	}
}

// AgesMs tells a follower how long ago the loads began.
func (s *Limiter) AgesMs(nowMs int64) []int64 {
	s.expire(nowMs)
	out := make([]int64, 0, len(s.startedMs)+len(s.reserved))
	for _, atMs := range s.startedMs {
		out = append(out, nowMs-atMs)
	}
	for range s.reserved {
		out = append(out, 0)
	}
	return out
}
