package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// drainPoll is the time between two looks for the end of a shutdown.
const drainPoll = 20 * time.Millisecond

// Shutdown makes the ready page answer 503, waits until the platform sends no
// new clients and all requests have ended, and returns then, or shortly before
// the end of the grace period.
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
	s.shutdown.leaveMs = shutdownTimesOf(s.settings.Bounds.GraceMs).leaveMs
	s.draining.Store(true)
	s.runtime.Submit(Drain{StartMs: s.shutdown.startMs})
	s.logger.Info("stopping", "requests", s.activeRequests.Load())
}

// stepShutdown does what is due at a time since the beginning of the shutdown.
// It returns true once the process may end.
func (s *Server) stepShutdown(elapsedMs int64) bool {
	times := shutdownTimesOf(s.settings.Bounds.GraceMs)
	if elapsedMs >= times.endMs {
		return true
	}
	if !s.shutdown.clientsLeft && elapsedMs >= times.leaveMs {
		s.shutdown.clientsLeft = true
		// Every response says since the beginning that its connection closes.
		s.clientConns.closeIdle()
	}
	return s.shutdown.clientsLeft && s.activeRequests.Load() == 0
}

// logShutdown logs how a planned shutdown went.
func (s *Server) logShutdown() {
	s.logger.Info("no longer serving",
		"afterMs", s.runtime.Clock().NowMs()-s.shutdown.startMs, "lateRequests", s.shutdown.lateRequests.Load(),
		"lateOnNewConnections", s.shutdown.lateOnNewConns.Load(), "underWay", s.activeRequests.Load())
}

// closeClients closes the clients' connections, those of requests under way
// after a part of the shutdown margin.
func (s *Server) closeClients() {
	closing := time.Duration(shutdownTimesOf(s.settings.Bounds.GraceMs).closingMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), closing)
	defer cancel()
	if s.clientServer.Shutdown(ctx) != nil {
		_ = s.clientServer.Close()
	}
}

// shutdownObserver counts what arrives during a planned shutdown, for its log
// line. It may be used from several goroutines.
type shutdownObserver struct {
	// startedAt is when the shutdown began; it is set before draining is.
	startedAt time.Time
	startMs   int64
	// leaveMs is when clients should have left, since the beginning.
	leaveMs int64
	// clientsLeft says that clients should have left; only Shutdown uses it.
	clientsLeft bool
	// lateRequests arrived after the time at which clients should have left,
	// lateOnNewConns of them on connections accepted after it.
	lateRequests, lateOnNewConns atomic.Int64
}

// requestArrived counts a request that arrives during the shutdown.
func (o *shutdownObserver) requestArrived(nowMs int64, r *http.Request) {
	if nowMs-o.startMs < o.leaveMs {
		return
	}
	o.lateRequests.Add(1)
	connection := clientConnOf(r)
	if connection != nil && connection.acceptedAt.Sub(o.startedAt) >= time.Duration(o.leaveMs)*time.Millisecond {
		o.lateOnNewConns.Add(1)
	}
}
