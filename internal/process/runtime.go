package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/httpserver"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
	"myrtlewinch/internal/transport"
)

const (
	// maxInputs bounds the queued inputs of the machine, and the queued writes to the
	// disk.
	maxInputs = 1 << 16
	// shutdownTimeout is how long a shutdown waits for requests in flight.
	shutdownTimeout = 2 * time.Second
	// The limits of the HTTP server.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// submitTimeout bounds the reading of a request body.
	submitTimeout = 30 * time.Second
)

// Machine is a state machine. It is called on one goroutine. It performs no I/O and reads no
// clock: all information reaches it as inputs, and all its actions are effects.
type Machine interface {
	// Step handles one input; nowMs is the time of the process's clock. Inputs are
	// protocol.Envelope, protocol.Tick, protocol.DiskWriteDone, a
	// protocol.OutboundResult, and the requests that the machine's package defines.
	Step(nowMs int64, input protocol.Input) protocol.Effects
}

// Options are the options of a Runtime.
type Options struct {
	// Site is the name of the site; messages from other sites are rejected.
	Site string
	// Self is this process as its peers know it.
	Self protocol.Node
	// Clock is the source of the time that is passed to the machine.
	Clock Clock
	// Log receives the log lines of the machine and of the process.
	Log *log.Logger
	// TickMs is the interval between two protocol.Tick inputs.
	TickMs int64
	// Caller makes the outbound calls that do not use the format of the native interface. It
	// is nil if there are no such calls.
	Caller OutboundCaller
	// Account limits the memory that other processes make this one use. If it is nil, the
	// process has one for the default memory.
	Account *memory.Account
	// OpenFiles is the limit of open files of the process, 0 if there is none.
	OpenFiles int
	// Reopen creates a new machine from the data folder once the disk accepts writes again
	// after a failure. If it is nil, the process must be restarted.
	Reopen func() (Machine, *storage.Store, error)
}

// Runtime runs one state machine: it passes inputs to the machine and carries out its
// effects. AddTasks adds its goroutines to a group.
type Runtime struct {
	options Options
	// machine and store are used only by the machine's goroutine once that runs.
	machine Machine
	store   *storage.Store
	inputs  *ringbuffer.Buffer[protocol.Input]
	writes  *ringbuffer.Buffer[diskWrite]
	// sender and server carry messages between daemons.
	sender *transport.Sender
	server *transport.Server
	caller outboundClient
	// web is the HTTP server for clients and operators at webListener.
	web            *http.Server
	webListener    net.Listener
	webConnections *httpserver.Connections
	// closeAfterResponse is true if each response is to close its connection.
	closeAfterResponse atomic.Bool
	replies            replyTable
	counters           counters
	// ended is closed when the machine's goroutine ends.
	ended          chan struct{}
	pause          pauseSwitch
	memoryReporter memoryReporter
}

// New returns a runtime; nothing runs before AddTasks. Peers connect to the listener peers;
// the handler serves HTTP requests on the listener web. The store is nil if the machine
// writes nothing to disk.
func New(options Options, machine Machine, store *storage.Store, peers, web net.Listener, handler http.Handler) *Runtime {
	if options.Account == nil {
		options.Account = memory.NewAccount(memory.LimitFor(0))
	}
	r := &Runtime{
		options: options, machine: machine, store: store,
		inputs: ringbuffer.New[protocol.Input](maxInputs), writes: ringbuffer.New[diskWrite](maxInputs),
		webListener: web, replies: newReplyTable(), counters: newCounters(), ended: make(chan struct{}),
	}
	r.memoryReporter = memoryReporter{account: options.Account, log: options.Log}
	r.sender = transport.NewSender(r.Count)
	r.server = transport.NewServer(transport.ServerOptions{
		Site: options.Site, Listener: peers, Count: r.Count,
		Account: options.Account, MaxConnections: maxPeerConnections(options.OpenFiles),
		Deliver: func(envelope protocol.Envelope) { r.Submit(envelope) },
	})
	r.caller = outboundClient{
		client: httpclient.New(), customCaller: options.Caller, writeCheck: r.WriteCheck, count: r.Count,
	}
	r.web = &http.Server{
		Handler: r.withConnectionClose(handler), MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: options.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	r.webConnections = httpserver.NewConnections(httpserver.Options{
		Limits: webLimits, Account: options.Account, Count: r.Count, MaxConnections: maxWebConnections(options.OpenFiles),
	})
	r.webConnections.Attach(r.web)
	return r
}

// webLimits returns the limits of the connections of clients and operators.
func webLimits() httpserver.Limits {
	return httpserver.Limits{
		IdleTimeout: idleTimeout, HeadTimeout: headerTimeout, FirstRequestTimeout: headerTimeout, HeadBytes: maxHeaderBytes,
	}
}

// ReadBody reads the whole body of a request to the web listener, within the memory of the
// process. If that fails it returns the kind of error with which the request is to be
// rejected.
func (r *Runtime) ReadBody(w http.ResponseWriter, request *http.Request, maxBytes int64) (*httpserver.Body, errkind.Kind) {
	return r.webConnections.ReadBody(w, request, httpserver.BodyLimits{MaxBytes: maxBytes, Timeout: submitTimeout})
}

// OpenResponse returns the reservation of a response that is buffered. It waits for memory
// until the context is done.
func (r *Runtime) OpenResponse(ctx context.Context) *memory.Reservation {
	return r.webConnections.OpenResponse(ctx)
}

// WriteJSON writes a value as a JSON document to a client of the web listener, within the memory
// of the process.
func (r *Runtime) WriteJSON(w http.ResponseWriter, request *http.Request, value any) {
	r.webConnections.WriteJSON(w, request, value)
}

// withConnectionClose wraps a handler. Once closeAfterResponse is true, each response closes
// its connection.
func (r *Runtime) withConnectionClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if r.closeAfterResponse.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, request)
	})
}

// AddTasks adds the goroutines of the runtime to a group.
func (r *Runtime) AddTasks(group *threads.Group) {
	group.Add(r.runMachine, r.inputs.Close)
	if r.store != nil {
		group.Add(r.writeToDisk, r.writes.Close)
	}
	group.Add(r.server.Serve, r.server.Close)
	group.Add(r.serveWeb, r.stopWeb)
	group.Every(r.options.TickMs, r.tick)
}

func (r *Runtime) serveWeb() error {
	err := r.web.Serve(r.webConnections.Listen(r.webListener))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (r *Runtime) stopWeb() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if r.web.Shutdown(ctx) != nil {
		_ = r.web.Close()
	}
}

func (r *Runtime) tick() {
	r.memoryReporter.reportPeak()
	// While the machine is paused, ticks must not fill the input queue.
	if waiting, _ := r.inputs.Stats(); waiting < maxInputs/2 {
		r.inputs.Push(protocol.Tick{})
	}
}

// HTTPClient returns the client for this process's outbound calls.
func (r *Runtime) HTTPClient() *httpclient.Client { return r.caller.client }

// Clock returns the process's clock.
func (r *Runtime) Clock() Clock { return r.options.Clock }

// Submit queues an input for the machine. It returns false if the queue is full or closed;
// the input is then dropped and counted.
func (r *Runtime) Submit(input protocol.Input) bool {
	if !r.inputs.Push(input) {
		// Counts inputs dropped because the input queue is full or closed.
		r.Count("ring full")
		return false
	}
	return true
}

// inputWithBody is an input that refers to the body of a request.
type inputWithBody struct {
	protocol.Input
	body *httpserver.Body
}

// submitWithBody is Submit for an input that refers to a body, which it retains until the machine
// has handled the input.
func (r *Runtime) submitWithBody(body *httpserver.Body, input protocol.Input) bool {
	body.Retain()
	if !r.Submit(inputWithBody{input, body}) {
		body.Close()
		return false
	}
	return true
}

// Pause makes the process hang until release is called: its machine, its disk writes, and
// its outbound calls immediately before they are written. It is for fault injection in
// tests.
func (r *Runtime) Pause() (release func()) { return r.pause.begin() }

// WriteCheck returns the check that httpclient calls immediately before it writes the first
// byte of a request. The check waits until the end of a pause before it reads the clock.
func (r *Runtime) WriteCheck(allowed func(nowMs int64) bool) func() bool {
	return func() bool {
		r.pause.wait()
		return allowed(r.options.Clock.NowMs())
	}
}

// DisableKeepAlives closes idle client connections now, and the others after their next
// response, so that none is in use at a planned shutdown.
func (r *Runtime) DisableKeepAlives() {
	r.closeAfterResponse.Store(true)
	r.webConnections.CloseIdle()
}

// Count adds one to a named counter.
func (r *Runtime) Count(name string) { r.counters.add(name) }

// Counts returns a copy of the counters.
func (r *Runtime) Counts() map[string]uint64 { return r.counters.copy() }

// OpenReplies reserves a new id. Responses to it arrive on the channel until CloseReplies
// is called.
func (r *Runtime) OpenReplies() (id uint64, replies <-chan protocol.Reply) { return r.replies.open() }

// CloseReplies releases an id; later responses to it are dropped.
func (r *Runtime) CloseReplies(id uint64) { r.replies.close(id) }

// Call submits the input that is created for a new id and waits for the first response to
// it. It returns false if ctx is done, or the machine has ended, before a response arrives,
// or if the input was dropped.
func (r *Runtime) Call(ctx context.Context, input func(id uint64) protocol.Input) (protocol.Reply, bool) {
	return r.call(ctx, func(id uint64) bool { return r.Submit(input(id)) })
}

// CallWithBody is Call for an input that refers to the body of a request. The memory of the body
// is kept until the machine has handled the input, even if the request has ended before.
func (r *Runtime) CallWithBody(ctx context.Context, body *httpserver.Body, input func(id uint64) protocol.Input) (protocol.Reply, bool) {
	return r.call(ctx, func(id uint64) bool { return r.submitWithBody(body, input(id)) })
}

// call calls submit with a new id and waits for the first response to that.
func (r *Runtime) call(ctx context.Context, submit func(id uint64) bool) (protocol.Reply, bool) {
	id, replies := r.OpenReplies()
	defer r.CloseReplies(id)
	if !submit(id) {
		return nil, false
	}
	select {
	case reply := <-replies:
		return reply, true
	case <-ctx.Done():
		return nil, false
	case <-r.ended:
		return nil, false
	}
}
