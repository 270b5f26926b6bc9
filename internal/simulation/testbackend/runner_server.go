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

// maxBodyBytes bounds the request bodies that the stubs read.
const maxBodyBytes = 32 << 20

// RunnerServer serves a runner over HTTP.
type RunnerServer struct {
	// WorkMs is how long a response without streaming takes, or one chunk of a stream.
	WorkMs int64
	// ChunksPerStream is the number of chunks in each streamed response.
	ChunksPerStream int
	// BreakStreams makes every stream break off after its first chunk.
	BreakStreams bool

	nowMs func() int64
	// mu guards the runner.
	mu     sync.Mutex
	runner *Runner
}

// NewRunnerServer returns a server for a runner.
func NewRunnerServer(runner *Runner, nowMs func() int64, workMs int64, chunks int) *RunnerServer {
	return &RunnerServer{runner: runner, nowMs: nowMs, WorkMs: workMs, ChunksPerStream: chunks}
}

// ServeHTTP serves calls for reports, orders and requests.
func (s *RunnerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /report":
		s.serveReport(w, r)
	case "POST /orders":
		s.serveOrder(w, r)
	case "POST /run":
		s.serveRun(w, r)
	default:
		writeJSON(w, http.StatusNotFound, errkind.ErrorBody{Kind: errkind.UnknownPage})
	}
}

func (s *RunnerServer) serveReport(w http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	s.mu.Lock()
	s.runner.RaiseEpoch(epoch)
	report := s.runner.Report(s.nowMs())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (s *RunnerServer) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order protocol.Order
	if !readJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	report, rejected := s.runner.AcceptOrder(s.nowMs(), order)
	s.mu.Unlock()
	if rejected != "" {
		writeJSON(w, http.StatusConflict, errkind.ErrorBody{Kind: rejected, Ran: "no"})
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (s *RunnerServer) serveRun(w http.ResponseWriter, r *http.Request) {
	var call router.RunRequest
	if !readJSON(w, r, &call) {
		return
	}
	s.mu.Lock()
	rejection := s.runner.StartRequest(s.nowMs(), call, "")
	s.mu.Unlock()
	if rejection != nil {
		writeJSON(w, http.StatusConflict, rejection)
		return
	}
	defer func() {
		s.mu.Lock()
		s.runner.FinishRequest()
		s.mu.Unlock()
	}()
	if call.Streaming {
		s.writeStream(w, r, call)
	} else {
		s.writeResponse(w, r, call)
	}
}

// responseText returns the text in the response to a request that is not streamed.
func responseText(id string) string { return "answer to " + id }

// plainResponse is the value of "answer" in the response to a request that is not
// streamed.
type plainResponse struct {
	Model   string `json:"model"`
	Said    string `json:"said"`
	Service string `json:"service"`
}

func (s *RunnerServer) writeResponse(w http.ResponseWriter, r *http.Request, call router.RunRequest) {
	if !s.simulateWork(r) {
		return
	}
	text, err := json.Marshal(plainResponse{Model: call.Model, Said: responseText(call.Request), Service: call.Service})
	if err != nil {
		panic("testbackend: encoding a response failed: " + err.Error())
	}
	writeJSON(w, http.StatusOK, router.RunResponse{Request: call.Request, Incarnation: s.runner.Incarnation, Answer: text})
}

// writeStream writes one line per chunk, and the number of chunks in the last line.
func (s *RunnerServer) writeStream(w http.ResponseWriter, r *http.Request, call router.RunRequest) {
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	line := router.RunResponse{Request: call.Request, Incarnation: s.runner.Incarnation}
	for chunk := 1; chunk <= s.ChunksPerStream; chunk++ {
		if !s.simulateWork(r) {
			return
		}
		if s.BreakStreams && chunk == 2 {
			panic(http.ErrAbortHandler)
		}
		line.Chunk, line.Text = chunk, fmt.Sprintf("piece %d of %s", chunk, call.Request)
		_ = encoder.Encode(line)
		_ = controller.Flush()
	}
	_ = encoder.Encode(router.RunResponse{Request: call.Request, Incarnation: s.runner.Incarnation, End: &s.ChunksPerStream})
}

// simulateWork waits for the time that the work takes, and reports whether the router
// still waits for the response.
func (s *RunnerServer) simulateWork(r *http.Request) bool {
	timer := time.NewTimer(time.Duration(s.WorkMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// readJSON decodes a request's body. It reports whether that succeeded, and otherwise
// responds with an error.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
