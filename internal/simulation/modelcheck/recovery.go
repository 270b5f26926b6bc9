package modelcheck

// retryWriteMs is after how long a write that is not acknowledged is given up
// and another is tried. It is longer than the machines take to send a change
// again, which a stream of writes must not put off: the scenario "busy" has one.
const retryWriteMs = 1000

// roundMs rounds the end of a fault up, so that the states after faults that
// ended at nearly the same time can be equal.
const roundMs = 250

// recovery checks that the cluster serves again after the last fault: within
// the bound there must be a primary that acknowledges a write.
type recovery struct {
	// sinceMs is the end of the fault that is being recovered from.
	sinceMs int64
	write   int
	writeMs int64
	done    bool
}

// heal notes that a fault has an effect until a time.
func (c *cluster) heal(endMs int64) {
	rounded := (endMs + roundMs - 1) / roundMs * roundMs
	c.healedMs = max(c.healedMs, rounded)
}

// tick is called at each tick of each member.
func (r *recovery) tick(c *cluster) {
	if c.healedMs > r.sinceMs {
		*r = recovery{sinceMs: c.healedMs}
	}
	if r.done || c.nowMs < r.sinceMs {
		return
	}
	if r.write > 0 && c.checks.isAcknowledged(r.write) {
		r.done = true
		return
	}
	if c.nowMs-r.sinceMs > c.scope.CatchUpMs {
		c.checks.violated(Recovers, c.nowMs, "no write is acknowledged %d ms after the last fault", c.scope.CatchUpMs)
		return
	}
	if r.write == 0 || c.nowMs-r.writeMs >= retryWriteMs {
		r.write, r.writeMs = c.write(), c.nowMs
	}
}
