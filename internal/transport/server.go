package transport

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

const (
	// serviceName is the name of the service on the wire. With the name of its
	// method Take it makes batchMethod.
	serviceName = "Door"
	batchMethod = serviceName + ".Take"
	// maxConnections bounds the connections that peers have opened.
	maxConnections = 1024
)

// errWrongSite refuses a batch of another site.
var errWrongSite = errors.New(string(errkind.WrongSite))

// Ack acknowledges a batch. It carries nothing: the batch is in the receiver's
// memory, and its effects are acknowledged by messages of their own.
type Ack struct{}

// ServerOptions is what a Server needs.
type ServerOptions struct {
	// Site is the name of the site; batches of other sites are refused.
	Site string
	// Listener accepts the connections of peers. The Server closes it.
	Listener net.Listener
	// Deliver takes each message, in the order of its connection. It must not
	// block. Count adds one to a named counter.
	Deliver func(protocol.Envelope)
	Count   func(name string)
}

// Server receives messages from peers.
type Server struct {
	options ServerOptions

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// NewServer makes a server; nothing is accepted before Serve.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, connections: map[net.Conn]bool{}}
}

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	handler := rpc.NewServer()
	if err := handler.RegisterName(serviceName, &batchService{s.options}); err != nil {
		return err
	}
	for {
		conn, err := s.options.Listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
		}
		if !s.add(conn) {
			_ = conn.Close()
			s.options.Count("streams too many")
			continue
		}
		threads.Go(func() { s.serveConnection(handler, conn) })
	}
}

// serveConnection handles the batches of one connection until it ends.
func (s *Server) serveConnection(handler *rpc.Server, conn net.Conn) {
	defer s.remove(conn)
	codec := NewServerCodec(conn)
	handler.ServeCodec(codec)
	if codec.Fault != nil {
		s.options.Count(string(errkind.Malformed))
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.options.Listener.Close()
	for conn := range s.connections {
		_ = conn.Close()
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// add notes a connection; false means that it may not be served.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.connections) >= maxConnections {
		return false
	}
	s.connections[conn] = true
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
	_ = conn.Close()
}

// batchService is the one service that peers call.
type batchService struct{ options ServerOptions }

// Take delivers a batch. Its name is part of the wire format, by net/rpc.
func (b *batchService) Take(batch []protocol.Envelope, _ *Ack) error {
	for _, envelope := range batch {
		if envelope.Site != b.options.Site {
			b.options.Count(string(errkind.WrongSite))
			return errWrongSite
		}
		if envelope.Body == nil {
			b.options.Count(string(errkind.Malformed))
			continue
		}
		b.options.Deliver(envelope)
	}
	return nil
}
