package modelcheck

// retryWriteMs is after how long a write that is not acknowledged is given up
// and another is submitted. It is longer than the machines take to resend a
// change, since a stream of writes must not put that off: the scenario "busy"
// has one.
const retryWriteMs = 1000

// roundingMs rounds the end of a fault up, so that the states after faults that
// ended at nearly the same time can be equal.
const roundingMs = 250

// recovery checks that the cluster serves again after the last fault: within
// the bound there must be a primary that acknowledges a write.
type recovery struct {
	// sinceMs is the end of the fault from which the cluster recovers.
	sinceMs int64
	// write is the number of the last write that was submitted, or 0, and writeMs
	// its time.
	write   int
	writeMs int64
	// done says that the cluster has recovered.
	done bool
}

// noteFaultUntil notes that a fault has an effect until a time.
func (c *cluster) noteFaultUntil(endMs int64) {
	rounded := (endMs + roundingMs - 1) / roundingMs * roundingMs
	c.faultsEndMs = max(c.faultsEndMs, rounded)
}

// hasRecovered says whether the cluster has recovered from all faults so far.
func (c *cluster) hasRecovered() bool {
	return c.recovery.done && c.recovery.sinceMs >= c.faultsEndMs
}

// check is called at each tick of each member.
func (r *recovery) check(c *cluster) {
	if c.faultsEndMs > r.sinceMs {
		*r = recovery{sinceMs: c.faultsEndMs}
	}
	if r.done || c.nowMs < r.sinceMs {
		return
	}
	if r.write > 0 && c.checks.isAcknowledged(r.write) {
		r.done = true
		return
	}
	if c.nowMs-r.sinceMs > c.scope.CatchUpMs {
		c.checks.violate(Recovers, c.nowMs, "no write is acknowledged %d ms after the last fault", c.scope.CatchUpMs)
		return
	}
	if r.write == 0 || c.nowMs-r.writeMs >= retryWriteMs {
		r.write, r.writeMs = c.submitWrite(), c.nowMs
	}
}
