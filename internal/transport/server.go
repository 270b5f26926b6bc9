package transport

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

const (
	// serviceName is the name of the RPC service on the wire. batchMethod is the name of its
	// method Take.
	serviceName = "Door"
	batchMethod = serviceName + ".Take"
	// maxConnections bounds the connections accepted from peers.
	maxConnections = 1024
)

// errWrongSite rejects a batch from another site.
var errWrongSite = errors.New(string(errkind.WrongSite))

// Ack acknowledges a batch. It has no fields: it only shows that the batch reached the
// memory of the receiver. The effects of its messages are acknowledged by messages of their
// own.
type Ack struct{}

// ServerOptions are the options of a Server.
type ServerOptions struct {
	// Site is the name of the site; batches from other sites are rejected.
	Site string
	// Listener accepts connections from peers. The Server closes it.
	Listener net.Listener
	// Deliver is called with each message, in order for each connection. It must not
	// block. Count adds one to a named counter.
	Deliver func(protocol.Envelope)
	Count   func(name string)
	// Account is the process's account of memory.
	Account *memory.Account
}

// Server receives messages from peers.
type Server struct {
	options ServerOptions

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// NewServer returns a server. It accepts no connections before Serve is called.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, connections: map[net.Conn]bool{}}
}

// Serve accepts connections until Close is called.
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
			// Counts connections closed because there are maxConnections already.
			s.options.Count("streams too many")
			continue
		}
		threads.Go(func() { s.serveConnection(handler, conn) })
	}
}

// serveConnection handles the calls of one connection, one after another, until it ends. A
// peer that does not read the acknowledgements of its calls so holds up only itself.
func (s *Server) serveConnection(handler *rpc.Server, conn net.Conn) {
	defer s.remove(conn)
	limited := newLimitedConn(conn, s.options.Account)
	defer limited.reservation.Close()
	codec := newLimitedServerCodec(limited)
	for handler.ServeRequest(codec) == nil {
		continue
	}
	if codec.ReadErr != nil {
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

// add registers a connection. It returns false if the server is closed or has too many.
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

// batchService is the RPC service that peers call.
type batchService struct{ options ServerOptions }

// Take delivers the messages of a batch. net/rpc puts its name on the wire.
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
