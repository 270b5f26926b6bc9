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
	tickMs      = 20
	bodyMost    = 16 << 20
	answerMost  = 8 << 20
	lineMost    = 256 << 10
	requestMost = 8192
	drainMs     = 10_000
	// quietMs without a request ends a planned stop: by then those who ask
	// have been told to go elsewhere.
	quietMs = 500
)

// Server is a router as a process: its machine in a shell, and the way of a
// request through it.
type Server struct {
	shell   *process.Runtime
	machine *Machine
	set     settings.Settings
	self    protocol.Node
	under   atomic.Int64
	names   atomic.Uint64
	// lastMs is when the last request came.
	lastMs atomic.Int64
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
	g := &Server{machine: machine, set: set, self: self}
	g.shell = process.New(process.Options{Site: set.Site, Self: self, Clock: clock, Log: logger, TickMs: tickMs}, machine, nil, peers, web, g)
	return g, nil
}

// AddTasks adds the router's duties to a crew.
func (g *Server) AddTasks(c *threads.Group) { g.shell.AddTasks(c) }

// Pause makes the router stand still until it is released.
func (g *Server) Pause() (release func()) { return g.shell.Pause() }

// Shutdown takes nothing new and waits for what is under way to end, and for
// senders to have gone elsewhere.
func (g *Server) Shutdown() {
	g.shell.Submit(Drain{})
	g.shell.DisableKeepAlives()
	clock := g.shell.Clock()
	endMs := clock.NowMs() + drainMs
	g.lastMs.Store(clock.NowMs())
	for clock.NowMs() < endMs && (g.under.Load() > 0 || clock.NowMs()-g.lastMs.Load() < quietMs) {
		time.Sleep(20 * time.Millisecond)
	}
}

// ServeHTTP answers senders and operators.
func (g *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, asked := strings.CutPrefix(r.URL.Path, "/services/")
	switch {
	case asked && service != "" && r.Method == http.MethodPost:
		g.serve(w, r, service)
	case asked && service != "":
		w.Header().Set("Allow", http.MethodPost)
		errkind.ErrorBody{Kind: errkind.WrongMethod, Detail: r.Method}.Write(w)
	case r.URL.Path == "/status" && r.Method == http.MethodGet:
		g.status(w, r)
	case r.URL.Path == "/soundness" && r.Method == http.MethodGet:
		g.soundness(w, r)
	case r.URL.Path == "/counters" && r.Method == http.MethodGet:
		writeJSON(w, g.shell.Counts())
	default:
		errkind.ErrorBody{Kind: errkind.UnknownPage, Detail: r.URL.Path}.Write(w)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// asked is the body of a request.
type asked struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Adapter string          `json:"adapter"`
	Input   json.RawMessage `json:"input"`
}

const nameMost = 128

func readAsked(w http.ResponseWriter, r *http.Request) (asked, int64, errkind.ErrorBody) {
	var in asked
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return in, 0, errkind.ErrorBody{Kind: errkind.TooLarge, Detail: fmt.Sprintf("more than %d bytes", bodyMost)}
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
		if len(field.value) > nameMost || strings.ContainsAny(field.value, "/\n") {
			return in, 0, errkind.ErrorBody{Kind: errkind.BadRequest, Detail: field.name + ": not a plain name"}
		}
	}
	return in, int64(len(body)), errkind.ErrorBody{}
}

func (g *Server) serve(w http.ResponseWriter, r *http.Request, service string) {
	g.lastMs.Store(g.shell.Clock().NowMs())
	// The bound keeps a crowd from filling the memory before it is dropped.
	if g.under.Add(1) > requestMost {
		g.under.Add(-1)
		errkind.ErrorBody{Kind: errkind.QueueFull, Detail: "too many requests are under way here"}.Write(w)
		return
	}
	defer g.under.Add(-1)
	in, size, fault := readAsked(w, r)
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
		name = fmt.Sprintf("%s-%s-%d", g.self.Name, g.self.Incarnation, g.names.Add(1))
	}
	id, answers := g.shell.OpenReplies()
	defer g.shell.CloseReplies(id)
	if !g.shell.Submit(Request{ID: id, Service: service, Model: in.Model, Adapter: in.Adapter, RequestID: name, ClientChoseID: in.ID != "", BodyBytes: size}) {
		errkind.ErrorBody{Kind: errkind.QueueFull, Detail: "too many requests are under way here", Request: name}.Write(w)
		return
	}
	for {
		select {
		case <-r.Context().Done():
			// A sender that goes away frees its place. It may have closed only
			// its own half, so returning would give it an empty answer.
			g.shell.Submit(ClientDisconnected{ID: id})
			panic(http.ErrAbortHandler)
		case answer := <-answers:
			switch said := answer.(type) {
			case protocol.Rejection:
				errkind.ErrorBody{Kind: said.Kind, Detail: said.Detail, Request: name, RetryMs: said.RetryMs}.Write(w)
				return
			case StartAttempt:
				ended, abort := g.goTo(w, r, id, said, in.Input)
				if r.Context().Err() != nil && (abort || ended.Outcome != Completed) {
					// For a sender that went away no further go is made.
					g.shell.Submit(ClientDisconnected{ID: id})
					panic(http.ErrAbortHandler)
				}
				g.shell.Submit(ended)
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

// goTo makes one go and relays its answer. Abort says that a part of a
// telling was relayed and the rest will never come.
func (g *Server) goTo(w http.ResponseWriter, r *http.Request, id uint64, to StartAttempt, input json.RawMessage) (ended AttemptEnded, abort bool) {
	ended.ID = id
	body, _ := json.Marshal(RunRequest{
		Request: to.RequestID, Service: to.Service, Model: to.Model, Adapter: to.Adapter, Revision: to.Revision,
		Incarnation: to.Incarnation, Repeatable: to.Repeatable, Streaming: to.Streaming, Input: input,
	})
	leftMs := to.DeadlineMs - g.shell.Clock().NowMs()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	// Each piece of a telling has the time that a whole plain answer has.
	slow := time.AfterFunc(time.Duration(leftMs)*time.Millisecond, cancel)
	defer slow.Stop()
	answer, wrote, err := g.shell.HTTPClient().Do(ctx, http.MethodPost, "http://"+to.Address+"/run", body, g.shell.WriteCheck(func(nowMs int64) bool {
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
		ended.Outcome, ended.Revision = readDrop(answer, to.RequestID)
		return ended, false
	}
	if to.Streaming {
		return g.relayTelling(w, answer, ended, to, slow)
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, answerMost+1))
	switch {
	case err != nil:
		ended.Outcome = ResponseLost
	case len(text) > answerMost || !ValidResponse(text, to.RequestID, to.Incarnation):
		ended.Outcome = InvalidResponse
	default:
		ended.Outcome = Completed
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write(text)
	}
	return ended, false
}

// readDrop takes a runner's word that it did not run a request. Anything
// less than that word means that it may have.
func readDrop(answer *http.Response, name string) (Outcome, uint64) {
	text, err := io.ReadAll(io.LimitReader(answer.Body, lineMost))
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

func (g *Server) relayTelling(w http.ResponseWriter, answer *http.Response, ended AttemptEnded, to StartAttempt, slow *time.Timer) (AttemptEnded, bool) {
	telling := StreamCheck{Request: to.RequestID, Incarnation: to.Incarnation}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(make([]byte, 0, 4096), lineMost)
	flush := http.NewResponseController(w)
	for lines.Scan() {
		begun := telling.Started()
		if !telling.Accept(lines.Bytes()) {
			ended.Outcome = InvalidResponse
			if begun {
				ended.Outcome = Completed
				g.shell.Count("tellings broken off")
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
		g.shell.Count("tellings broken off")
	}
	return ended, telling.Started()
}

func (g *Server) look(r *http.Request) (Status, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), 2*time.Second)
	defer cancel()
	answer, ok := g.shell.Call(ctx, func(id uint64) any { return StatusQuery{ID: id} })
	status, right := answer.(Status)
	return status, ok && right
}

func (g *Server) status(w http.ResponseWriter, r *http.Request) {
	status, ok := g.look(r)
	if !ok {
		errkind.ErrorBody{Kind: errkind.NoConfig, Detail: "no answer in time"}.Write(w)
		return
	}
	writeJSON(w, status)
}

// soundness says whether this router would send a request now.
func (g *Server) soundness(w http.ResponseWriter, r *http.Request) {
	status, ok := g.look(r)
	if !ok || !status.Usable || status.Stopping {
		errkind.ErrorBody{Kind: errkind.NoConfig, Detail: "this router may not send at present"}.Write(w)
		return
	}
	writeJSON(w, map[string]any{"sound": true, "revision": status.Revision})
}
