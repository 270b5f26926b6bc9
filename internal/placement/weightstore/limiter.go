// Package weightstore limits the rate at which runners begin to load weights from the site's
// weight store. It is a pure state machine: the caller passes the time in.
package weightstore

import "math"

// windowMarginMs is added to the window because an order reaches its runner with a delay that
// differs from order to order.
const windowMarginMs = 250

// Limiter keeps the number of loads that begin within any window, over all runners, at or below
// the store's rate limit. Create it with NewLimiter.
type Limiter struct {
	windowMs int64
	// loadsPerSec is the store's rate limit, 0 until a configuration sets one.
	loadsPerSec float64
	// startedMs holds, for each load that counts against the rate limit, the latest time at
	// which it may have begun.
	startedMs []int64
	// reserved holds the numbers of the orders whose load may have begun, but is not known to
	// have.
	reserved map[uint64]bool
}

// NewLimiter returns a limiter with a window in ms.
func NewLimiter(windowMs int64) *Limiter {
	return &Limiter{windowMs: max(1, windowMs), reserved: map[uint64]bool{}}
}

// SetRate sets the store's rate limit in loads per second.
func (l *Limiter) SetRate(loadsPerSec float64) { l.loadsPerSec = loadsPerSec }

// Limit returns how many loads may begin within the window. The rule that the platform checks
// allows slightly more; the difference is a safety margin.
func (l *Limiter) Limit() int { return max(1, int(l.loadsPerSec*float64(l.windowMs)/1000)) }

// Concurrency returns how many loads that each take loadMs can run at the same time without
// slowing each other.
func (l *Limiter) Concurrency(loadMs int64) int {
	return max(2, int(math.Round(l.loadsPerSec*float64(loadMs)/1000)))
}

// AssumePriorLoads initializes the limiter of a new primary. Two thirds of the limit count as
// used, evenly over the window, because the previous primary may have used them. agesMs holds
// the ages of those of its loads that are known.
func (l *Limiter) AssumePriorLoads(nowMs int64, agesMs []int64) {
	l.startedMs, l.reserved = l.startedMs[:0], map[uint64]bool{}
	assumed := l.Limit() * 2 / 3
	for i := range max(assumed, len(agesMs)) {
		startedMs := nowMs - l.windowMs
		if i < assumed {
			startedMs = nowMs - l.windowMs*int64(assumed-1-i)/int64(max(1, assumed))
		}
		if i < len(agesMs) {
			startedMs = max(startedMs, nowMs-agesMs[i])
		}
		l.startedMs = append(l.startedMs, startedMs)
	}
}

func (l *Limiter) expire(nowMs int64) {
	kept := l.startedMs[:0]
	for _, startedMs := range l.startedMs {
		if nowMs-startedMs < l.windowMs+windowMarginMs {
			kept = append(kept, startedMs)
		}
	}
	l.startedMs = kept
}

// Available returns how many loads may begin now. It is negative if the rate limit was lowered
// below what has already begun.
func (l *Limiter) Available(nowMs int64) int {
	l.expire(nowMs)
	return l.Limit() - len(l.startedMs) - len(l.reserved)
}

// Reserve counts an order whose load may begin from now on.
func (l *Limiter) Reserve(order uint64) { l.reserved[order] = true }

// IsReserved reports whether an order's load is still counted as one that may begin.
func (l *Limiter) IsReserved(order uint64) bool { return l.reserved[order] }

// EndReservation ends the reservation of an order: its load has begun by now, or it never will.
func (l *Limiter) EndReservation(nowMs int64, order uint64, began bool) {
	if !l.reserved[order] {
		return
	}
	delete(l.reserved, order)
	if began {
		l.startedMs = append(l.startedMs, nowMs)
	}
}

// AgesMs returns the ages in ms of the loads that count against the rate limit, for the snapshot
// to followers. A reserved load has age 0, because it may begin at any moment.
func (l *Limiter) AgesMs(nowMs int64) []int64 {
	l.expire(nowMs)
	out := make([]int64, 0, len(l.startedMs)+len(l.reserved))
	for _, startedMs := range l.startedMs {
		out = append(out, nowMs-startedMs)
	}
	for range l.reserved {
		out = append(out, 0)
	}
	return out
}
