package modelcheck

// retryWriteMs is the time after which an unacknowledged write is abandoned and
// another one is submitted. It is longer than the machines take to resend a change, so
// that these writes cannot postpone a resend. The scenario "busy" tests that a stream
// of writes does not postpone one either.
const retryWriteMs = 1000

// roundingMs is the multiple to which the end of a fault is rounded up, so that the
// states after faults that ended at nearly the same time can be equal.
const roundingMs = 250

// recovery checks that a primary acknowledges a write within Scope.CatchUpMs after
// the last fault.
type recovery struct {
	// sinceMs is the end of the last fault, from which the cluster recovers.
	sinceMs int64
	// write is the number of the last submitted write, or 0. writeMs is the time of the
	// last attempt to submit a write.
	write   int
	writeMs int64
	// done is true if the cluster has recovered.
	done bool
}

// recordFaultEnd records that a fault has an effect until a time.
func (c *cluster) recordFaultEnd(endMs int64) {
	rounded := (endMs + roundingMs - 1) / roundingMs * roundingMs
	c.faultsEndMs = max(c.faultsEndMs, rounded)
}

// hasRecovered reports whether the cluster has recovered from all faults so far.
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
		c.checks.recordViolation(Recovers, c.nowMs, "no write was acknowledged within %d ms after the last fault", c.scope.CatchUpMs)
		return
	}
	if r.write == 0 || c.nowMs-r.writeMs >= retryWriteMs {
		r.write, r.writeMs = c.submitWrite(), c.nowMs
	}
}
