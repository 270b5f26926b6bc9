// Package weightstore limits how often runners begin to load weights from the
// site's weight store. It is pure state: the caller passes the time in.
package weightstore

import "math"

// windowMarginMs is added to the window, because an order reaches its runner
// later than it was sent, by a time that differs from order to order.
const windowMarginMs = 250

// Limiter keeps the number of loads that begin within any window, over all
// runners, at or below the store's rate. Make it with NewLimiter.
type Limiter struct {
	windowMs int64
	// loadsPerSec is the store's rate, 0 until a configuration names one.
	loadsPerSec float64
	// startedMs holds, for each load that counts, the latest time at which it may
	// have begun.
	startedMs []int64
	// reserved holds the numbers of the orders of which it is not known yet
	// whether their load has begun.
	reserved map[uint64]bool
}

// NewLimiter makes a limiter over a window in ms.
func NewLimiter(windowMs int64) *Limiter {
	return &Limiter{windowMs: max(1, windowMs), reserved: map[uint64]bool{}}
}

// SetRate sets the store's rate in loads per second.
func (l *Limiter) SetRate(loadsPerSec float64) { l.loadsPerSec = loadsPerSec }

// Limit is how many loads may begin within the window. The rule that the
// platform checks allows somewhat more; the difference is a safety margin.
func (l *Limiter) Limit() int { return max(1, int(l.loadsPerSec*float64(l.windowMs)/1000)) }

// Concurrency is how many loads of loadMs can run at the same time without
// slowing each other.
func (l *Limiter) Concurrency(loadMs int64) int {
	return max(2, int(math.Round(l.loadsPerSec*float64(loadMs)/1000)))
}

// AssumePriorLoads starts the limiter of a new primary. Two thirds of the limit
// count as used, evenly over the window, since the primary before may have used
// them; agesMs are the ages of those of its loads that are known.
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

// Available is how many loads may begin now. It is negative if the rate fell
// below what has begun already.
func (l *Limiter) Available(nowMs int64) int {
	l.expire(nowMs)
	return l.Limit() - len(l.startedMs) - len(l.reserved)
}

// Reserve counts an order whose load may begin from now on.
func (l *Limiter) Reserve(order uint64) { l.reserved[order] = true }

// IsReserved says whether an order still counts as one whose load may begin.
func (l *Limiter) IsReserved(order uint64) bool { return l.reserved[order] }

// Settle says that the load of an order has begun by now, or that it never will.
func (l *Limiter) Settle(nowMs int64, order uint64, began bool) {
	if !l.reserved[order] {
		return
	}
	delete(l.reserved, order)
	if began {
		l.startedMs = append(l.startedMs, nowMs)
	}
}

// AgesMs are the times in ms since each load that counts began, for the
// snapshot to followers. A load that may begin any moment has age 0.
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
