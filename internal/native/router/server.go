package router

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
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
	// tickMs is the time between two ticks of the machine.
	tickMs = 20
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 16 << 20
	// maxRequests limits the requests that are served at the same time.
	maxRequests = 8192
	// maxNameLength limits a request's id, model and adapter.
	maxNameLength = 128
	// incarnationBytes is the length of a process's random incarnation.
	incarnationBytes = 8
	// maxShutdownMs is how long a shutdown lets requests run. It ends before
	// once no request is under way and none has come for quietShutdownMs, by
	// when clients have learned to go elsewhere.
	maxShutdownMs   = 10_000
	quietShutdownMs = 500
	// finalResponsesMs is how long the final responses of requests that were
	// cut short may take after that.
	finalResponsesMs = 500
	// shutdownPoll is the time between two looks for the end of a shutdown.
	shutdownPoll = 20 * time.Millisecond
)

// Server is a router as a process: its machine in a process.Runtime, and the
// HTTP server for clients and operators.
type Server struct {
	runtime *process.Runtime
	machine *Machine
	self    protocol.Node
	// activeRequests counts the requests that are served now.
	activeRequests atomic.Int64
	// lastRequestNumber is that of the last request without an id of its own.
	lastRequestNumber atomic.Uint64
	// lastRequestMs is when the last request came.
	lastRequestMs atomic.Int64
	// attempts is cancelled by cancelAttempts, which ends all attempts.
	attempts       context.Context
	cancelAttempts func()
}

// NewServer makes a router that runs once its tasks are started. It accepts
// other daemons on peers, and clients and operators on web.
func NewServer(set settings.Settings, peers, web net.Listener, logger *log.Logger) (*Server, error) {
	token := make([]byte, incarnationBytes)
	if _, err := rand.Read(token); err != nil {
		return nil, errors.Wrap(err, "drawing an incarnation")
	}
	self := protocol.Node{
		Name: set.Name, Address: set.Address, Zone: set.Zone, Part: protocol.RoleRouter, Incarnation: hex.EncodeToString(token),
	}
	clock := process.NewClock()
	machine := New(Settings{Site: set.Site, Self: self, Seeds: set.Seeds, Platform: set.Platform}, clock.NowMs())
	s := &Server{machine: machine, self: self}
	s.attempts, s.cancelAttempts = context.WithCancel(context.Background())
	options := process.Options{Site: set.Site, Self: self, Clock: clock, Log: logger, TickMs: tickMs}
	s.runtime = process.New(options, machine, nil, peers, web, s)
	return s, nil
}

// AddTasks adds the router's tasks to a group.
func (s *Server) AddTasks(group *threads.Group) { s.runtime.AddTasks(group) }

// Pause stops the router as a suspended machine would be, until it is
// released. It is for tests.
func (s *Server) Pause() (release func()) { return s.runtime.Pause() }

// Shutdown accepts no new request, waits until those under way have ended and
// clients have gone elsewhere, and returns then. What is under way after
// maxShutdownMs is cut short and gets a final response.
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

// stepShutdown does what is due at a time in a shutdown that began at startMs. It
// returns true once the process may end.
func (s *Server) stepShutdown(startMs, nowMs int64) bool {
	elapsedMs := nowMs - startMs
	idle := s.activeRequests.Load() <= 0
	if elapsedMs < maxShutdownMs {
		return idle && nowMs-s.lastRequestMs.Load() >= quietShutdownMs
	}
	alreadyCancelled := s.attempts.Err() != nil
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
		s.serveSoundness(w, r)
	case r.URL.Path == "/counters" && r.Method == http.MethodGet:
		dataplane.WriteJSON(w, s.runtime.Counts())
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
		errkind.ErrorBody{Kind: errkind.NoConfig, Detail: "no answer in time"}.Write(w)
		return
	}
	dataplane.WriteJSON(w, status)
}

// serveSoundness answers whether this router may send requests now.
func (s *Server) serveSoundness(w http.ResponseWriter, r *http.Request) {
	status, ok := s.queryStatus(r)
	if !ok || !status.Usable || status.Stopping {
		errkind.ErrorBody{Kind: errkind.NoConfig, Detail: "this router may not send at present"}.Write(w)
		return
	}
	dataplane.WriteJSON(w, map[string]any{"sound": true, "revision": status.Revision})
}

// requestBody is the body of a client's request.
type requestBody struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Adapter string          `json:"adapter"`
	Input   json.RawMessage `json:"input"`
}

// readRequestBody reads the body and returns its size too. The error has no
// kind if the body is valid.
func readRequestBody(w http.ResponseWriter, r *http.Request) (requestBody, int64, errkind.ErrorBody) {
	var in requestBody
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return in, 0, errkind.ErrorBody{Kind: errkind.TooLarge, Detail: fmt.Sprintf("more than %d bytes", maxBodyBytes)}
	case err != nil:
		return in, 0, badRequest("the body broke off")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return in, 0, badRequest(err.Error())
	}
	if len(bytes.TrimSpace(text[decoder.InputOffset():])) > 0 {
		return in, 0, badRequest("text after the end")
	}
	for _, field := range []struct{ name, value string }{{"id", in.ID}, {"model", in.Model}, {"adapter", in.Adapter}} {
		if len(field.value) > maxNameLength || strings.ContainsAny(field.value, "/\n") {
			return in, 0, badRequest(field.name + ": not a plain name")
		}
	}
	return in, int64(len(text)), errkind.ErrorBody{}
}

func badRequest(detail string) errkind.ErrorBody {
	return errkind.ErrorBody{Kind: errkind.BadRequest, Detail: detail}
}

// serveRequest serves one request of a client to a service.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, service string) {
	s.lastRequestMs.Store(s.runtime.Clock().NowMs())
	active := s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	if active > maxRequests {
		tooManyRequests("").Write(w)
		return
	}
	in, size, fault := readRequestBody(w, r)
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
		RequestID: requestID, ClientChoseID: in.ID != "", BodyBytes: size,
	})
}

func tooManyRequests(requestID string) errkind.ErrorBody {
	return errkind.ErrorBody{
		Kind: errkind.QueueFull, Detail: "too many requests are under way here", Request: requestID,
	}
}

// attemptTimeout cancels an attempt that takes too long. It is restarted for
// each chunk of a stream.
type attemptTimeout struct{ timer *time.Timer }

func startTimeout(ms int64, cancel func()) attemptTimeout {
	return attemptTimeout{time.AfterFunc(time.Duration(ms)*time.Millisecond, cancel)}
}

func (t attemptTimeout) restart(ms int64) { t.timer.Reset(time.Duration(ms) * time.Millisecond) }

func (t attemptTimeout) stop() { t.timer.Stop() }
