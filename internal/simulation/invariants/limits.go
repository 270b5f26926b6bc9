package invariants

// limits is what a description allows from a time on.
type limits struct {
	atMs, loadsPer10s int64
	capacities        map[string]int64
}

// LimitsAccepted notes the pace and the rooms of a description that was accepted.
func (c *Checker) LimitsAccepted(atMs, pace int64, rooms map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.previousLoadLimit = c.loadLimit
	c.loadLimit = pace
	c.limits = &limits{atMs, pace, rooms}
}

// loadLimitAt is the pace that the ten seconds up to a time may have: the
// greater one where a description that changes it falls into them.
func (c *Checker) loadLimitAt(atMs int64) int64 {
	if c.limits != nil && atMs < c.limits.atMs+RetryWindowMs {
		return max(c.previousLoadLimit, c.loadLimit)
	}
	return c.loadLimit
}
