package proxy

// rateWindowMs is the length of a time window of completionRate.
const rateWindowMs = 500

// completionRate counts events in the current time window and in the previous one.
type completionRate struct {
	current, previous float64
	// windowStartMs is when the current window began, or 0 before the first event.
	windowStartMs int64
}

// record counts one event.
func (c *completionRate) record(nowMs int64) {
	if c.windowStartMs == 0 {
		c.windowStartMs = nowMs
	}
	for windows := (nowMs - c.windowStartMs) / rateWindowMs; windows > 0; windows-- {
		c.windowStartMs += rateWindowMs
		c.previous, c.current = c.current, 0
		if nowMs-c.windowStartMs > 2*rateWindowMs {
			// After a pause this long both windows are empty.
			c.windowStartMs, c.previous = nowMs, 0
			break
		}
	}
	c.current++
}

// perSecond estimates the rate by the window with more events.
func (c *completionRate) perSecond() float64 {
	return max(c.previous, c.current) * 1000 / rateWindowMs
}
