package stand

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runnerSlots is how many requests a runner works on at once.
const runnerSlots = 64

// runner is the stand-in for a runner of a service without models.
type runner struct {
	site                 *site
	id, service, address string
	server               *http.Server

	// workMs is how long a request takes; withoutLength makes the answers to unsafe
	// requests end with their connection.
	workMs        atomic.Int64
	withoutLength atomic.Bool

	mu sync.Mutex
	// runs counts the runs of each request.
	runs map[string]int
}

func newRunner(s *site, id, service, address string) *runner {
	r := &runner{site: s, id: id, service: service, address: address, runs: map[string]int{}}
	r.workMs.Store(30)
	return r
}

func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	return nil
}

func (r *runner) stop() { _ = r.server.Close() }

// runsOf returns how often a request has run here.
func (r *runner) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// serve works on one request.
func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Runner-Id", r.id)
	if request.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Try-Id")
	w.Header().Set("X-Try-Id", id)
	if expected := request.Header.Get("X-Expect-Runner"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	time.Sleep(time.Duration(r.workMs.Load()) * time.Millisecond)
	sum := sha256.Sum256(body)
	answer := fmt.Sprintf("%s %s %s %d bytes %s\n", r.id, request.Method, request.RequestURI, len(body), hex.EncodeToString(sum[:8]))
	if r.withoutLength.Load() && strings.HasPrefix(request.URL.Path, oncePath) {
		r.answerWithoutLength(w, id, answer)
		return
	}
	w.Header().Set("X-Server-Seal", r.id+"."+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, answer)
}

// answerWithoutLength writes an answer that ends with its connection, in order.
func (r *runner) answerWithoutLength(w http.ResponseWriter, id, answer string) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Server-Seal: %s.%s\r\nX-Runner-Id: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", id, r.id, id, r.id, answer)
	_ = buffer.Flush()
}
