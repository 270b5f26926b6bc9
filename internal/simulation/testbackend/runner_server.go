package testbackend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// RunnerServer is a runner's door to the network.
type RunnerServer struct {
	mu     sync.Mutex
	runner *Runner
	nowMs  func() int64
	// WorkMs is how long a plain answer takes, and each piece of a telling.
	WorkMs int64
	Pieces int
	// BreakStreams makes every telling break off after its first piece.
	BreakStreams bool
}

// NewRunnerServer opens a door.
func NewRunnerServer(runner *Runner, nowMs func() int64, workMs int64, pieces int) *RunnerServer {
	return &RunnerServer{runner: runner, nowMs: nowMs, WorkMs: workMs, Pieces: pieces}
}

// ServeHTTP answers reports, orders and requests.
func (d *RunnerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /report":
		epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
		d.mu.Lock()
		d.runner.RaiseEpoch(epoch)
		report := d.runner.Report(d.nowMs())
		d.mu.Unlock()
		writeJSON(w, http.StatusOK, report)
	case "POST /orders":
		var order protocol.Order
		if !readJSON(w, r, &order) {
			return
		}
		d.mu.Lock()
		report, kind := d.runner.AcceptOrder(d.nowMs(), order)
		d.mu.Unlock()
		if kind != "" {
			writeJSON(w, http.StatusConflict, errkind.ErrorBody{Kind: kind, Ran: "no"})
			return
		}
		writeJSON(w, http.StatusOK, report)
	case "POST /run":
		var call router.RunRequest
		if readJSON(w, r, &call) {
			d.run(w, r, call)
		}
	default:
		writeJSON(w, http.StatusNotFound, errkind.ErrorBody{Kind: errkind.UnknownPage})
	}
}

func (d *RunnerServer) run(w http.ResponseWriter, r *http.Request, call router.RunRequest) {
	d.mu.Lock()
	drop := d.runner.StartRequest(d.nowMs(), call, "")
	incarnation := d.runner.Incarnation
	d.mu.Unlock()
	if drop != nil {
		writeJSON(w, http.StatusConflict, drop)
		return
	}
	defer func() {
		d.mu.Lock()
		d.runner.FinishRequest()
		d.mu.Unlock()
	}()
	if !call.Streaming {
		if !d.wait(r) {
			return
		}
		text, _ := json.Marshal(map[string]string{"service": call.Service, "model": call.Model, "said": "answer to " + call.Request})
		writeJSON(w, http.StatusOK, router.RunResponse{Request: call.Request, Incarnation: incarnation, Answer: text})
		return
	}
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for piece := 1; piece <= d.Pieces; piece++ {
		if !d.wait(r) {
			return
		}
		if d.BreakStreams && piece == 2 {
			panic(http.ErrAbortHandler)
		}
		_ = encoder.Encode(router.RunResponse{Request: call.Request, Incarnation: incarnation, Chunk: piece, Text: fmt.Sprintf("piece %d of %s", piece, call.Request)})
		_ = flush.Flush()
	}
	_ = encoder.Encode(router.RunResponse{Request: call.Request, Incarnation: incarnation, End: &d.Pieces})
}

func (d *RunnerServer) wait(r *http.Request) bool {
	timer := time.NewTimer(time.Duration(d.WorkMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 32<<20))
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errkind.ErrorBody{Kind: errkind.BadRequest, Detail: err.Error(), Ran: "no"})
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
