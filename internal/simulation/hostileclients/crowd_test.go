//go:build processtest

package hostileclients

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// crowdDialTimeout bounds the wait for a connection. A daemon may leave it unanswered.
	crowdDialTimeout = 3 * time.Second
	// crowdWriteTimeout bounds what one client sends. A daemon may stop reading.
	crowdWriteTimeout = 12 * time.Second
	// crowdHold is how long the clients stay silent on their open connections before the
	// ordinary request is made.
	crowdHold = 2 * time.Second
	// crowdDialers is how many clients connect at the same time.
	crowdDialers = 64
)

// crowd is a number of clients of one address. Their connections stay open until the end of
// the test.
type crowd struct {
	mu          sync.Mutex
	connections []net.Conn
}

// sendAll lets count clients connect to an address. Each calls send, which writes until it is
// done or gets an error, and then stays silent.
func sendAll(t *testing.T, address string, count int, send func(client *bufio.Writer, number int) error) *crowd {
	t.Helper()
	all := &crowd{}
	t.Cleanup(all.close)
	var clients sync.WaitGroup
	dialers := make(chan struct{}, crowdDialers)
	for number := range count {
		clients.Go(func() {
			dialers <- struct{}{}
			connection, err := net.DialTimeout("tcp", address, crowdDialTimeout)
			<-dialers
			if err != nil {
				return
			}
			all.add(connection)
			_ = connection.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			writer := bufio.NewWriterSize(connection, 64<<10)
			if send(writer, number) == nil {
				_ = writer.Flush()
			}
		})
	}
	clients.Wait()
	time.Sleep(crowdHold)
	return all
}

func (a *crowd) add(connection net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connections = append(a.connections, connection)
}

func (a *crowd) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, connection := range a.connections {
		_ = connection.Close()
	}
}
