package proxy

const (
	// clientsLeaveMs is how long after the ready page answers 503 the platform
	// may still send new clients here, in usual times. While fewer than half of
	// a zone's routers are ready it goes on sending them.
	clientsLeaveMs = 2200
	// maxShutdownMarginMs bounds the part of the grace period that is kept for
	// the end of the process: one part in shutdownMarginDivisor.
	maxShutdownMarginMs   = 700
	shutdownMarginDivisor = 12
	// finalResponsesDivisor: one part of that margin is for the final responses
	// of requests that were cut short, another for closing the connections.
	finalResponsesDivisor = 4
)

// shutdownTimes are the times of a planned shutdown, in ms since its beginning.
type shutdownTimes struct {
	// leaveMs is when clients should have left. A request that arrives later is
	// served only if its deadline is before endMs.
	leaveMs int64
	// queueEndMs is when requests that arrived before leaveMs and still wait for
	// a runner are rejected.
	queueEndMs int64
	// endMs is when attempts under way are cancelled.
	endMs int64
	// exitMs is when the process ends even if requests are under way.
	exitMs int64
	// closingMs is how long after that connections may take to close.
	closingMs int64
}

// shutdownTimesOf derives the times of a planned shutdown from the time between
// SIGTERM and SIGKILL.
func shutdownTimesOf(graceMs int64) shutdownTimes {
	marginMs := min(maxShutdownMarginMs, graceMs/shutdownMarginDivisor)
	endMs := graceMs - marginMs
	return shutdownTimes{
		leaveMs: min(clientsLeaveMs, endMs/2), queueEndMs: graceMs / 2, endMs: endMs,
		exitMs: endMs + marginMs/finalResponsesDivisor, closingMs: marginMs / finalResponsesDivisor,
	}
}

// shutdownPhase is how far the shutdown of a Server is. It only goes up.
type shutdownPhase int

const (
	// servingAll: clients may still come, and all requests are served.
	servingAll shutdownPhase = iota
	// servingShort: clients should have left. Idle connections are closed, and
	// the machine rejects requests that may outlast the shutdown.
	servingShort
	// refusing: no request is passed on any more; those under way end.
	refusing
	// cancelling: attempts are cancelled, and each request gets its final response.
	cancelling
	// shutDown: the process may end.
	shutDown
)

// next returns the phase that follows from the one before, the time since the
// beginning and the number of requests under way. The process ends only after a
// look at which no request was under way and none could be passed on any more, or
// after cancelling, also if it stood still until then.
func (t shutdownTimes) next(phase shutdownPhase, elapsedMs, activeRequests int64) shutdownPhase {
	idle := activeRequests == 0
	switch {
	case phase >= refusing && idle, phase == cancelling && elapsedMs >= t.exitMs:
		return shutDown
	case elapsedMs >= t.endMs:
		return max(phase, cancelling)
	case phase == servingShort && idle:
		return refusing
	case elapsedMs >= t.leaveMs:
		return max(phase, servingShort)
	}
	return phase
}

// shutdownState is what a machine knows of a planned shutdown.
type shutdownState struct {
	// draining is set by Drain; startMs is when the shutdown began.
	draining bool
	startMs  int64
	times    shutdownTimes
}

// begin notes when the shutdown began; only the first call counts.
func (s *shutdownState) begin(startMs, graceMs int64) {
	if !s.draining {
		*s = shutdownState{draining: true, startMs: startMs, times: shutdownTimesOf(graceMs)}
	}
}

// mayAttempt reports whether an attempt may begin for a request with this time of
// arrival and deadline. What arrives after clients should have left must end, at
// the latest at its deadline, before the process does: no request is taken only to
// be cut off.
func (s *shutdownState) mayAttempt(nowMs, arrivedMs, deadlineMs int64) bool {
	if !s.draining {
		return true
	}
	if arrivedMs < s.startMs+s.times.leaveMs {
		return nowMs < s.startMs+s.times.queueEndMs
	}
	endMs := s.startMs + s.times.endMs
	return nowMs < endMs && deadlineMs <= endMs
}
