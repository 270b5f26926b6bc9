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
	// bodyMost bounds a body where the map says nothing.
	bodyMost   = 4 << 20
	smallBody  = 64 << 10
	bodyWaitMs = 10_000
	// spareFiles are kept for what is not a client's request; each request
	// takes two streams.
	spareFiles  = 400
	requestMost = 8192
	// eachKb is about what one request takes of the memory.
	eachKb = 96
	// goneMs is when the platform has stopped to send clients here, after the
	// ready page said no.
	goneMs = 2200
	// endMs before the end of the grace all must be over.
	endMs = 700
	// lateMs is how long after its time a request is broken off; the runner
	// and the client end it themselves.
	lateMs = 1000
)

// Server is a router as a process: its machine in a shell, and the way of a
// request through it.
type Server struct {
	shell   *process.Runtime
	machine *Machine
	set     Settings
	tongue  Codec
	front   net.Listener
	server  *http.Server
	under   atomic.Int64
	most    int64
	leaving atomic.Bool
	hearing hearing
	// bodies counts the bytes of large bodies that are held, bodiesMost bounds
	// them.
	bodies     atomic.Int64
	bodiesMost int64
}

// NewServer makes the router; nothing runs yet. Clients come to front, and
// whoever asks whether this router takes any comes to ready.
func NewServer(set Settings, tongue Codec, format Format, exchanger process.OutboundCaller, peers, front, ready net.Listener, logger *log.Logger) (*Server, error) {
	clock := process.NewClock()
	g := &Server{machine: New(set, format, clock.NowMs()), set: set, tongue: tongue, front: front, most: requestMost}
	if set.OpenFiles > 0 {
		g.most = min(g.most, int64(max(64, (set.OpenFiles-spareFiles)/2)))
	}
	g.bodiesMost = 64 << 20
	if set.MemoryMb > 0 {
		g.bodiesMost = int64(set.MemoryMb) << 20 / 5
		g.most = min(g.most, int64(max(64, set.MemoryMb*1024/2/eachKb)))
	}
	g.shell = process.New(process.Options{
		Site: set.Site, Self: set.Self, Clock: clock, Log: logger, TickMs: tickMs, Caller: exchanger,
	}, g.machine, nil, peers, ready, http.HandlerFunc(g.page))
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
		if err := g.server.Serve(clientListener{g.front, g.limits}); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func() {
		ctx, cancel := context.WithTimeout(context.Background(), endMs/2*time.Millisecond)
		defer cancel()
		if g.server.Shutdown(ctx) != nil {
			_ = g.server.Close()
		}
	})
}

// limits are those of the map in use.
func (g *Server) limits() clientLimits { return limitsOf(g.machine.Map()) }

// Reseed gives the seeds anew.
func (g *Server) Reseed(seeds []string) { g.shell.Submit(SetSeeds{Seeds: seeds}) }

// Pause makes the router stand still until it is released.
func (g *Server) Pause() (release func()) { return g.shell.Pause() }

// Shutdown says not ready, ends what was read, and returns when no one comes any
// more or the grace is nearly over.
func (g *Server) Shutdown() {
	clock := g.shell.Clock()
	beganMs := clock.NowMs()
	g.leaving.Store(true)
	g.shell.Submit(Drain{})
	lastMs := beganMs + max(goneMs, g.set.Bounds.GraceMs-endMs)
	closed := false
	for nowMs := beganMs; nowMs < lastMs; nowMs = clock.NowMs() {
		if !closed && nowMs-beganMs >= goneMs {
			// Idle streams have no more use; clients have gone elsewhere.
			closed = true
			g.server.SetKeepAlivesEnabled(false)
		}
		if closed && g.under.Load() == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// page answers whoever asks whether this router is ready.
func (g *Server) page(w http.ResponseWriter, r *http.Request) {
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
		if g.machine.Map() == nil || g.leaving.Load() {
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
	under := g.under.Add(1)
	defer g.under.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	// The bound keeps a crowd from filling the memory.
	if under > g.most {
		g.shell.Count("requests too many")
		g.tongue.WriteRejection(w, errkind.QueueFull, 300)
		return
	}
	if headBytes(r) > g.limits().headBytes {
		w.Header().Set("Connection", "close")
		g.tongue.WriteRejection(w, errkind.HeadTooLarge, 0)
		return
	}
	path, query, hasQuery := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		g.tongue.WriteRejection(w, errkind.BadRequest, 0)
		return
	}
	asked, err := g.tongue.ParseRequest(r)
	if err != nil {
		g.tongue.WriteRejection(w, errkind.BadRequest, 0)
		return
	}
	if large := max(0, r.ContentLength-smallBody); large > 0 {
		defer g.bodies.Add(-large)
		if g.bodies.Add(large) > g.bodiesMost {
			g.shell.Count("bodies too large together")
			g.tongue.WriteRejection(w, errkind.QueueFull, 300)
			return
		}
	}
	body, kind := g.readBody(w, r)
	if kind != "" {
		g.tongue.WriteRejection(w, kind, 0)
		return
	}
	p := &passage{
		gate: g, w: w, r: r, asked: asked, body: body, path: path, query: query, hasQuery: hasQuery,
		beganMs: g.shell.Clock().NowMs(),
	}
	p.serve()
}

// readBody reads the whole body before anything is sent on: a body that broke
// off halfway must reach no runner.
func (g *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, errkind.Kind) {
	if r.ContentLength == 0 {
		return nil, ""
	}
	most := int64(bodyMost)
	if document := g.machine.Map(); document != nil && document.Limits.MaxBodyBytes > 0 {
		most = document.Limits.MaxBodyBytes
	}
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		return nil, errkind.TooLarge
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyWaitMs * time.Millisecond))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	var body []byte
	var err error
	limited := http.MaxBytesReader(w, r.Body, most)
	// Memory is taken as bytes come where much of it is announced.
	if r.ContentLength > 0 && r.ContentLength <= smallBody {
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

// limit bounds the writing to a client that does not read; done lifts it.
func (p *passage) limit(ms int64) (done func()) {
	control := http.NewResponseController(p.w)
	_ = control.SetWriteDeadline(time.Now().Add(time.Duration(ms) * time.Millisecond))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// after calls do later, unless it is stopped before.
func after(ms int64, do func()) (stop func()) {
	timer := time.AfterFunc(time.Duration(ms)*time.Millisecond, do)
	return func() { timer.Stop() }
}

// host is what a route is chosen by, without a port.
func host(text string) string {
	if name, _, err := net.SplitHostPort(text); err == nil {
		return name
	}
	return text
}

// serve asks the machine what to do with a request, until it has its answer.
func (p *passage) serve() {
	g := p.gate
	id, answers := g.shell.OpenReplies()
	defer g.shell.CloseReplies(id)
	p.id = id
	if !g.shell.Submit(Request{ID: id, Host: host(p.r.Host), Path: p.path, Params: p.asked}) {
		g.tongue.WriteRejection(p.w, errkind.QueueFull, 300)
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
		case <-p.r.Context().Done():
			panic(http.ErrAbortHandler)
		case answer := <-answers:
			switch said := answer.(type) {
			case protocol.Rejection:
				over = true
				g.tongue.WriteRejection(p.w, said.Kind, said.RetryMs)
				return
			case AbortStream:
				over = true
				g.shell.Count("streams broken off")
				panic(http.ErrAbortHandler)
			case ForwardKept:
				over = true
				p.pass(p.kept)
				return
			case StartAttempt:
				ended := p.send(said)
				if p.r.Context().Err() != nil {
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

// streams says whether an answer of the route comes piece by piece.
func streams(route *config.Route, answer *http.Response) bool {
	return answer.StatusCode/100 == 2 &&
		(route.Kind == config.Stream || strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream"))
}
