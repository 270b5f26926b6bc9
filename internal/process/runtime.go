package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

const (
	inputsMost  = 1 << 16
	outwardMs   = 1000
	outwardMost = 256
	reportMost  = 4 << 20
)

// Machine is a state machine: an input in, effects out.
type Machine interface {
	Step(nowMs int64, input any) protocol.Effects
}

// Options is what a shell needs beside its machine.
type Options struct {
	Site   string
	Self   protocol.Node
	Clock  Clock
	Log    *log.Logger
	TickMs int64
	// Caller carries calls outward that are not in this project's own
	// words; nil where there are none.
	Caller OutboundCaller
	// Reopen makes the machine anew from its disk once that takes writes again
	// after a defect; nil leaves that to a restart.
	Reopen func() (Machine, *storage.Store, error)
}

// OutboundCaller carries a call out and gives what it brought, as an input for the
// machine; false says that it does not know the call. May makes the check at
// the socket: no byte may be written once the process's clock shows untilMs.
type OutboundCaller interface {
	Call(ctx context.Context, out *httpclient.Client, call protocol.OutboundCall, may func(untilMs int64) func() bool) (protocol.OutboundResult, bool)
}

// Runtime runs one machine.
type Runtime struct {
	set     Options
	machine Machine
	disk    *storage.Store
	inputs  *ringbuffer.Buffer[any]
	saves   *ringbuffer.Buffer[saving]
	lines   *lines
	doorway doorway
	out     *httpclient.Client
	calls   atomic.Int64
	ids     atomic.Uint64
	mu      sync.Mutex
	answers map[uint64]chan any
	counts  map[string]uint64
	web     *http.Server
	webAt   net.Listener
	ended   chan struct{}
	halt    halt
}

// New makes a shell; nothing runs yet. The disk may be nil.
func New(set Options, machine Machine, d *storage.Store, peers, web net.Listener, handler http.Handler) *Runtime {
	s := &Runtime{
		set: set, machine: machine, disk: d,
		inputs: ringbuffer.New[any](inputsMost), saves: ringbuffer.New[saving](inputsMost),
		doorway: doorway{listener: peers, streams: map[net.Conn]bool{}},
		out:     httpclient.New(), answers: map[uint64]chan any{}, counts: map[string]uint64{},
		webAt: web, ended: make(chan struct{}),
	}
	s.lines = newLines(s.Count)
	s.web = &http.Server{
		Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
		MaxHeaderBytes: 16 << 10, ErrorLog: set.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return s
}

// HTTPClient is the way out of this process.
func (s *Runtime) HTTPClient() *httpclient.Client { return s.out }

// Clock is the process's clock.
func (s *Runtime) Clock() Clock { return s.set.Clock }

// Submit brings an input before the machine; a full ring refuses.
func (s *Runtime) Submit(input any) bool {
	if !s.inputs.Push(input) {
		s.Count("ring full")
		return false
	}
	return true
}

// Pause makes the daemon stand still until it is released: its machine, its
// disk, and its calls outward right before they are written.
func (s *Runtime) Pause() (release func()) { return s.halt.begin() }

// WriteCheck is the moment before a byte is written: after any standing still.
func (s *Runtime) WriteCheck(may func(nowMs int64) bool) func() bool {
	return func() bool {
		s.halt.wait()
		return may(s.set.Clock.NowMs())
	}
}

// DisableKeepAlives lets no caller's stream be used twice from now on, so that a
// planned stop finds none in use.
func (s *Runtime) DisableKeepAlives() { s.web.SetKeepAlivesEnabled(false) }

// Count adds one to a counter.
func (s *Runtime) Count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

// Counts copies the counters.
func (s *Runtime) Counts() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// OpenReplies opens a place for answers to a new id.
func (s *Runtime) OpenReplies() (uint64, <-chan any) {
	id := s.ids.Add(1)
	answers := make(chan any, 4)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = answers
	return id, answers
}

// CloseReplies closes the place of an id.
func (s *Runtime) CloseReplies(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.answers, id)
}

// Call brings one input and waits for its answer, for as long as ctx lasts.
func (s *Runtime) Call(ctx context.Context, input func(id uint64) any) (any, bool) {
	id, answers := s.OpenReplies()
	defer s.CloseReplies(id)
	if !s.Submit(input(id)) {
		return nil, false
	}
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		return nil, false
	case <-s.ended:
		return nil, false
	}
}

// AddTasks adds the shell's duties to a crew.
func (s *Runtime) AddTasks(c *threads.Group) {
	c.Add(s.work, s.inputs.Close)
	if s.disk != nil {
		c.Add(s.save, s.saves.Close)
	}
	c.Add(s.listen, s.doorway.close)
	c.Add(func() error {
		if err := s.web.Serve(s.webAt); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if s.web.Shutdown(ctx) != nil {
			_ = s.web.Close()
		}
	})
	c.Every(s.set.TickMs, func() {
		// Ticks that pile up after a freeze would say nothing new.
		if waiting, _ := s.inputs.Stats(); waiting < inputsMost/2 {
			s.inputs.Push(protocol.Tick{})
		}
	})
}

// work is the machine's own thread.
func (s *Runtime) work() error {
	defer close(s.ended)
	defer s.lines.close()
	defer s.out.Close()
	for {
		input, ok := s.inputs.Pop()
		if !ok {
			return nil
		}
		s.halt.wait()
		switch in := input.(type) {
		case renewed:
			s.machine, s.disk = in.machine, in.disk
			s.set.Log.Info("the disk takes writes again; begun anew from what it holds")
			continue
		case saved:
			// What became of an earlier machine's writes is nothing to this one.
			if in.disk != s.disk {
				continue
			}
			input = in.DiskWriteDone
		}
		s.perform(s.machine.Step(s.set.Clock.NowMs(), input))
	}
}

func (s *Runtime) perform(effects protocol.Effects) {
	for _, note := range effects.LogLines {
		s.set.Log.Info(note)
	}
	for _, name := range effects.Counts {
		s.Count(name)
	}
	for _, save := range effects.DiskWrites {
		if s.disk == nil || !s.saves.Push(saving{save, s.disk}) {
			s.Submit(saved{protocol.DiskWriteDone{Number: save.Number, Ok: false}, s.disk})
		}
	}
	for _, send := range effects.Sends {
		s.Count("messages sent")
		s.lines.put(send.Address, protocol.Envelope{Site: s.set.Site, From: s.set.Self, To: send.To, Body: send.Body})
	}
	for _, answer := range effects.Responses {
		s.mu.Lock()
		place := s.answers[answer.ID]
		s.mu.Unlock()
		if place != nil {
			place <- answer.Body
		}
	}
	for _, call := range effects.Calls {
		// The bound keeps dark back ends from gathering threads here.
		if s.calls.Add(1) > outwardMost {
			s.calls.Add(-1)
			s.Count("calls outward too many")
			s.Submit(lost(call))
			continue
		}
		threads.Go(func() {
			defer s.calls.Add(-1)
			s.Submit(s.exchange(call))
		})
	}
}

func lost(call protocol.OutboundCall) any {
	switch body := call.Body.(type) {
	case protocol.OrderCall:
		return protocol.RunnerReportResult{Runner: body.Runner, Address: call.Address}
	case protocol.ReportCall:
		return protocol.RunnerReportResult{Runner: body.Runner, Address: call.Address, Number: body.Number}
	case protocol.ListRunners:
		return protocol.RunnerList{}
	case protocol.GetRunnerState:
		return protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number}
	case protocol.RunnerOrder:
		return protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number}
	}
	return protocol.RunnerListResult{}
}

// exchange carries a call out to a runner or to the platform.
func (s *Runtime) exchange(call protocol.OutboundCall) any {
	ctx, cancel := context.WithTimeout(context.Background(), outwardMs*time.Millisecond)
	defer cancel()
	if s.set.Caller != nil {
		may := func(untilMs int64) func() bool {
			return s.WriteCheck(func(nowMs int64) bool { return nowMs < untilMs })
		}
		if brought, known := s.set.Caller.Call(ctx, s.out, call, may); known {
			return brought
		}
	}
	always := s.WriteCheck(func(int64) bool { return true })
	switch body := call.Body.(type) {
	case protocol.OrderCall:
		text, _ := json.Marshal(body.Order)
		// The hold is checked again right before the order is written.
		inTime := s.WriteCheck(func(nowMs int64) bool { return nowMs < body.UntilMs })
		reported := protocol.RunnerReportResult{Runner: body.Runner, Address: call.Address}
		reported.Ok = s.fetch(ctx, http.MethodPost, call.Address, "/orders", text, inTime, &reported.Report)
		return reported
	case protocol.ReportCall:
		reported := protocol.RunnerReportResult{Runner: body.Runner, Address: call.Address, Number: body.Number}
		reported.Ok = s.fetch(ctx, http.MethodGet, call.Address, fmt.Sprintf("/report?epoch=%d", body.Epoch), nil, always, &reported.Report)
		return reported
	case protocol.PlatformCall:
		var listing protocol.RunnerListResult
		listing.Ok = s.fetch(ctx, http.MethodGet, call.Address, "/runners", nil, always, &listing.Runners)
		return listing
	}
	return lost(call)
}

func (s *Runtime) fetch(ctx context.Context, method, address, path string, body []byte, may func() bool, into any) bool {
	answer, _, err := s.out.Do(ctx, method, "http://"+address+path, body, may)
	if err != nil {
		s.Count("calls outward failed")
		return false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, reportMost))
	if err != nil || answer.StatusCode/100 != 2 || json.Unmarshal(text, into) != nil {
		s.Count("calls outward failed")
		return false
	}
	return true
}
