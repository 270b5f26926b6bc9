package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"myrtlewinch/internal/httpserver"
)

// drainPoll is the interval at which Shutdown checks its progress.
const drainPoll = 20 * time.Millisecond

// Shutdown makes the ready page respond with 503 and waits until the platform sends no
// new clients and all requests have ended. Shortly before the end of the grace period it
// sends a final response to each request that has none, and returns in any case. See
// shutdownPhase for its steps.
func (s *Server) Shutdown() {
	s.beginShutdown()
	clock := s.runtime.Clock()
	for !s.stepShutdown(clock.NowMs() - s.shutdown.startMs) {
		time.Sleep(drainPoll)
	}
	s.logShutdown()
}

// beginShutdown begins a planned shutdown.
func (s *Server) beginShutdown() {
	s.shutdown.startedAt, s.shutdown.startMs = time.Now(), s.runtime.Clock().NowMs()
	s.shutdown.times = shutdownTimesOf(s.settings.Bounds.GraceMs)
	s.draining.Store(true)
	s.runtime.Submit(Drain{StartMs: s.shutdown.startMs})
	s.logger.Info("stopping", "requests", s.activeRequests.Load())
}

// stepShutdown enters the shutdown phases that have begun. elapsedMs is the time since
// the beginning of the shutdown. It returns true once the process may end.
func (s *Server) stepShutdown(elapsedMs int64) bool {
	next := s.shutdown.times.next(s.shutdown.phase, elapsedMs, s.activeRequests.Load())
	for s.shutdown.phase < next {
		s.shutdown.phase++
		s.enterShutdownPhase(s.shutdown.phase)
	}
	return s.shutdown.phase == shutDown
}

// enterShutdownPhase carries out the action for the beginning of a phase, if there is
// one.
func (s *Server) enterShutdownPhase(phase shutdownPhase) {
	switch phase {
	case servingShortRequests:
		// Every response since the beginning of the shutdown has "Connection: close".
		s.clientConns.CloseIdle()
	case rejecting:
		s.rejecting.Store(true)
	case cancelling:
		s.cancelAttempts()
	}
}

// logShutdown logs the figures of a finished shutdown.
func (s *Server) logShutdown() {
	s.logger.Info("no longer serving",
		"afterMs", s.runtime.Clock().NowMs()-s.shutdown.startMs, "lateRequests", s.shutdown.lateRequests.Load(),
		"lateOnNewConnections", s.shutdown.lateOnNewConns.Load(), "underWay", s.activeRequests.Load())
}

// closeClients closes the clients' connections. Before that, requests in flight get a part
// of the shutdown margin in which they can end.
func (s *Server) closeClients() {
	closing := time.Duration(shutdownTimesOf(s.settings.Bounds.GraceMs).closingMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), closing)
	defer cancel()
	if s.clientServer.Shutdown(ctx) != nil {
		_ = s.clientServer.Close()
	}
}

// serverShutdown is the state of a Server's planned shutdown. Only Shutdown changes it,
// except for the counters lateRequests and lateOnNewConns. They are logged at the end of
// the shutdown.
type serverShutdown struct {
	// startedAt and startMs are when it began, times the schedule that follows from the
	// grace period. They are set before draining is.
	startedAt time.Time
	startMs   int64
	times     shutdownTimes
	phase     shutdownPhase
	// lateRequests counts the requests that arrived after the time at which clients
	// should have left. lateOnNewConns counts those of them whose connection was accepted
	// after that time.
	lateRequests, lateOnNewConns atomic.Int64
}

// requestArrived counts a request that arrives during the shutdown. It may be
// called from several goroutines.
func (d *serverShutdown) requestArrived(nowMs int64, r *http.Request) {
	if nowMs-d.startMs < d.times.leaveMs {
		return
	}
	d.lateRequests.Add(1)
	leaveTime := time.Duration(d.times.leaveMs) * time.Millisecond
	connection := httpserver.ConnOf(r)
	if connection != nil && connection.AcceptedAt().Sub(d.startedAt) >= leaveTime {
		d.lateOnNewConns.Add(1)
	}
}
