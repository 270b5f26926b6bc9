package invariants

// incarnationKey identifies one process of a runner.
type incarnationKey struct{ runner, incarnation string }

// order is an order as a runner received it.
type order struct {
	atMs   int64
	holder string
}

// limits are the limits of an accepted description.
type limits struct {
	acceptedMs int64
	// capacities holds the capacities by runner. A capacity that is 0 or
	// missing sets no limit.
	capacities map[string]int64
}

// runnerLog records the observations of orders, loads and leaving runners.
type runnerLog struct {
	// leavingLearnedMs is when a router or controller first learned that a runner is
	// leaving.
	leavingLearnedMs map[incarnationKey]int64
	orders           []order
	// loadsMs holds the times at which loads from the weight store began.
	loadsMs []int64
	// loadLimit is the number of loads that the newest description allows
	// within loadWindowMs, and previousLoadLimit the number that the
	// description before it allows.
	loadLimit, previousLoadLimit int64
	// limits holds the limits of the newest description. It is nil before the
	// first call of LimitsAccepted.
	limits *limits
}

func newRunnerLog(loadLimit int64) runnerLog {
	return runnerLog{leavingLearnedMs: map[incarnationKey]int64{}, loadLimit: loadLimit}
}

// LeavingLearned records that a daemon learned from the platform that a runner is
// leaving. Only the first time counts.
func (c *Checker) LeavingLearned(atMs int64, runner, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := incarnationKey{runner, incarnation}
	if _, known := c.runners.leavingLearnedMs[key]; !known {
		c.runners.leavingLearnedMs[key] = atMs
	}
}

// OrderReceived records that a runner received an order of a lease holder.
func (c *Checker) OrderReceived(atMs int64, runner, holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if count := len(c.runners.orders); count > 0 {
		last := c.runners.orders[count-1]
		if last.holder != holder && atMs-last.atMs < HolderGapMs {
			c.report(RuleOverlappingHolders, atMs, "%s sent an order to %s %d ms after an order of %s", holder, runner, atMs-last.atMs, last.holder)
		}
	}
	c.runners.orders = append(c.runners.orders, order{atMs: atMs, holder: holder})
}

// OrderCount returns the number of orders that runners received.
func (c *Checker) OrderCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runners.orders)
}

// LimitsAccepted records the limits of a description that was accepted: the
// loads that the weight store allows in ten seconds, and the runners' capacities.
func (c *Checker) LimitsAccepted(atMs, loadsPer10s int64, capacities map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runners.previousLoadLimit = c.runners.loadLimit
	c.runners.loadLimit = loadsPer10s
	c.runners.limits = &limits{acceptedMs: atMs, capacities: capacities}
}

// loadLimitAt returns how many loads may begin in the window that ends at a
// time. If the limit changed within the window, the larger limit applies.
func (l *runnerLog) loadLimitAt(atMs int64) int64 {
	if l.limits != nil && atMs < l.limits.acceptedMs+loadWindowMs {
		return max(l.previousLoadLimit, l.loadLimit)
	}
	return l.loadLimit
}

// LoadStarted records that a runner began to load from the weight store.
func (c *Checker) LoadStarted(atMs int64, runner, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runners.loadsMs = append(c.runners.loadsMs, atMs)
	var within int64
	for _, startedMs := range c.runners.loadsMs {
		if startedMs > atMs-loadWindowMs {
			within++
		}
	}
	if within > c.runners.loadLimitAt(atMs) {
		c.report(RuleStoreRateLimit, atMs, "%d loads from the weight store within 10 s, the last one of %s by %s", within, model, runner)
	}
}

// CapacityAssigned records the total size that a runner was ordered to hold, and
// the runner's own capacity.
func (c *Checker) CapacityAssigned(atMs int64, runner string, assigned, capacity int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if assigned > c.runners.capacityAt(atMs, runner, capacity) {
		c.report(RuleCapacity, atMs, "%s was ordered to hold a total size of %d, but its capacity is %d", runner, assigned, c.runners.capacityAt(atMs, runner, capacity))
	}
}

// capacityAt returns the smaller of a runner's own capacity and that in the
// newest description. The latter applies only once StaleRevisionLimitMs have
// passed since that description was accepted.
func (l *runnerLog) capacityAt(atMs int64, runner string, capacity int64) int64 {
	if l.limits == nil || atMs <= l.limits.acceptedMs+StaleRevisionLimitMs {
		return capacity
	}
	if described := l.limits.capacities[runner]; described > 0 {
		return min(capacity, described)
	}
	return capacity
}
