package router

import (
	"bufio"
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

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/settings"
	"myrtlewinch/internal/threads"
)

const (
	tickMs           = 20
	maxBodyBytes     = 16 << 20
	maxResponseBytes = 8 << 20
	maxLineBytes     = 256 << 10
	maxRequests      = 8192
	maxShutdownMs    = 10_000
	// quietShutdownMs without a request ends a planned stop: by then those who ask
	// have been told to go elsewhere.
	quietShutdownMs = 500
)

// Server is a router as a process: its machine in a shell, and the way of a
// request through it.
type Server struct {
	runtime           *process.Runtime
	machine           *Machine
	settings          settings.Settings
	self              protocol.Node
	activeRequests    atomic.Int64
	lastRequestNumber atomic.Uint64
	// lastRequestMs is when the last request came.
	lastRequestMs atomic.Int64
}

// NewServer makes the router; nothing runs yet.
func NewServer(set settings.Settings, peers, web net.Listener, logger *log.Logger) (*Server, error) {
	token := make([]byte, 8)
	if _, err := rand.Read(token); err != nil {
		return nil, err
	}
	clock := process.NewClock()
	self := protocol.Node{
		Name: set.Name, Address: set.Address, Zone: set.Zone, Part: protocol.RoleRouter, Incarnation: hex.EncodeToString(token),
	}
	machine := New(Settings{Site: set.Site, Self: self, Seeds: set.Seeds, Platform: set.Platform}, clock.NowMs())
	g := &Server{machine: machine, settings: set, self: self}
	g.runtime = process.New(process.Options{Site: set.Site, Self: self, Clock: clock, Log: logger, TickMs: tickMs}, machine, nil, peers, web, g)
	return g, nil
}

// AddTasks adds the router's duties to a crew.
func (g *Server) AddTasks(c *threads.Group) { g.runtime.AddTasks(c) }

// Pause makes the router stand still until it is released.
func (g *Server) Pause() (release func()) { return g.runtime.Pause() }

// Shutdown takes nothing new and waits for what is under way to end, and for
// senders to have gone elsewhere.
func (g *Server) Shutdown() {
	g.runtime.Submit(Drain{})
	g.runtime.DisableKeepAlives()
	clock := g.runtime.Clock()
	endMs := clock.NowMs() + maxShutdownMs
	g.lastRequestMs.Store(clock.NowMs())
	for clock.NowMs() < endMs && (g.activeRequests.Load() > 0 || clock.NowMs()-g.lastRequestMs.Load() < quietShutdownMs) {
		time.Sleep(20 * time.Millisecond)
	}
}

// ServeHTTP answers senders and operators.
func (g *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, asked := strings.CutPrefix(r.URL.Path, "/services/")
	switch {
	case asked && service != "" && r.Method == http.MethodPost:
		g.serveRequest(w, r, service)
	case asked && service != "":
		w.Header().Set("Allow", http.MethodPost)
		errkind.ErrorBody{Kind: errkind.WrongMethod, Detail: r.Method}.Write(w)
	case r.URL.Path == "/status" && r.Method == http.MethodGet:
		g.serveStatus(w, r)
	case r.URL.Path == "/soundness" && r.Method == http.MethodGet:
		g.serveSoundness(w, r)
	case r.URL.Path == "/counters" && r.Method == http.MethodGet:
		writeJSON(w, g.runtime.Counts())
	default:
		errkind.ErrorBody{Kind: errkind.UnknownPage, Detail: r.URL.Path}.Write(w)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// requestBody is the body of a request.
type requestBody struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Adapter string          `json:"adapter"`
	Input   json.RawMessage `json:"input"`
}

const maxNameLength = 128

func readRequestBody(w http.ResponseWriter, r *http.Request) (requestBody, int64, errkind.ErrorBody) {
	var in requestBody
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return in, 0, errkind.ErrorBody{Kind: errkind.TooLarge, Detail: fmt.Sprintf("more than %d bytes", maxBodyBytes)}
		}
		return in, 0, errkind.ErrorBody{Kind: errkind.BadRequest, Detail: "the body broke off"}
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return in, 0, errkind.ErrorBody{Kind: errkind.BadRequest, Detail: err.Error()}
	}
	if len(bytes.TrimSpace(body[decoder.InputOffset():])) > 0 {
		return in, 0, errkind.ErrorBody{Kind: errkind.BadRequest, Detail: "text after the end"}
	}
	for _, field := range []struct{ name, value string }{{"id", in.ID}, {"model", in.Model}, {"adapter", in.Adapter}} {
		if len(field.value) > maxNameLength || strings.ContainsAny(field.value, "/\n") {
			return in, 0, errkind.ErrorBody{Kind: errkind.BadRequest, Detail: field.name + ": not a plain name"}
		}
	}
	return in, int64(len(body)), errkind.ErrorBody{}
}

func (g *Server) serveRequest(w http.ResponseWriter, r *http.Request, service string) {
	g.lastRequestMs.Store(g.runtime.Clock().NowMs())
	// The bound keeps a crowd from filling the memory before it is dropped.
	if g.activeRequests.Add(1) > maxRequests {
		g.activeRequests.Add(-1)
		errkind.ErrorBody{Kind: errkind.QueueFull, Detail: "too many requests are under way here"}.Write(w)
		return
	}
	defer g.activeRequests.Add(-1)
	in, size, fault := readRequestBody(w, r)
	if fault.Kind != "" {
		fault.Write(w)
		return
	}
	if strings.Contains(service, "/") {
		errkind.ErrorBody{Kind: errkind.UnknownService, Detail: service}.Write(w)
		return
	}
	name := in.ID
	if name == "" {
		name = fmt.Sprintf("%s-%s-%d", g.self.Name, g.self.Incarnation, g.lastRequestNumber.Add(1))
	}
	id, answers := g.runtime.OpenReplies()
	defer g.runtime.CloseReplies(id)
	if !g.runtime.Submit(Request{ID: id, Service: service, Model: in.Model, Adapter: in.Adapter, RequestID: name, ClientChoseID: in.ID != "", BodyBytes: size}) {
		errkind.ErrorBody{Kind: errkind.QueueFull, Detail: "too many requests are under way here", Request: name}.Write(w)
		return
	}
	for {
		select {
		case <-r.Context().Done():
			// A sender that goes away frees its place. It may have closed only
			// its own half, so returning would give it an empty answer.
			g.runtime.Submit(ClientDisconnected{ID: id})
			panic(http.ErrAbortHandler)
		case answer := <-answers:
			switch said := answer.(type) {
			case protocol.Rejection:
				errkind.ErrorBody{Kind: said.Kind, Detail: said.Detail, Request: name, RetryMs: said.RetryMs}.Write(w)
				return
			case StartAttempt:
				ended, abort := g.runAttempt(w, r, id, said, in.Input)
				if r.Context().Err() != nil && (abort || ended.Outcome != Completed) {
					// For a sender that went away no further go is made.
					g.runtime.Submit(ClientDisconnected{ID: id})
					panic(http.ErrAbortHandler)
				}
				g.runtime.Submit(ended)
				// Closing the sender's stream is the one way to end a telling
				// so that it can't look finished.
				if abort {
					panic(http.ErrAbortHandler)
				}
				if ended.Outcome == Completed {
					return
				}
			}
		}
	}
}

// runAttempt makes one go and relays its answer. Abort says that a part of a
// telling was relayed and the rest will never come.
func (g *Server) runAttempt(w http.ResponseWriter, r *http.Request, id uint64, to StartAttempt, input json.RawMessage) (ended AttemptEnded, abort bool) {
	ended.ID = id
	body, _ := json.Marshal(RunRequest{
		Request: to.RequestID, Service: to.Service, Model: to.Model, Adapter: to.Adapter, Revision: to.Revision,
		Incarnation: to.Incarnation, Repeatable: to.Repeatable, Streaming: to.Streaming, Input: input,
	})
	leftMs := to.DeadlineMs - g.runtime.Clock().NowMs()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	// Each piece of a telling has the time that a whole plain answer has.
	slow := time.AfterFunc(time.Duration(leftMs)*time.Millisecond, cancel)
	defer slow.Stop()
	answer, wrote, err := g.runtime.HTTPClient().Do(ctx, http.MethodPost, "http://"+to.Address+"/run", body, g.runtime.WriteCheck(func(nowMs int64) bool {
		return g.machine.MaySend(nowMs, to)
	}))
	switch {
	case errors.Is(err, httpclient.ErrNotAllowed) && !wrote:
		ended.Outcome = Expired
		return ended, false
	case err != nil && !wrote:
		ended.Outcome = NotSent
		return ended, false
	case err != nil:
		ended.Outcome = ResponseLost
		return ended, false
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		ended.Outcome, ended.Revision = readRejection(answer, to.RequestID)
		return ended, false
	}
	if to.Streaming {
		return g.forwardStream(w, answer, ended, to, slow)
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		ended.Outcome = ResponseLost
	case len(text) > maxResponseBytes || !ValidResponse(text, to.RequestID, to.Incarnation):
		ended.Outcome = InvalidResponse
	default:
		ended.Outcome = Completed
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write(text)
	}
	return ended, false
}

// readRejection takes a runner's word that it did not run a request. Anything
// less than that word means that it may have.
func readRejection(answer *http.Response, name string) (Outcome, uint64) {
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxLineBytes))
	if err != nil {
		return ResponseLost, 0
	}
	var said RunRejection
	if json.Unmarshal(text, &said) != nil || said.Request != name || said.Ran == nil || *said.Ran {
		return InvalidResponse, 0
	}
	switch errkind.Kind(said.Kind) {
	case errkind.NotHeld:
		return NotLoaded, 0
	case errkind.StaleRevision:
		return StaleRevision, said.Revision
	case errkind.WrongIncarnation:
		return OtherRunner, 0
	case errkind.DuplicateRequest:
		return Duplicate, 0
	}
	return RunnerBusy, 0
}

func (g *Server) forwardStream(w http.ResponseWriter, answer *http.Response, ended AttemptEnded, to StartAttempt, slow *time.Timer) (AttemptEnded, bool) {
	telling := StreamCheck{Request: to.RequestID, Incarnation: to.Incarnation}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	flush := http.NewResponseController(w)
	for lines.Scan() {
		begun := telling.Started()
		if !telling.Accept(lines.Bytes()) {
			ended.Outcome = InvalidResponse
			if begun {
				ended.Outcome = Completed
				g.runtime.Count("tellings broken off")
			}
			return ended, begun
		}
		if !begun {
			w.Header().Set("Content-Type", "application/x-ndjson")
		}
		// A relayed piece can't be taken back, so from here on nothing but
		// the end mark ends the answer well.
		if _, err := w.Write(append(bytes.Clone(lines.Bytes()), '\n')); err != nil {
			ended.Outcome = Completed
			return ended, true
		}
		_ = flush.Flush()
		slow.Reset(time.Duration(to.ChunkTimeoutMs) * time.Millisecond)
		if telling.Complete() {
			ended.Outcome = Completed
			return ended, false
		}
	}
	ended.Outcome = ResponseLost
	if telling.Started() {
		ended.Outcome = Completed
		g.runtime.Count("tellings broken off")
	}
	return ended, telling.Started()
}

func (g *Server) queryStatus(r *http.Request) (Status, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), 2*time.Second)
	defer cancel()
	answer, ok := g.runtime.Call(ctx, func(id uint64) any { return StatusQuery{ID: id} })
	status, right := answer.(Status)
	return status, ok && right
}

func (g *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, ok := g.queryStatus(r)
	if !ok {
		errkind.ErrorBody{Kind: errkind.NoConfig, Detail: "no answer in time"}.Write(w)
		return
	}
	writeJSON(w, status)
}

// serveSoundness says whether this router would send a request now.
func (g *Server) serveSoundness(w http.ResponseWriter, r *http.Request) {
	status, ok := g.queryStatus(r)
	if !ok || !status.Usable || status.Stopping {
		errkind.ErrorBody{Kind: errkind.NoConfig, Detail: "this router may not send at present"}.Write(w)
		return
	}
	writeJSON(w, map[string]any{"sound": true, "revision": status.Revision})
}
