package transport

import (
	"container/list"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/listener"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

const (
	// serviceName is the name of the RPC service on the wire. batchMethod is the name of its
	// method Take.
	serviceName = "Door"
	batchMethod = serviceName + ".Take"
	// connectionBytes is the memory of a connection: its goroutine and buffers, and the bytes
	// that have arrived and are not read yet.
	connectionBytes = 16<<10 + listener.PeerBufferBytes
	// acceptRetryDelay is the pause after a connection could not be accepted, for example
	// because the process has too many open files.
	acceptRetryDelay = 20 * time.Millisecond
)

// Names of counters; docs/operators.md explains them.
const (
	// Connections that were rejected, or closed in favour of newer ones, because of the limit
	// of connections.
	countTooManyConnections = "streams too many"
	// Connections that could not be accepted.
	countAcceptFailed = "streams not accepted"
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
	// Account is the process's account of memory. MaxConnections bounds the connections.
	Account        *memory.Account
	MaxConnections int
}

// Server receives messages from peers.
type Server struct {
	options ServerOptions

	mu          sync.Mutex
	connections map[net.Conn]*list.Element
	// silent lists the connections, the one whose last message is oldest first.
	silent list.List
	closed bool
}

// NewServer returns a server. It accepts no connections before Serve is called.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, connections: map[net.Conn]*list.Element{}}
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() error {
	handler := rpc.NewServer()
	if err := handler.RegisterName(serviceName, &batchService{s.options}); err != nil {
		return err
	}
	for {
		conn, err := s.options.Listener.Accept()
		switch {
		case err == nil:
			s.serve(handler, conn)
		case s.isClosed():
			return nil
		case !isTemporary(err):
			return err
		default:
			s.options.Count(countAcceptFailed)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// isTemporary reports whether a later connection may be accepted after this error.
func isTemporary(err error) bool {
	for _, temporary := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
	} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// serve handles the calls of a connection in its own goroutine, if there is room for it.
func (s *Server) serve(handler *rpc.Server, conn net.Conn) {
	if !s.add(conn) {
		_ = conn.Close()
		s.options.Count(countTooManyConnections)
		return
	}
	threads.Go(func() { s.serveConnection(handler, conn) })
}

// serveConnection handles the calls of one connection, one after another, until it ends. A
// peer that does not read the acknowledgements of its calls so holds up only itself.
func (s *Server) serveConnection(handler *rpc.Server, conn net.Conn) {
	defer s.remove(conn)
	limited := newLimitedConn(conn, s.options.Account)
	defer limited.reservation.Close()
	codec := newLimitedServerCodec(limited)
	for handler.ServeRequest(codec) == nil {
		s.messageReceived(conn)
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

// add registers a connection. If there are too many, it closes the one whose last message is
// oldest. It returns false if the server is closed, or if there is no memory.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	for len(s.connections) >= s.options.MaxConnections || !s.options.Account.Take(memory.Messages, connectionBytes) {
		oldest := s.silent.Front()
		if oldest == nil {
			return false
		}
		s.options.Count(countTooManyConnections)
		s.removeLocked(oldest.Value.(net.Conn))
	}
	s.connections[conn] = s.silent.PushBack(conn)
	return true
}

// messageReceived records that a connection has delivered a message.
func (s *Server) messageReceived(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element := s.connections[conn]; element != nil {
		s.silent.MoveToBack(element)
	}
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(conn)
}

// removeLocked closes and removes a connection. The caller holds mu.
func (s *Server) removeLocked(conn net.Conn) {
	_ = conn.Close()
	element := s.connections[conn]
	if element == nil {
		return
	}
	s.silent.Remove(element)
	delete(s.connections, conn)
	s.options.Account.Release(memory.Messages, connectionBytes)
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
