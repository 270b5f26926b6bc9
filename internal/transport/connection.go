package transport

import (
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
)

var (
	// errRecentlyUnreachable says that the last attempt to connect failed and
	// the next one is not due.
	errRecentlyUnreachable = errors.New("the peer was unreachable a moment ago")
	// errCallTimeout says that a batch was not acknowledged in time.
	errCallTimeout = errors.New("no answer in time")
)

// peerConnection is the connection to one peer, which is opened when it is
// needed. It belongs to one goroutine.
type peerConnection struct {
	address string
	// client is nil while there is no connection.
	client *rpcClient
	// redialAt is when the next attempt to connect may be made.
	redialAt time.Time
}

// send brings a batch to the peer and waits for its acknowledgement. After an
// error it is unknown whether the batch arrived; the connection is closed.
func (p *peerConnection) send(batch []protocol.Envelope) error {
	if err := p.connect(); err != nil {
		return err
	}
	err := p.client.call(batch, callTimeout(batch))
	if err != nil {
		p.close()
	}
	return err
}

// connect opens the connection where there is none. A peer that could not be
// reached is not dialled for each batch.
func (p *peerConnection) connect() error {
	if p.client != nil {
		return nil
	}
	if time.Now().Before(p.redialAt) {
		return errRecentlyUnreachable
	}
	conn, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err != nil {
		p.redialAt = time.Now().Add(redialDelay)
		return errors.Wrapf(err, "peer %s", p.address)
	}
	p.client = newRPCClient(conn)
	return nil
}

func (p *peerConnection) close() {
	if p.client != nil {
		p.client.close()
		p.client = nil
	}
}

// rpcClient makes calls with a time-out over one connection.
type rpcClient struct {
	conn   net.Conn
	client *rpc.Client
}

func newRPCClient(conn net.Conn) *rpcClient {
	return &rpcClient{conn: conn, client: rpc.NewClientWithCodec(NewClientCodec(conn))}
}

func (c *rpcClient) close() { _ = c.client.Close() }

// call sends a batch and waits for its acknowledgement. The write has a deadline
// as well: a peer that hangs accepts no more than the buffers on the way hold,
// and without one a batch could reach it long after it has woken.
func (c *rpcClient) call(batch []protocol.Envelope, timeout time.Duration) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	done := c.client.Go(batchMethod, batch, &Ack{}, make(chan *rpc.Call, 1)).Done
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case ended := <-done:
		return ended.Error
	case <-timer.C:
		return errCallTimeout
	}
}
