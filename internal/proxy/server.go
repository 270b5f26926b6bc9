package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/dataplane"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/httpserver"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

const (
	// tickMs is the time between two ticks of the machine.
	tickMs = 25
	// defaultMaxBodyBytes limits a request body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20

	// maxRequestsCeiling and minRequestsLimit bound the number of requests that are served at
	// the same time, and of clients' connections, whatever the open files.
	maxRequestsCeiling = 8192
	minRequestsLimit   = 64
	// reservedFiles is the number of open files reserved for everything except clients'
	// requests. Each request uses filesPerRequest: the connection of the client and the
	// connection to the runner.
	reservedFiles   = 400
	filesPerRequest = 2
	// requestBytes is the approximate memory of one request, beyond that of its connection,
	// head and body.
	requestBytes = 32 << 10

	// retryOverloadMs is the Retry-After of a router that is overloaded.
	retryOverloadMs = 300
)

// Names of counters on the counters page; docs/operators.md explains them.
const (
	// Requests rejected because of the limit of concurrent requests.
	countTooManyRequests = "requests too many"
	// Requests rejected because of the limit of all large bodies together.
	countBodiesTooLarge = "bodies too large together"
	// Client connections aborted after a part of a response was forwarded.
	countStreamsAborted = "streams broken off"
	// Attempts cancelled because their runner was unresponsive.
	countUnresponsiveRunner = "sends to a dark runner given up"
	// Responses of runners that were not valid responses to their request.
	countInvalidResponses = "answers that are none"
	// Client connections that the router closed before the response was complete.
	countClosedDuringRequest = "connections closed under a request"
)

// Server is a router as a process: its state machine in a process.Runtime, and the HTTP
// servers for clients and for the platform.
type Server struct {
	runtime        *process.Runtime
	machine        *Machine
	settings       Settings
	codec          Codec
	clientListener net.Listener
	clientServer   *http.Server
	clientConns    *httpserver.Connections
	logger         *log.Logger
	// activeRequests counts the requests that are being served, at most maxRequests.
	activeRequests atomic.Int64
	maxRequests    int64
	// draining is set when a planned shutdown begins, rejecting once all new requests are
	// rejected.
	draining, rejecting atomic.Bool
	shutdown            serverShutdown
	// attemptsContext is the context of all attempts. cancelAttempts cancels it, which ends
	// them.
	attemptsContext context.Context
	cancelAttempts  func()
	tracker         attemptTracker
	// account limits the memory of connections, requests and responses.
	account *memory.Account
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a router that runs once its tasks are started. It accepts connections
// of other daemons on peers and of clients on clients, and serves the ready, status and
// counters pages on ready. The caller carries out the calls to the platform.
func NewServer(settings Settings, codec Codec, format Format, caller process.OutboundCaller, peers, clients, ready net.Listener, logger *log.Logger) (*Server, error) {
	clock := process.NewClock()
	s := &Server{
		machine: New(settings, format, clock.NowMs()), settings: settings, codec: codec, clientListener: clients,
		logger: logger, maxRequests: maxRequestsOf(settings), account: memory.NewAccount(memory.LimitFor(settings.MemoryMb)),
	}
	s.attemptsContext, s.cancelAttempts = context.WithCancel(context.Background())
	s.runtime = process.New(process.Options{
		Site: settings.Site, Self: settings.Self, Clock: clock, Log: logger, TickMs: tickMs, Caller: caller,
		Account: s.account, OpenFiles: settings.OpenFiles,
	}, s.machine, nil, peers, ready, http.HandlerFunc(s.servePlatform))
	s.clientServer = &http.Server{
		// clientConns sets the deadlines for idle connections and for reading heads.
		Handler: s, MaxHeaderBytes: headBytesCeiling, DisableGeneralOptionsHandler: true,
		ErrorLog: logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	s.clientConns = httpserver.NewConnections(httpserver.Options{
		Limits: s.connectionLimits, Account: s.account, MaxConnections: int(s.maxRequests),
		WriteRejection: codec.WriteRejection, Count: s.runtime.Count,
	})
	s.clientConns.Attach(s.clientServer)
	return s, nil
}

// maxRequestsOf returns how many requests and connections the open files allow.
func maxRequestsOf(settings Settings) int64 {
	if settings.OpenFiles <= 0 {
		return maxRequestsCeiling
	}
	byFiles := (settings.OpenFiles - reservedFiles) / filesPerRequest
	return min(maxRequestsCeiling, int64(max(minRequestsLimit, byFiles)))
}

// AddTasks adds the router's tasks to a group.
func (s *Server) AddTasks(group *threads.Group) {
	s.runtime.AddTasks(group)
	group.Add(s.serveClients, s.closeClients)
}

// serveClients accepts clients until closeClients.
func (s *Server) serveClients() error {
	err := s.clientServer.Serve(s.clientConns.Listen(s.clientListener))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// clientLimits returns the limits of the active configuration.
func (s *Server) clientLimits() clientLimits { return clientLimitsOf(s.machine.Configuration()) }

// connectionLimits returns the limits of the connections of clients.
func (s *Server) connectionLimits() httpserver.Limits {
	limits := s.clientLimits()
	limits.HeadBytes, limits.BodyBytes = limits.headBytes, s.maxBodyBytes()
	return limits.Limits
}

// SetSeeds replaces the addresses at which the router searches for the primary.
func (s *Server) SetSeeds(seeds []string) { s.runtime.Submit(SetSeeds{Seeds: seeds}) }

// Pause suspends the router, as a suspended virtual machine would, until release is
// called. It is for tests.
func (s *Server) Pause() (release func()) { return s.runtime.Pause() }

// servePlatform serves the status and counters pages, and under any other path
// the ready page.
func (s *Server) servePlatform(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", http.MethodGet)
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	switch r.URL.Path {
	case "/status":
		s.serveStatus(w, r)
	case "/counters":
		s.runtime.WriteJSON(w, r, s.runtime.Counts())
	default:
		s.serveReady(w)
	}
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, ok := dataplane.QueryStatus(r, s.runtime, func(id uint64) protocol.Input { return StatusQuery{ID: id} })
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.runtime.WriteJSON(w, r, status)
}

// serveReady tells the platform by the status code whether it may send clients to this
// router.
func (s *Server) serveReady(w http.ResponseWriter) {
	if s.machine.Configuration() == nil || s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP serves one request of a client.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Counted before rejecting is read, so that Shutdown misses no request.
	active := s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		s.shutdown.requestArrived(s.runtime.Clock().NowMs(), r)
	}
	if active > s.maxRequests || !s.account.Take(memory.Requests, requestBytes) {
		s.runtime.Count(countTooManyRequests)
		s.rejectUnread(w, r, errkind.Overloaded, retryOverloadMs)
		return
	}
	defer s.account.Release(memory.Requests, requestBytes)
	if s.rejecting.Load() {
		s.rejectUnread(w, r, errkind.ShuttingDown, retryShutdownMs)
		return
	}
	s.serveAdmitted(w, r)
}

// rejectUnread rejects a request whose body has not been read. If there is one, the
// connection is closed, so that the body need not be read.
func (s *Server) rejectUnread(w http.ResponseWriter, r *http.Request, kind errkind.Kind, retryMs int64) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	s.codec.WriteRejection(w, kind, retryMs)
}

// serveAdmitted serves a request that is within the limit of requests.
func (s *Server) serveAdmitted(w http.ResponseWriter, r *http.Request) {
	if headBytes(r) > s.clientLimits().headBytes {
		w.Header().Set("Connection", "close")
		s.codec.WriteRejection(w, errkind.HeadTooLarge, 0)
		return
	}
	path, query, hasQuery := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		s.rejectUnread(w, r, errkind.BadRequest, 0)
		return
	}
	params, err := s.codec.ParseRequest(r)
	if err != nil {
		s.rejectUnread(w, r, errkind.BadRequest, 0)
		return
	}
	body, ok := s.readBody(w, r, &params)
	if !ok {
		return
	}
	defer body.Close()
	e := &exchange{
		server: s, writer: w, request: r, params: params, body: body.Bytes,
		path: path, query: query, hasQuery: hasQuery,
	}
	e.serve()
}

// readBody reads the whole body before the request is sent to a runner, so that no runner
// gets a truncated one. The time that this takes is part of the time that the client allows.
// If it returns false the request has been rejected.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, params *RequestParams) (*httpserver.Body, bool) {
	clock := s.runtime.Clock()
	startMs := clock.NowMs()
	body, kind := s.clientConns.ReadBody(w, r, httpserver.BodyLimits{
		MaxBytes: s.maxBodyBytes(), Timeout: bodyTimeout(params.TimeoutMs),
	})
	if params.TimeoutMs > 0 {
		params.TimeoutMs = max(1, params.TimeoutMs-(clock.NowMs()-startMs))
	}
	switch kind {
	case "":
		return body, true
	case errkind.Overloaded:
		s.runtime.Count(countBodiesTooLarge)
		s.codec.WriteRejection(w, kind, retryOverloadMs)
	default:
		s.codec.WriteRejection(w, kind, 0)
	}
	return nil, false
}

// bodyTimeout returns how long a body may take if its client allows timeoutMs for the
// request, or 0 if the client does not say.
func bodyTimeout(timeoutMs int64) time.Duration {
	if timeoutMs <= 0 {
		timeoutMs = defaultDeadlineMs
	}
	return time.Duration(min(timeoutMs, maxTimeout.Milliseconds())) * time.Millisecond
}

// maxBodyBytes returns the limit of the active configuration.
func (s *Server) maxBodyBytes() int64 {
	configuration := s.machine.Configuration()
	if configuration == nil || configuration.Limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return configuration.Limits.MaxBodyBytes
}
