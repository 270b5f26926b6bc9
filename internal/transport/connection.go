package transport

import (
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
)

var (
	// errRecentlyUnreachable means that the last attempt to connect failed and the next
	// one is not due yet.
	errRecentlyUnreachable = errors.New("not connected: the last attempt to connect failed and the next one is not due yet")
	// errCallTimeout means that a batch was not acknowledged before the timeout.
	errCallTimeout = errors.New("the call to the peer timed out")
)

// peerConnection is the connection to one peer, opened on first use. It must be used by
// one goroutine only.
type peerConnection struct {
	address string
	// client is nil while there is no connection.
	client *rpcClient
	// redialAt is when the next attempt to connect may be made.
	redialAt time.Time
}

// send sends a batch to the peer and waits for its acknowledgement. After an error it is
// unknown whether the batch arrived, and the connection is closed.
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

// connect opens the connection if there is none. After a failed attempt it does not dial
// again before redialAt, so that an unreachable peer is not dialled for each batch.
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
		return errors.Wrapf(err, "connecting to peer %s failed", p.address)
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

// rpcClient makes RPC calls with a timeout over one connection.
type rpcClient struct {
	conn   net.Conn
	client *rpc.Client
}

func newRPCClient(conn net.Conn) *rpcClient {
	return &rpcClient{conn: conn, client: rpc.NewClientWithCodec(NewClientCodec(conn))}
}

func (c *rpcClient) close() { _ = c.client.Close() }

// call sends a batch and waits for its acknowledgement. The write has a deadline as well:
// a peer that hangs accepts only as much as the socket buffers hold, and without the
// deadline the rest of a batch could reach it long afterwards, when it runs again.
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
