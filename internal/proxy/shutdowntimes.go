package proxy

const (
	// clientsLeaveMs is how long after the ready page responds with 503 the platform
	// normally still sends new clients here. While fewer than half of a zone's routers
	// are ready it continues to send them.
	clientsLeaveMs = 2200
	// A margin at the end of the grace period is reserved for ending the process. It is
	// 1/shutdownMarginDivisor of the grace period, but at most maxShutdownMarginMs.
	maxShutdownMarginMs   = 700
	shutdownMarginDivisor = 12
	// 1/finalResponsesDivisor of that margin is for the final responses of cancelled
	// requests, and as much again for closing the connections.
	finalResponsesDivisor = 4
)

// shutdownTimes are the times of a planned shutdown, in ms since its beginning.
type shutdownTimes struct {
	// leaveMs is when clients should have left, that is, stopped sending requests here. A
	// request that arrives later is served only if its deadline is no later than endMs.
	leaveMs int64
	// queueEndMs is when requests that arrived before leaveMs and still wait for
	// a runner are rejected.
	queueEndMs int64
	// endMs is when attempts in flight are cancelled.
	endMs int64
	// exitMs is when the process ends even if requests are in flight.
	exitMs int64
	// closingMs is how long connections may take to close after exitMs.
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

// shutdownPhase is the progress of a Server's shutdown. It only increases.
type shutdownPhase int

const (
	// servingAll means that new clients may still arrive, and all requests are served.
	servingAll shutdownPhase = iota
	// servingShortRequests means that clients should have left. Idle connections are
	// closed, and the machine rejects requests that may outlast the shutdown.
	servingShortRequests
	// rejecting means that all new requests are rejected, and those in flight end.
	rejecting
	// cancelling means that attempts are cancelled, and each request gets its final
	// response.
	cancelling
	// shutDown means that the process may end.
	shutDown
)

// next returns the phase that follows from the present one, the time since the beginning
// and the number of requests in flight. The process may end only in two cases: a check
// found no request in flight while all new ones are rejected, or the cancelling phase is
// over. A stall does not skip that phase.
func (t shutdownTimes) next(phase shutdownPhase, elapsedMs, activeRequests int64) shutdownPhase {
	idle := activeRequests == 0
	switch {
	case phase >= rejecting && idle, phase == cancelling && elapsedMs >= t.exitMs:
		return shutDown
	case elapsedMs >= t.endMs:
		return max(phase, cancelling)
	case phase == servingShortRequests && idle:
		return rejecting
	case elapsedMs >= t.leaveMs:
		return max(phase, servingShortRequests)
	}
	return phase
}

// shutdownState is what a machine knows of a planned shutdown.
type shutdownState struct {
	// draining is set by Drain. startMs is when the shutdown began.
	draining bool
	startMs  int64
	times    shutdownTimes
}

// begin records when the shutdown began. Only the first call has an effect.
func (s *shutdownState) begin(startMs, graceMs int64) {
	if !s.draining {
		*s = shutdownState{draining: true, startMs: startMs, times: shutdownTimesOf(graceMs)}
	}
}

// mayAttempt reports whether an attempt may begin for a request with this time of arrival
// and deadline. Attempts are cancelled at endMs. A request that arrives after clients
// should have left is therefore accepted only if its deadline is no later than endMs, so
// that it is not aborted.
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
