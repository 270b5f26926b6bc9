package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/threads"
)

// reaction is what a modelled runner does with a request that arrives.
type reaction string

// What runners do, with faults and without.
const (
	reactWhole       reaction = "whole answer"
	reactChunks      reaction = "whole answer in chunks"
	reactBoth        reaction = "chunks and a length"
	reactFull        reaction = "turned away"
	reactOther       reaction = "another runner lives there"
	reactFailed      reaction = "failed"
	reactFalse       reaction = "503 that promises nothing"
	reactShort       reaction = "cut within the body"
	reactHead        reaction = "cut within the head"
	reactGarbage     reaction = "no answer in the protocol"
	reactStatus      reaction = "a status that is none"
	reactUpgrade     reaction = "another protocol"
	reactClose       reaction = "closed without a word"
	reactReset       reaction = "reset"
	reactForget      reaction = "whole answer, then reset"
	reactForeign     reaction = "another's id"
	reactForeignBare reaction = "another's id without a body"
	reactNameless    reaction = "no id"
	reactTwoIds      reaction = "two ids"
	reactDoubled     reaction = "doubled answer"
	reactSurplus     reaction = "surplus bytes"
	reactStale       reaction = "the answer before comes late"
	reactEarly       reaction = "answer before the body was read"
	reactHints       reaction = "informational answer before"
	reactUnsealed    reaction = "no seal"
	reactEncoded     reaction = "an encoding"
	reactEndless     reaction = "no told end"
	reactSilent      reaction = "silence"
	reactCutStream   reaction = "a stream that breaks off"
	reactGap         reaction = "a stream with a gap"
	reactTail        reaction = "a resumed stream that ends within an event"
)

var reactions = []reaction{
	reactWhole, reactChunks, reactBoth, reactFull, reactOther, reactFailed, reactFalse, reactShort, reactHead, reactGarbage,
	reactStatus, reactUpgrade, reactClose, reactReset, reactForget, reactForeign, reactForeignBare, reactNameless, reactTwoIds,
	reactDoubled, reactSurplus, reactStale, reactEarly, reactHints, reactUnsealed, reactEncoded, reactEndless, reactSilent,
	reactCutStream, reactGap, reactTail,
}

// modelRunners are three runners. Whichever a request comes to, each of its
// attempts gets the next of its own reactions, so that a run can be repeated exactly.
type modelRunners struct {
	log       *exchangeLog
	mu        sync.Mutex
	reactions map[string][]reaction
	// silent says, by attempt, that a runner has a request and doesn't answer.
	silent map[string]chan struct{}
	open   map[io.Closer]bool
	served sync.WaitGroup
}

func (m *modelRunners) next(try string) reaction {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := m.reactions[try]
	if len(left) == 0 {
		return reactWhole
	}
	m.reactions[try] = left[1:]
	return left[0]
}

func (m *modelRunners) silence(try string) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.silent[try] == nil {
		m.silent[try] = make(chan struct{}, triesMost+1)
	}
	return m.silent[try]
}

func (m *modelRunners) listen(id string) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.open[listener] = true
	m.mu.Unlock()
	m.served.Add(1)
	threads.Go(func() {
		defer m.served.Done()
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.open[connection] = true
			m.mu.Unlock()
			m.served.Add(1)
			threads.Go(func() {
				defer m.served.Done()
				(&modelConn{runners: m, id: id, connection: connection, reader: bufio.NewReader(connection)}).serve()
			})
		}
	})
	return listener, nil
}

// stop closes what is open and waits for the runners to end.
func (m *modelRunners) stop() {
	m.mu.Lock()
	for listenerOrConnection := range m.open {
		_ = listenerOrConnection.Close()
	}
	m.mu.Unlock()
	m.served.Wait()
}

// modelConn is one connection to a modelled runner.
type modelConn struct {
	runners    *modelRunners
	id         string
	connection net.Conn
	reader     *bufio.Reader
	// doubt is set once something was written that must end the connection.
	doubt bool
	// before is the last complete response on it.
	before string
}

func (m *modelConn) serve() {
	defer func() { _ = m.connection.Close() }()
	for {
		request, err := http.ReadRequest(m.reader)
		if err != nil {
			return
		}
		a := &arrival{
			try: request.Header.Get("Try"), attempt: request.Header.Get("Attempt"), runner: m.id,
			named: request.Header.Get("Runner"), afterDoubt: m.doubt,
		}
		m.runners.log.mu.Lock()
		m.runners.log.arrivals = append(m.runners.log.arrivals, a)
		m.runners.log.mu.Unlock()
		react := m.runners.next(a.try)
		if react != reactEarly {
			_, _ = io.Copy(io.Discard, request.Body)
			// Nobody may write a second request before the first is answered.
			a.tooEarly = m.reader.Buffered() > 0
		}
		if !m.react(a, request, react) {
			return
		}
	}
}

// give records a response to a request, before a byte of it is written.
func (m *modelConn) give(try string, status int, body string, whole bool) {
	m.runners.log.mu.Lock()
	defer m.runners.log.mu.Unlock()
	m.runners.log.given[try] = append(m.runners.log.given[try], forwardedResponse{status, body, whole})
}

func answerHead(status, try, rest string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nTry: %s\r\nSeal: s\r\n%s\r\n", status, try, rest)
}

func withLength(status, try, body string) string {
	return answerHead(status, try, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

func inChunks(try, rest, body string) string {
	return answerHead("200 OK", try, rest+"Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// react sends a response; false ends the connection.
func (m *modelConn) react(a *arrival, request *http.Request, react reaction) bool {
	try := a.try
	if strings.HasPrefix(request.URL.Path, "/stream/") || strings.HasPrefix(request.URL.Path, "/once/") {
		switch react {
		case reactWhole, reactChunks, reactBoth, reactShort, reactCutStream, reactGap, reactForget, reactDoubled, reactSurplus, reactHints, reactStale, reactEarly, reactTail:
			return m.reactStream(try, request, react)
		}
	}
	body := "run " + a.attempt + " of " + try
	good := withLength("200 OK", try, body)
	write := func(text string) bool { _, err := io.WriteString(m.connection, text); return err == nil }
	doubtful := func(text string) bool { m.doubt = true; return write(text) }
	switch react {
	case reactFull:
		a.effect = effectNotRun
		return write(answerHead("503 Full", try, "Not-Run: 1\r\nContent-Length: 0\r\n"))
	case reactOther:
		a.effect = effectNotRun
		return write(answerHead("421 Other", try, "Content-Length: 0\r\n"))
	case reactFailed:
		m.give(try, 500, body, true)
		return write(withLength("500 Failed", try, body))
	case reactFalse:
		m.give(try, 503, "", true)
		return write(withLength("503 Full", try, ""))
	case reactShort, reactCutStream:
		m.give(try, 200, body, false)
		_ = doubtful(strings.TrimSuffix(good, try))
		return false
	case reactHead:
		_ = doubtful("HTTP/1.1 200 OK\r\nTry: " + try)
		return false
	case reactGarbage:
		return doubtful("garbage\r\n\r\n")
	case reactStatus:
		return doubtful(withLength("099 X", try, body))
	case reactUpgrade:
		return doubtful(withLength("101 X", try, body))
	case reactClose:
		return false
	case reactReset:
		_ = m.connection.(*net.TCPConn).SetLinger(0)
		return false
	case reactForeign:
		return doubtful(withLength("200 OK", "not-"+try, "another's"))
	case reactForeignBare:
		return doubtful(answerHead("503 Full", "not-"+try, "Not-Run: 1\r\nContent-Length: 0\r\n"))
	case reactNameless:
		return doubtful("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok")
	case reactTwoIds:
		return doubtful(answerHead("200 OK", try, "Try: other\r\nContent-Length: 2\r\n") + "ok")
	case reactUnsealed:
		return doubtful("HTTP/1.1 200 OK\r\nTry: " + try + "\r\nContent-Length: 2\r\n\r\nok")
	case reactEncoded:
		return doubtful(answerHead("200 OK", try, "Content-Encoding: gzip\r\nContent-Length: 2\r\n") + "ok")
	case reactEndless:
		_ = doubtful(answerHead("200 OK", try, "") + "no end")
		return false
	case reactSilent:
		if request.Header.Get("Stays") != "" {
			return false
		}
		m.doubt = true
		m.runners.silence(try) <- struct{}{}
		// It ends once the router closes the connection.
		_, _ = io.Copy(io.Discard, m.reader)
		return false
	}
	m.give(try, 200, body, true)
	switch react {
	case reactChunks:
		return write(inChunks(try, "", body))
	case reactBoth:
		return write(inChunks(try, "Content-Length: 1\r\n", body))
	case reactForget:
		_ = write(good)
		_ = m.connection.(*net.TCPConn).SetLinger(0)
		return false
	case reactDoubled:
		return doubtful(good + good)
	case reactSurplus:
		return doubtful(good + "x")
	case reactHints:
		return doubtful("HTTP/1.1 103 Hints\r\nTry: " + try + "\r\n\r\n" + good)
	case reactStale:
		if m.before != "" {
			return doubtful(m.before + good)
		}
	case reactEarly:
		if !write(good) {
			return false
		}
		_, _ = io.Copy(io.Discard, request.Body)
		return true
	}
	m.before = good
	return write(good)
}

// reactStream answers with the events that the client does not have yet.
func (m *modelConn) reactStream(try string, request *http.Request, react reaction) bool {
	m.give(try, 200, "", true)
	first := 1
	if after := request.Header.Get("After"); after != "" {
		_, _ = fmt.Sscan(after, &first)
		first++
	}
	write := func(text string) bool { _, err := io.WriteString(m.connection, text); return err == nil }
	head := answerHead("200 OK", try, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	if react == reactHints {
		m.doubt = true
		head = "HTTP/1.1 103 Hints\r\n\r\n" + head
	}
	if react == reactStale && m.before != "" {
		m.doubt = true
		head = m.before + head
	}
	if !write(head) {
		return false
	}
	for id := first; id <= streamEvents; id++ {
		event := streamEvent(try, id)
		if react == reactGap && id == first && first > 1 {
			continue
		}
		if (react == reactShort || react == reactCutStream) && id == (first+streamEvents)/2 {
			m.doubt = true
			_ = write(fmt.Sprintf("%x\r\n%s", len(event), event[:len(event)/2]))
			return false
		}
		if react == reactTail && first > 1 && id == streamEvents {
			event = event[:len(event)/2]
		}
		if !write(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
	}
	if react == reactGap && first > 1 {
		m.doubt = true
	}
	end := "0\r\n\r\n"
	if react == reactDoubled || react == reactSurplus {
		m.doubt = true
		end += "HTTP/1.1 200 OK\r\nTry: " + try + "\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
	}
	if !write(end) {
		return false
	}
	if react == reactEarly {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	return react != reactForget
}

// modelRequest is one request of a modelled client.
type modelRequest struct {
	try, route string
	bodyBytes  int
	// pipelined says that it is written together with the one before.
	pipelined bool
	// leaves says that the client disconnects once the request is written.
	leaves bool
	// reactions are what the runners do with its attempts, in order.
	reactions []reaction
}

func (r modelRequest) text() string {
	stays := ""
	if r.pipelined {
		stays = "Stays: 1\r\n"
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nTry: %s\r\nModel: m\r\n%sContent-Length: %d\r\n\r\n%s",
		r.route, r.try, stays, r.bodyBytes, strings.Repeat("b", r.bodyBytes))
}

// modelClient makes its requests one after the other, on one connection for as
// long as that lasts.
type modelClient struct {
	address    string
	log        *exchangeLog
	runners    *modelRunners
	connection net.Conn
	reader     *bufio.Reader
}

func (m *modelClient) run(requests []modelRequest) {
	defer m.close()
	for i := 0; i < len(requests); {
		// Those that follow and are pipelined go together.
		end := i + 1
		for end < len(requests) && requests[end].pipelined {
			end++
		}
		m.exchange(requests[i:end])
		i = end
	}
}

func (m *modelClient) close() {
	if m.connection != nil {
		_ = m.connection.Close()
		m.connection = nil
	}
}

func (m *modelClient) note(o outcome) {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	m.log.outcomes = append(m.log.outcomes, o)
}

func (m *modelClient) exchange(requests []modelRequest) {
	if m.connection == nil {
		connection, err := net.Dial("tcp", m.address)
		if err != nil {
			return
		}
		m.connection, m.reader = connection, bufio.NewReader(connection)
	}
	text := ""
	for i, r := range requests {
		if len(requests) > 1 {
			r.pipelined = true
		}
		requests[i] = r
		text += r.text()
	}
	_, _ = io.WriteString(m.connection, text)
	for i, r := range requests {
		o := outcome{try: r.try, route: r.route}
		if m.connection == nil {
			o.none = true
			m.note(o)
			continue
		}
		if r.leaves && len(requests) == 1 {
			o.left = true
			m.note(o)
			m.close()
			return
		}
		m.read(&o, i == len(requests)-1)
		m.note(o)
		if o.left || o.none || o.broken {
			m.close()
		}
	}
}

// read reads one answer; the client leaves if a runner has its request and says
// nothing.
func (m *modelClient) read(o *outcome, last bool) {
	answered := make(chan struct{})
	watched := make(chan bool)
	connection := m.connection
	threads.Go(func() {
		select {
		case <-m.runners.silence(o.try):
			_ = connection.Close()
			watched <- true
		case <-answered:
			watched <- false
		}
	})
	answer, err := http.ReadResponse(m.reader, nil)
	if err == nil {
		o.status, o.seal, o.echo = answer.StatusCode, answer.Header.Get("Seal") != "", answer.Header.Get("Try")
		var text []byte
		text, err = io.ReadAll(answer.Body)
		o.body, o.broken = string(text), err != nil
		if answer.Close {
			defer m.close()
		}
	} else {
		o.none = true
	}
	close(answered)
	o.left = <-watched
	o.surplus = last && !o.left && m.reader.Buffered() > 0
}

// countingCodec numbers the attempts of the router.
type countingCodec struct {
	Codec
	attempts *atomic.Int64
}

func (t countingCodec) WriteAttemptHeader(to, from http.Header, g AttemptParams) {
	t.Codec.WriteAttemptHeader(to, from, g)
	to.Set("Attempt", fmt.Sprint(t.attempts.Add(1)))
}

// credulousCodec accepts any response as the one to its request.
type credulousCodec struct{ Codec }

func (t credulousCodec) ParseResponseHead(answer *http.Response) ResponseHead {
	heard := t.Codec.ParseResponseHead(answer)
	heard.RequestID, heard.HasSeal = answer.Request.Header.Get("Try"), true
	return heard
}

// namelessCodec names no runner.
type namelessCodec struct{ Codec }

func (t namelessCodec) WriteAttemptHeader(to, from http.Header, g AttemptParams) {
	t.Codec.WriteAttemptHeader(to, from, g)
	to.Del("Runner")
}

// unnumberedCodec finds no id in an event.
type unnumberedCodec struct{ Codec }

func (unnumberedCodec) ParseEvent([]byte) (string, int64) { return "1", 0 }

// exchangeModel is a router between modelled clients and runners.
type exchangeModel struct {
	codec    Codec
	document config.Configuration
}

func (e exchangeModel) play(clients [][]modelRequest) ([]string, error) {
	reactions := map[string][]reaction{}
	for _, requests := range clients {
		for _, r := range requests {
			reactions[r.try] = r.reactions
		}
	}
	log := &exchangeLog{given: map[string][]forwardedResponse{}}
	runners := &modelRunners{log: log, reactions: reactions, silent: map[string]chan struct{}{}, open: map[io.Closer]bool{}}
	var addresses []string
	for i := range 3 {
		listener, err := runners.listen(fmt.Sprint("r", i))
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, listener.Addr().String())
	}
	_, url, stop, err := startServer(countingCodec{e.codec, &atomic.Int64{}}, e.document, addresses, io.Discard, asItIs)
	if err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	for _, requests := range clients {
		group.Add(1)
		threads.Go(func() {
			defer group.Done()
			(&modelClient{address: strings.TrimPrefix(url, "http://"), log: log, runners: runners}).run(requests)
		})
	}
	group.Wait()
	stop()
	runners.stop()
	return log.violations(), nil
}

func drawClients(t *rapid.T) [][]modelRequest {
	routes := []string{"safe", "unsafe", "stream", "once"}
	clients := make([][]modelRequest, rapid.IntRange(1, 3).Draw(t, "clients"))
	for i := range clients {
		for n := range rapid.IntRange(1, 4).Draw(t, "requests") {
			clients[i] = append(clients[i], modelRequest{
				try:       fmt.Sprintf("c%d-%d", i, n),
				route:     rapid.SampledFrom(routes).Draw(t, "route"),
				bodyBytes: rapid.SampledFrom([]int{0, 8, 3000, 40_000}).Draw(t, "body"),
				pipelined: n > 0 && rapid.IntRange(0, 4).Draw(t, "pipelined") == 4,
				leaves:    rapid.IntRange(0, 9).Draw(t, "leaves") == 9,
				reactions: rapid.SliceOfN(rapid.SampledFrom(reactions), 0, triesMost).Draw(t, "reactions"),
			})
		}
	}
	return clients
}

// Whatever runners and clients do, each client gets the complete
// response to its own request or an error, and no connection is used after a doubt.
func TestEachClientGetsItsOwnResponseOnce(t *testing.T) {
	model := exchangeModel{plainCodec{}, exampleConfig(1)}
	rapid.Check(t, func(t *rapid.T) {
		broken, err := model.play(drawClients(t))
		if err != nil {
			t.Fatal(err)
		}
		if len(broken) > 0 {
			t.Fatalf("%q", broken)
		}
	})
}

// Each broken router is found by the rule that it breaks.
func TestTheModelFindsBrokenRouters(t *testing.T) {
	unsafeAsSafe := exampleConfig(1)
	for i := range unsafeAsSafe.Routes {
		if unsafeAsSafe.Routes[i].Name == "unsafe" {
			unsafeAsSafe.Routes[i].Kind = config.Safe
		}
	}
	moreTries := exampleConfig(1)
	for i := range moreTries.Routes {
		moreTries.Routes[i].MaxAttempts = triesMost + 2
	}
	cases := []struct {
		about     string
		model     exchangeModel
		reactions []reaction
		routes    []string
		rule      string
	}{
		{"any id will do", exchangeModel{credulousCodec{plainCodec{}}, exampleConfig(1)}, []reaction{reactForeign}, []string{"safe"}, ruleOwnAnswer},
		{"an unsafe one is sent again", exchangeModel{plainCodec{}, unsafeAsSafe}, []reaction{reactClose}, []string{"unsafe"}, ruleOnce},
		{"a 503 without a promise is passed on", exchangeModel{plainCodec{}, unsafeAsSafe}, []reaction{reactFalse}, []string{"unsafe"}, rulePromise},
		{"more tries than allowed", exchangeModel{plainCodec{}, moreTries}, []reaction{reactClose, reactClose, reactClose, reactClose}, []string{"safe"}, ruleTries},
		{"no runner is named", exchangeModel{namelessCodec{plainCodec{}}, exampleConfig(1)}, nil, []string{"safe"}, ruleNamed},
		{"pieces are not numbered", exchangeModel{unnumberedCodec{plainCodec{}}, exampleConfig(1)}, []reaction{reactCutStream, reactCutStream}, []string{"stream"}, ruleStream},
		// Of four requests to three runners two meet on one connection.
		{"any id will do, and the connection goes on", exchangeModel{credulousCodec{plainCodec{}}, exampleConfig(1)}, []reaction{reactForeign},
			[]string{"safe", "safe", "safe", "safe"}, ruleDoubt},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			var requests []modelRequest
			for n, route := range test.routes {
				requests = append(requests, modelRequest{try: fmt.Sprint("c0-", n), route: route, bodyBytes: 8, reactions: test.reactions})
			}
			broken, err := test.model.play([][]modelRequest{requests})
			if err != nil {
				t.Fatal(err)
			}
			for _, found := range broken {
				if strings.HasPrefix(found, test.rule) {
					return
				}
			}
			t.Fatalf("want %q, found %q", test.rule, broken)
		})
	}
}
