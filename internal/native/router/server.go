package router

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/dataplane"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/settings"
	"myrtlewinch/internal/threads"
)

const (
	// tickMs is the interval between two ticks of the state machine.
	tickMs = 20
	// maxBodyBytes is the maximum size of the body of a request.
	maxBodyBytes = 16 << 20
	// maxRequests is the maximum number of requests that are served at the same time.
	maxRequests = 8192
	// maxNameLength is the maximum length of a request's id, model and adapter.
	maxNameLength = 128
	// incarnationBytes is the length of a process's random incarnation.
	incarnationBytes = 8
	// maxShutdownMs is how long a shutdown waits for requests to finish. It ends earlier once no
	// request is active and none has arrived for quietShutdownMs: clients are then assumed to
	// use other routers.
	maxShutdownMs   = 10_000
	quietShutdownMs = 500
	// finalResponsesMs is how long, after maxShutdownMs, the error responses to requests with
	// cancelled attempts may take.
	finalResponsesMs = 500
	// shutdownPoll is the interval at which a shutdown checks whether it may end.
	shutdownPoll = 20 * time.Millisecond
)

// Server runs a router as a process: its state machine in a process.Runtime, and the HTTP server
// for clients and operators.
type Server struct {
	runtime *process.Runtime
	machine *Machine
	self    protocol.Node
	// activeRequests is the number of requests that are served now.
	activeRequests atomic.Int64
	// lastRequestNumber is the number in the last id that was generated for a request without one.
	lastRequestNumber atomic.Uint64
	// lastRequestMs is when the last request arrived.
	lastRequestMs atomic.Int64
	// attemptsContext is the context of all attempts. cancelAttempts cancels it, which ends them.
	attemptsContext context.Context
	cancelAttempts  func()
}

// NewServer returns a router that runs once its tasks are started. It accepts connections of
// other daemons on peers, and connections of clients and operators on web.
func NewServer(set settings.Settings, peers, web net.Listener, logger *log.Logger) (*Server, error) {
	token := make([]byte, incarnationBytes)
	if _, err := rand.Read(token); err != nil {
		return nil, errors.Wrap(err, "generating the incarnation")
	}
	self := protocol.Node{
		Name: set.Name, Address: set.Address, Zone: set.Zone, Part: protocol.RoleRouter, Incarnation: hex.EncodeToString(token),
	}
	clock := process.NewClock()
	machine := New(Settings{Site: set.Site, Self: self, Seeds: set.Seeds, RunnerListAddress: set.Platform}, clock.NowMs())
	s := &Server{machine: machine, self: self}
	s.attemptsContext, s.cancelAttempts = context.WithCancel(context.Background())
	options := process.Options{Site: set.Site, Self: self, Clock: clock, Log: logger, TickMs: tickMs}
	s.runtime = process.New(options, machine, nil, peers, web, s)
	return s, nil
}

// AddTasks adds the router's tasks to a group.
func (s *Server) AddTasks(group *threads.Group) { s.runtime.AddTasks(group) }

// Pause stops all work of the router until release is called, like a frozen process. It is for
// tests.
func (s *Server) Pause() (release func()) { return s.runtime.Pause() }

// Shutdown rejects new and queued requests. It returns once the active requests have ended and no
// new ones arrive. Attempts that still run after maxShutdownMs are cancelled, and their clients
// get an error response.
func (s *Server) Shutdown() {
	s.runtime.Submit(Drain{})
	s.runtime.DisableKeepAlives()
	clock := s.runtime.Clock()
	startMs := clock.NowMs()
	s.lastRequestMs.Store(startMs)
	for !s.stepShutdown(startMs, clock.NowMs()) {
		time.Sleep(shutdownPoll)
	}
}

// stepShutdown runs what is due at nowMs in a shutdown that began at startMs. It returns true once
// the process may exit.
func (s *Server) stepShutdown(startMs, nowMs int64) bool {
	elapsedMs := nowMs - startMs
	idle := s.activeRequests.Load() <= 0
	if elapsedMs < maxShutdownMs {
		return idle && nowMs-s.lastRequestMs.Load() >= quietShutdownMs
	}
	alreadyCancelled := s.attemptsContext.Err() != nil
	s.cancelAttempts()
	return idle || alreadyCancelled && elapsedMs >= maxShutdownMs+finalResponsesMs
}

// ServeHTTP serves clients and operators.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, isService := strings.CutPrefix(r.URL.Path, "/services/")
	isService = isService && service != ""
	switch {
	case isService && r.Method == http.MethodPost:
		s.serveRequest(w, r, service)
	case isService:
		w.Header().Set("Allow", http.MethodPost)
		errkind.ErrorBody{Kind: errkind.WrongMethod, Detail: r.Method}.Write(w)
	case r.URL.Path == "/status" && r.Method == http.MethodGet:
		s.serveStatus(w, r)
	case r.URL.Path == "/soundness" && r.Method == http.MethodGet:
		s.serveHealth(w, r)
	case r.URL.Path == "/counters" && r.Method == http.MethodGet:
		s.runtime.WriteJSON(w, r, s.runtime.Counts())
	default:
		errkind.ErrorBody{Kind: errkind.UnknownPage, Detail: r.URL.Path}.Write(w)
	}
}

func (s *Server) queryStatus(r *http.Request) (Status, bool) {
	answer, ok := dataplane.QueryStatus(r, s.runtime, func(id uint64) protocol.Input { return StatusQuery{ID: id} })
	status, isStatus := answer.(Status)
	return status, ok && isStatus
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, ok := s.queryStatus(r)
	if !ok {
		errkind.ErrorBody{Kind: errkind.ControlPlaneUnavailable, Detail: "the router did not reply in time"}.Write(w)
		return
	}
	s.runtime.WriteJSON(w, r, status)
}

// serveHealth serves the health check: it succeeds if this router may send requests now.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	status, ok := s.queryStatus(r)
	if !ok || !status.Usable || status.Stopping {
		errkind.ErrorBody{Kind: errkind.ControlPlaneUnavailable, Detail: "this router may not send requests at present"}.Write(w)
		return
	}
	s.runtime.WriteJSON(w, r, map[string]any{"sound": true, "revision": status.Revision})
}

// requestBody is the body of a client's request.
type requestBody struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Adapter string          `json:"adapter"`
	Input   json.RawMessage `json:"input"`
}

// parseRequestBody parses the body of a request. The error has an empty kind if it is valid.
func parseRequestBody(text []byte) (requestBody, errkind.ErrorBody) {
	var in requestBody
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return in, badRequest(err.Error())
	}
	if len(bytes.TrimSpace(text[decoder.InputOffset():])) > 0 {
		return in, badRequest("text after the end of the JSON body")
	}
	for _, field := range []struct{ name, value string }{{"id", in.ID}, {"model", in.Model}, {"adapter", in.Adapter}} {
		if len(field.value) > maxNameLength || strings.ContainsAny(field.value, "/\n") {
			return in, badRequest(field.name + ": longer than 128 bytes, or contains a slash or a newline")
		}
	}
	return in, errkind.ErrorBody{}
}

// bodyError returns the error for a body that could not be read.
func bodyError(kind errkind.Kind) errkind.ErrorBody {
	switch kind {
	case errkind.TooLarge:
		return errkind.ErrorBody{Kind: kind, Detail: fmt.Sprintf("the body has more than %d bytes", maxBodyBytes)}
	case errkind.BadRequest:
		return badRequest("reading the body failed")
	}
	return errkind.ErrorBody{Kind: kind}
}

func badRequest(detail string) errkind.ErrorBody {
	return errkind.ErrorBody{Kind: errkind.BadRequest, Detail: detail}
}

// serveRequest serves a client's request to a service.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, service string) {
	s.lastRequestMs.Store(s.runtime.Clock().NowMs())
	active := s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	if active > maxRequests {
		tooManyRequests("").Write(w)
		return
	}
	body, kind := s.runtime.ReadBody(w, r, maxBodyBytes)
	if kind != "" {
		bodyError(kind).Write(w)
		return
	}
	defer body.Close()
	if !body.GrowForCopy() {
		errkind.ErrorBody{Kind: errkind.Overloaded}.Write(w)
		return
	}
	in, fault := parseRequestBody(body.Bytes)
	if fault.Kind != "" {
		fault.Write(w)
		return
	}
	if strings.Contains(service, "/") {
		errkind.ErrorBody{Kind: errkind.UnknownService, Detail: service}.Write(w)
		return
	}
	requestID := in.ID
	if requestID == "" {
		requestID = fmt.Sprintf("%s-%s-%d", s.self.Name, s.self.Incarnation, s.lastRequestNumber.Add(1))
	}
	e := &exchange{server: s, writer: w, request: r, input: in.Input, requestID: requestID}
	e.serve(Request{
		Service: service, Model: in.Model, Adapter: in.Adapter,
		RequestID: requestID, ClientChoseID: in.ID != "", BodyBytes: int64(len(body.Bytes)),
	})
}

func tooManyRequests(requestID string) errkind.ErrorBody {
	return errkind.ErrorBody{
		Kind: errkind.Overloaded, Detail: "too many requests are in progress at this router", Request: requestID,
	}
}

// attemptTimeout cancels an attempt that takes too long. It is restarted for each chunk of a
// stream.
type attemptTimeout struct{ timer *time.Timer }

func startTimeout(ms int64, cancel func()) attemptTimeout {
	return attemptTimeout{time.AfterFunc(time.Duration(ms)*time.Millisecond, cancel)}
}

func (t attemptTimeout) restart(ms int64) { t.timer.Reset(time.Duration(ms) * time.Millisecond) }

func (t attemptTimeout) stop() { t.timer.Stop() }
