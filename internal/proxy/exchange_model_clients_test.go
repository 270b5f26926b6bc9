package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"myrtlewinch/internal/threads"
)

// modelRequest is one request of a client of the model.
type modelRequest struct {
	id, route string
	bodyBytes int
	// pipelined is true if it is sent together with the previous one.
	pipelined bool
	// disconnects is true if the client disconnects once the request is sent.
	disconnects bool
	// reactions are what the runners do with its attempts, in order.
	reactions []reaction
}

func (r modelRequest) text() string {
	pipelinedHeader := ""
	if r.pipelined {
		pipelinedHeader = "Pipelined: 1\r\n"
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nTry: %s\r\nModel: m\r\n%sContent-Length: %d\r\n\r\n%s",
		r.route, r.id, pipelinedHeader, r.bodyBytes, strings.Repeat("b", r.bodyBytes))
}

// modelClient sends its requests one after the other, on one connection for as long as
// that stays open.
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
		// Pipelined requests are sent together with the one before them.
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

func (m *modelClient) record(o clientResponse) {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	m.log.clientResponses = append(m.log.clientResponses, o)
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
		o := clientResponse{requestID: r.id, route: r.route}
		if m.connection == nil {
			o.noResponse = true
			m.record(o)
			continue
		}
		if r.disconnects && len(requests) == 1 {
			o.disconnected = true
			m.record(o)
			m.close()
			return
		}
		m.read(&o, i == len(requests)-1)
		m.record(o)
		if o.disconnected || o.noResponse || o.truncated {
			m.close()
		}
	}
}

// read reads one response. The client disconnects if a runner has its request and does
// not respond.
func (m *modelClient) read(o *clientResponse, last bool) {
	received := make(chan struct{})
	watchResult := make(chan bool)
	connection := m.connection
	threads.Go(func() {
		select {
		case <-m.runners.unansweredBy(o.requestID):
			_ = connection.Close()
			watchResult <- true
		case <-received:
			watchResult <- false
		}
	})
	response, err := http.ReadResponse(m.reader, nil)
	if err == nil {
		o.status, o.seal, o.echo = response.StatusCode, response.Header.Get("Seal") != "", response.Header.Get("Try")
		var text []byte
		text, err = io.ReadAll(response.Body)
		o.body, o.truncated = string(text), err != nil
		if response.Close {
			defer m.close()
		}
	} else {
		o.noResponse = true
	}
	close(received)
	o.disconnected = <-watchResult
	o.extraBytes = last && !o.disconnected && m.reader.Buffered() > 0
}
