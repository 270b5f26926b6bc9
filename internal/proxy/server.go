package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

const (
	tickMs = 25
	// defaultMaxBodyBytes bounds a body where the map says nothing.
	defaultMaxBodyBytes = 4 << 20
	smallBodyBytes      = 64 << 10
	bodyReadMs          = 10_000
	// reservedFiles are kept for what is not a client's request; each request
	// takes two streams.
	reservedFiles      = 400
	maxRequestsCeiling = 8192
	// requestMemoryKb is about what one request takes of the memory.
	requestMemoryKb = 96
	// clientsLeaveMs is when the platform has stopped to send clients here, after the
	// ready page said no.
	clientsLeaveMs = 2200
	// shutdownMarginMs before the end of the grace all must be over.
	shutdownMarginMs = 700
	// deadlineSlackMs is how long after its time a request is broken off; the runner
	// and the client end it themselves.
	deadlineSlackMs = 1000
)

// Server is a router as a process: its machine in a shell, and the way of a
// request through it.
type Server struct {
	shell          *process.Runtime
	machine        *Machine
	settings       Settings
	codec          Codec
	clientListener net.Listener
	server         *http.Server
	activeRequests atomic.Int64
	maxRequests    int64
	draining       atomic.Bool
	tracker        attemptTracker
	// largeBodyBytes counts the bytes of large bodies that are held, maxLargeBodyBytes bounds
	// them.
	largeBodyBytes    atomic.Int64
	maxLargeBodyBytes int64
}

// NewServer makes the router; nothing runs yet. Clients come to front, and
// whoever asks whether this router takes any comes to ready.
func NewServer(set Settings, tongue Codec, format Format, exchanger process.OutboundCaller, peers, front, ready net.Listener, logger *log.Logger) (*Server, error) {
	clock := process.NewClock()
	g := &Server{machine: New(set, format, clock.NowMs()), settings: set, codec: tongue, clientListener: front, maxRequests: maxRequestsCeiling}
	if set.OpenFiles > 0 {
		g.maxRequests = min(g.maxRequests, int64(max(64, (set.OpenFiles-reservedFiles)/2)))
	}
	g.maxLargeBodyBytes = 64 << 20
	if set.MemoryMb > 0 {
		g.maxLargeBodyBytes = int64(set.MemoryMb) << 20 / 5
		g.maxRequests = min(g.maxRequests, int64(max(64, set.MemoryMb*1024/2/requestMemoryKb)))
	}
	g.shell = process.New(process.Options{
		Site: set.Site, Self: set.Self, Clock: clock, Log: logger, TickMs: tickMs, Caller: exchanger,
	}, g.machine, nil, peers, ready, http.HandlerFunc(g.servePlatform))
	g.server = &http.Server{
		// How long a connection may rest and a head may take, clientConn knows.
		Handler: g, ConnState: trackClientConn, MaxHeaderBytes: headBytesCeiling, DisableGeneralOptionsHandler: true,
		ErrorLog: logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return g, nil
}

// AddTasks adds the router's duties to a crew.
func (g *Server) AddTasks(c *threads.Group) {
	g.shell.AddTasks(c)
	c.Add(func() error {
		if err := g.server.Serve(clientListener{g.clientListener, g.clientLimits}); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownMarginMs/2*time.Millisecond)
		defer cancel()
		if g.server.Shutdown(ctx) != nil {
			_ = g.server.Close()
		}
	})
}

// clientLimits are those of the map in use.
func (g *Server) clientLimits() clientLimits { return clientLimitsOf(g.machine.Map()) }

// Reseed gives the seeds anew.
func (g *Server) Reseed(seeds []string) { g.shell.Submit(SetSeeds{Seeds: seeds}) }

// Pause makes the router stand still until it is released.
func (g *Server) Pause() (release func()) { return g.shell.Pause() }

// Shutdown says not ready, ends what was read, and returns when no one comes any
// more or the grace is nearly over.
func (g *Server) Shutdown() {
	clock := g.shell.Clock()
	beganMs := clock.NowMs()
	g.draining.Store(true)
	g.shell.Submit(Drain{})
	lastMs := beganMs + max(clientsLeaveMs, g.settings.Bounds.GraceMs-shutdownMarginMs)
	closed := false
	for nowMs := beganMs; nowMs < lastMs; nowMs = clock.NowMs() {
		if !closed && nowMs-beganMs >= clientsLeaveMs {
			// Idle streams have no more use; clients have gone elsewhere.
			closed = true
			g.server.SetKeepAlivesEnabled(false)
		}
		if closed && g.activeRequests.Load() == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// servePlatform answers whoever asks whether this router is ready.
func (g *Server) servePlatform(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", http.MethodGet)
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	switch r.URL.Path {
	case "/status":
		ctx, cancel := context.WithTimeout(r.Context(), 2*time.Second)
		defer cancel()
		answer, ok := g.shell.Call(ctx, func(id uint64) any { return StatusQuery{ID: id} })
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, answer)
	case "/counters":
		writeJSON(w, g.shell.Counts())
	default:
		if g.machine.Map() == nil || g.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ServeHTTP answers clients.
func (g *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The count goes first, so that a stop never misses one.
	under := g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	// The bound keeps a crowd from filling the memory.
	if under > g.maxRequests {
		g.shell.Count("requests too many")
		g.codec.WriteRejection(w, errkind.QueueFull, 300)
		return
	}
	if headBytes(r) > g.clientLimits().headBytes {
		w.Header().Set("Connection", "close")
		g.codec.WriteRejection(w, errkind.HeadTooLarge, 0)
		return
	}
	path, query, hasQuery := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		g.codec.WriteRejection(w, errkind.BadRequest, 0)
		return
	}
	asked, err := g.codec.ParseRequest(r)
	if err != nil {
		g.codec.WriteRejection(w, errkind.BadRequest, 0)
		return
	}
	if large := max(0, r.ContentLength-smallBodyBytes); large > 0 {
		defer g.largeBodyBytes.Add(-large)
		if g.largeBodyBytes.Add(large) > g.maxLargeBodyBytes {
			g.shell.Count("bodies too large together")
			g.codec.WriteRejection(w, errkind.QueueFull, 300)
			return
		}
	}
	body, kind := g.readBody(w, r)
	if kind != "" {
		g.codec.WriteRejection(w, kind, 0)
		return
	}
	p := &exchange{
		server: g, writer: w, request: r, params: asked, body: body, path: path, query: query, hasQuery: hasQuery,
		startMs: g.shell.Clock().NowMs(),
	}
	p.serve()
}

// readBody reads the whole body before anything is sent on: a body that broke
// off halfway must reach no runner.
func (g *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, errkind.Kind) {
	if r.ContentLength == 0 {
		return nil, ""
	}
	most := int64(defaultMaxBodyBytes)
	if document := g.machine.Map(); document != nil && document.Limits.MaxBodyBytes > 0 {
		most = document.Limits.MaxBodyBytes
	}
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		return nil, errkind.TooLarge
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadMs * time.Millisecond))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	var body []byte
	var err error
	limited := http.MaxBytesReader(w, r.Body, most)
	// Memory is taken as bytes come where much of it is announced.
	if r.ContentLength > 0 && r.ContentLength <= smallBodyBytes {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body)
		if err == nil {
			// The server sees the end of the body only once it is read, and
			// notices from then on when the client goes away.
			_, _ = limited.Read(make([]byte, 1))
		}
	} else {
		body, err = io.ReadAll(limited)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, errkind.TooLarge
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, errkind.BadRequest
	}
	return body, ""
}

// limitWriteTime bounds the writing to a client that does not read; done lifts it.
func (p *exchange) limitWriteTime(ms int64) (done func()) {
	control := http.NewResponseController(p.writer)
	_ = control.SetWriteDeadline(time.Now().Add(time.Duration(ms) * time.Millisecond))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// afterDelay calls do later, unless it is stopped before.
func afterDelay(ms int64, do func()) (stop func()) {
	timer := time.AfterFunc(time.Duration(ms)*time.Millisecond, do)
	return func() { timer.Stop() }
}

// hostWithoutPort is what a route is chosen by, without a port.
func hostWithoutPort(text string) string {
	if name, _, err := net.SplitHostPort(text); err == nil {
		return name
	}
	return text
}

// serve asks the machine what to do with a request, until it has its answer.
func (p *exchange) serve() {
	g := p.server
	id, answers := g.shell.OpenReplies()
	defer g.shell.CloseReplies(id)
	p.id = id
	if !g.shell.Submit(Request{ID: id, Host: hostWithoutPort(p.request.Host), Path: p.path, Params: p.params}) {
		g.codec.WriteRejection(p.writer, errkind.QueueFull, 300)
		return
	}
	// Whatever ends this, the place that a send took is free again.
	over := false
	defer func() {
		if !over {
			g.shell.Submit(ClientDisconnected{ID: id})
		}
	}()
	for {
		select {
		case <-p.request.Context().Done():
			panic(http.ErrAbortHandler)
		case answer := <-answers:
			switch said := answer.(type) {
			case protocol.Rejection:
				over = true
				g.codec.WriteRejection(p.writer, said.Kind, said.RetryMs)
				return
			case AbortStream:
				over = true
				g.shell.Count("streams broken off")
				panic(http.ErrAbortHandler)
			case ForwardKept:
				over = true
				p.forwardResponse(p.keptResponse)
				return
			case StartAttempt:
				ended := p.runAttempt(said)
				if p.request.Context().Err() != nil {
					panic(http.ErrAbortHandler)
				}
				over = ended.Outcome == Completed
				g.shell.Submit(ended)
				if over {
					return
				}
			}
		}
	}
}

var _ http.Handler = (*Server)(nil)

// isStream says whether an answer of the route comes piece by piece.
func isStream(route *config.Route, answer *http.Response) bool {
	return answer.StatusCode/100 == 2 &&
		(route.Kind == config.Stream || strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream"))
}
