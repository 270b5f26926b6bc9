package transport

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

// testServer runs a server of site s. The channels receive the messages that it delivers
// and the names of the counters that it increments.
func testServer(c *qt.C) (address string, delivered chan protocol.Envelope, counted chan string) {
	c.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	delivered, counted = make(chan protocol.Envelope, 16), make(chan string, 16)
	server := NewServer(ServerOptions{
		Site: "s", Listener: listener, Account: memory.NewAccount(memory.LimitFor(0)), MaxConnections: 100,
		Deliver: func(envelope protocol.Envelope) { delivered <- envelope },
		Count:   func(name string) { counted <- name },
	})
	ended := make(chan error, 1)
	threads.Go(func() { ended <- server.Serve() })
	c.Cleanup(func() {
		server.Close()
		c.Assert(<-ended, qt.IsNil)
	})
	return listener.Addr().String(), delivered, counted
}

// A batch is delivered in order, without envelopes that have no body. A batch from another
// site is rejected.
func TestServerDeliversBatchesOfItsSite(t *testing.T) {
	message := func(site string, epoch uint64) protocol.Envelope {
		return protocol.Envelope{Site: site, To: "core-1", Body: protocol.Heartbeat{Epoch: epoch}}
	}
	for _, test := range []struct {
		name     string
		batch    []protocol.Envelope
		want     []protocol.Envelope
		counted  string
		rejected string
	}{
		{"in order", []protocol.Envelope{message("s", 1), message("s", 2)}, []protocol.Envelope{message("s", 1), message("s", 2)}, "", ""},
		{"no body", []protocol.Envelope{{Site: "s"}, message("s", 2)}, []protocol.Envelope{message("s", 2)}, "malformed", ""},
		{"another site", []protocol.Envelope{message("x", 1), message("s", 2)}, nil, "other site", "other site"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, delivered, counted := testServer(c)
			peer := peerConnection{address: address}
			defer peer.close()
			err := peer.send(test.batch)
			if test.rejected == "" {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.ErrorMatches, test.rejected)
			}
			c.Assert(delivered, qt.HasLen, len(test.want))
			for _, want := range test.want {
				c.Assert(<-delivered, qt.DeepEquals, want)
			}
			if test.counted != "" {
				c.Assert(<-counted, qt.Equals, test.counted)
			}
			c.Assert(counted, qt.HasLen, 0)
		})
	}
}

// A connection on which malformed bytes arrive is counted and closed.
func TestServerClosesAConnectionWithAMalformedFrame(t *testing.T) {
	for _, test := range []struct {
		name  string
		bytes []byte
	}{
		{"too large", []byte{0xff, 0xff, 0xff, 0xff}},
		{"not gob-encoded", []byte{0, 0, 0, 3, 1, 2, 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _, counted := testServer(c)
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(test.bytes)
			c.Assert(err, qt.IsNil)
			c.Assert(<-counted, qt.Equals, "malformed")
			_, err = conn.Read(make([]byte, 1))
			c.Assert(err, qt.IsNotNil)
		})
	}
}

// After a failed attempt to connect, a peer is not dialled again immediately.
func TestUnreachablePeerIsNotRedialledAtOnce(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	peer := peerConnection{address: listener.Addr().String()}
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(peer.send(nil), qt.ErrorMatches, "connecting to peer .* failed: .*refused")
	peer.redialAt = time.Now().Add(time.Hour)
	c.Assert(peer.send(nil), qt.Equals, errRecentlyUnreachable)
}
