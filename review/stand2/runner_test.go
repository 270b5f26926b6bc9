package stand2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The stand-in of a runner runs as a process of its own. It holds one model and answers
// streams in events of tokensPerEvent tokens, token by token.
const (
	modelName      = "daka510000"
	tokensPerEvent = 5
	tokenTime      = 8 * time.Millisecond
)

// roleFunctions are what the test binary does in another role than a case.
var roleFunctions = map[string]func() error{"runner": runRunner}

func runRole(role string) {
	run, found := roleFunctions[role]
	if !found {
		fmt.Println("unknown role", role)
		os.Exit(exitNotRun)
	}
	if err := run(); err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
}

// runner is the state of the process.
type runner struct {
	id string
	// hasModel is true for a service with an engine.
	hasModel bool
	// unframed is true if its streams have no length and end with their connection.
	unframed bool
	running  atomic.Int64
	mu       sync.Mutex
	log      *os.File
	calls    int64
}

func runRunner() error {
	log, err := os.OpenFile(os.Getenv("RUNNER_LOG"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	r := &runner{
		id: os.Getenv("RUNNER_ID"), hasModel: os.Getenv("RUNNER_MODEL") != "",
		unframed: os.Getenv("RUNNER_UNFRAMED") != "", log: log,
	}
	listener, err := net.Listen("tcp", os.Getenv("RUNNER_ADDRESS"))
	if err != nil {
		return err
	}
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.serve(connection)
	}
}

// note writes a line to the runner's log.
func (r *runner) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.log, "%d %s %s\n", time.Now().UnixMilli(), r.id, fmt.Sprintf(format, args...))
}

// serve serves the requests of one connection, one at a time.
func (r *runner) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		keep := r.answer(connection, request, body)
		if !keep || request.Close {
			return
		}
	}
}

// answer answers one request and reports whether the connection may be kept.
func (r *runner) answer(w net.Conn, request *http.Request, body []byte) bool {
	if expected := request.Header.Get("X-Expect-Runner"); expected != "" && expected != r.id {
		return r.write(w, request, http.StatusMisdirectedRequest, "X-Not-Run: 1\r\n", "")
	}
	switch request.URL.Path {
	case "/v1/report":
		return r.write(w, request, http.StatusOK, "Content-Type: application/json\r\n", r.report())
	case "/v1/order":
		return r.order(w, request, body)
	case "/health":
		return r.write(w, request, http.StatusOK, "", "")
	}
	if r.hasModel && strings.SplitN(request.Header.Get("X-Model"), "/", 2)[0] != modelName {
		return r.write(w, request, http.StatusMisdirectedRequest, "X-Not-Run: 1\r\n", "")
	}
	return r.run(w, request)
}

// write writes a whole answer.
func (r *runner) write(w net.Conn, request *http.Request, status int, headers, body string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Try-Id: %s\r\nX-Runner-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), request.Header.Get("X-Try-Id"), r.id, headers, len(body), body)
	_, err := io.WriteString(w, text)
	return err == nil
}

func (r *runner) models() []heldModel {
	if !r.hasModel {
		return nil
	}
	return []heldModel{{Name: modelName, Version: 1, Adapters: []string{}}}
}

func (r *runner) report() string {
	r.mu.Lock()
	calls := r.calls
	r.mu.Unlock()
	text, _ := json.Marshal(map[string]any{
		"phase": "both", "models": r.models(), "busy": false, "call_count": calls, "queued": 0,
		"active": r.running.Load(), "cache_used": 0, "cache_total": 135472, "handles": 0,
	})
	return string(text)
}

// order answers an order: the only model is in place already, so nothing is to be done.
func (r *runner) order(w net.Conn, request *http.Request, body []byte) bool {
	r.note("order %s", body)
	return r.write(w, request, http.StatusOK, "", "{}")
}

// run runs one request and writes its stream.
func (r *runner) run(w net.Conn, request *http.Request) bool {
	try := request.Header.Get("X-Try-Id")
	first := 0
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		first, _ = strconv.Atoi(last)
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	r.note("runs %s from event %d", try, first+1)
	head := "HTTP/1.1 200 OK\r\nX-Try-Id: " + try + "\r\nX-Server-Seal: seal-" + r.id + "-" + try +
		"\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
	if r.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(w, head); err != nil {
		return false
	}
	if !r.writeEvents(w, first) {
		r.note("is cut off in %s", try)
		return false
	}
	r.note("ends %s", try)
	return !r.unframed
}

// writeEvents writes the events after the given one. The end of an event is written together
// with the beginning of the next one, as tokens come.
func (r *runner) writeEvents(w net.Conn, first int) bool {
	piece := ""
	for number := first + 1; number <= events; number++ {
		piece += fmt.Sprintf("id: %d\ndata: t%d.1", number, number)
		for token := 2; token <= tokensPerEvent; token++ {
			if !r.writePiece(w, piece) {
				return false
			}
			time.Sleep(tokenTime)
			piece = fmt.Sprintf(" t%d.%d", number, token)
		}
		piece += "\n\n"
	}
	if !r.writePiece(w, piece) {
		return false
	}
	if !r.unframed {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	}
	return true
}

func (r *runner) writePiece(w net.Conn, piece string) bool {
	if !r.unframed {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	_, err := io.WriteString(w, piece)
	return err == nil
}
