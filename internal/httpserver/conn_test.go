package httpserver

import (
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/memory"
)

// stalledConn returns its bytes only after its deadline has passed, like a connection whose
// reader was stalled.
type stalledConn struct {
	net.Conn
	text  string
	reads int
}

// newTestConnections returns connections with room for all.
func newTestConnections(limits func() Limits) *Connections {
	return NewConnections(Options{Limits: limits, Account: memory.NewAccount(memory.LimitFor(0)), MaxConnections: 100})
}

func (f *stalledConn) SetReadDeadline(time.Time) error { return nil }

func (f *stalledConn) Read(p []byte) (int, error) {
	if f.reads++; f.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, f.text), nil
}

func TestBytesThatArrivedDuringAStallAreRead(t *testing.T) {
	c := qt.New(t)
	connections := newTestConnections(func() Limits { return Limits{IdleTimeout: time.Second, HeadTimeout: time.Second} })
	connection := connections.add(&stalledConn{text: "GET"})
	buffer := make([]byte, 8)
	n, err := connection.Read(buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buffer[:n]), qt.Equals, "GET")
	c.Assert(connection.phase, qt.Equals, phaseReadingHead)
}

func TestDeadlineOfEachPhase(t *testing.T) {
	limits := Limits{IdleTimeout: 20 * time.Second, HeadTimeout: 5 * time.Second, FirstRequestTimeout: 2 * time.Second}
	since := time.Unix(1000, 0)
	for _, test := range []struct {
		about           string
		phase           phase
		served, closing bool
		first           time.Duration
		want            time.Duration
	}{
		{"first request", phaseIdle, false, false, 2 * time.Second, 2 * time.Second},
		{"first request without a limit of its own", phaseIdle, false, false, 0, 20 * time.Second},
		{"first request while connections are being closed", phaseIdle, false, true, 2 * time.Second, 2 * time.Second},
		{"further request", phaseIdle, true, false, 2 * time.Second, 20 * time.Second},
		{"further request while connections are being closed", phaseIdle, true, true, 2 * time.Second, 0},
		{"rest of a head", phaseReadingHead, true, true, 2 * time.Second, 5 * time.Second},
	} {
		t.Run(test.about, func(t *testing.T) {
			limits.FirstRequestTimeout = test.first
			connections := newTestConnections(func() Limits { return limits })
			connection := connections.add(&stalledConn{})
			connection.phase, connection.served, connection.closing = test.phase, test.served, test.closing
			connection.since = since
			qt.Assert(t, connection.deadline().Sub(since), qt.Equals, test.want)
		})
	}
}
