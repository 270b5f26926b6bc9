package process

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

// Door is where peers' messages come in.
type Door struct{ shell *Runtime }

// Take puts a batch before the machine.
func (d *Door) Take(batch []protocol.Envelope, _ *Ack) error {
	for _, e := range batch {
		if e.Site != d.shell.set.Site {
			d.shell.Count("other site")
			return errors.New("other site")
		}
		if e.Body == nil {
			d.shell.Count("malformed")
			continue
		}
		d.shell.Submit(e)
	}
	return nil
}

// doorway listens for peers.
type doorway struct {
	listener net.Listener
	mu       sync.Mutex
	streams  map[net.Conn]bool
	closed   bool
}

const streamsMost = 1024

func (s *Runtime) listen() error {
	server := rpc.NewServer()
	if err := server.RegisterName("Door", &Door{s}); err != nil {
		return err
	}
	for {
		stream, err := s.doorway.listener.Accept()
		if err != nil {
			if s.doorway.isClosed() {
				return nil
			}
			return err
		}
		if !s.doorway.add(stream) {
			_ = stream.Close()
			s.Count("streams too many")
			continue
		}
		threads.Go(func() {
			codec := protocol.NewServerCodec(stream)
			server.ServeCodec(codec)
			if codec.Fault != nil {
				s.Count("malformed")
			}
			s.doorway.remove(stream)
		})
	}
}

func (d *doorway) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

func (d *doorway) add(stream net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.streams) >= streamsMost {
		return false
	}
	d.streams[stream] = true
	return true
}

func (d *doorway) remove(stream net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, stream)
	_ = stream.Close()
}

func (d *doorway) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	_ = d.listener.Close()
	for stream := range d.streams {
		_ = stream.Close()
	}
}
