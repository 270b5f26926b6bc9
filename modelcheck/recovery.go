package modelcheck

// retryWriteMs is after how long a write that is not acknowledged is given up
// and another is tried.
const retryWriteMs = 700

// recovery checks that the cluster serves again after the last fault: within
// the bound there must be a primary that acknowledges a write.
type recovery struct {
	// sinceMs is the end of the fault that is being recovered from.
	sinceMs int64
	write   int
	writeMs int64
	done    bool
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
