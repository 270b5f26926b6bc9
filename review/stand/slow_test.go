package stand

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	slowClients = 10
	slowBytes   = 4_000_000
	// slowTime is how long a slow client takes for its body.
	slowTime = 12 * time.Second
	// slowDeadlineMs is the deadline of the site's batches.
	slowDeadlineMs = 20_000
	// deniedAllowed is what DENIED allows of so few requests.
	deniedAllowed = 5
)

// pacedReader gives a body out evenly over a time.
type pacedReader struct {
	from  *bytes.Reader
	size  int64
	began time.Time
	over  time.Duration
}

// Read reads what is due.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	if p.began.IsZero() {
		p.began = time.Now()
	}
	for p.over > 0 {
		due := int64(float64(p.size) * float64(time.Since(p.began)) / float64(p.over))
		if sent := p.size - int64(p.from.Len()); sent < due || sent == p.size {
			return p.from.Read(buffer[:min(len(buffer), int(max(1, min(due, p.size)-sent)))])
		}
		time.Sleep(20 * time.Millisecond)
	}
	return p.from.Read(buffer)
}

// runSlow lets clients with a thin link send large bodies in time.
func runSlow(s *site, trouble bool) (verdict, error) {
	over := time.Duration(0)
	if trouble {
		over = slowTime
	}
	var mu sync.Mutex
	denied, served := 0, 0
	var clients sync.WaitGroup
	for i := range slowClients {
		clients.Go(func() {
			router := s.routers[i%len(s.routers)]
			body := &pacedReader{from: bytes.NewReader(make([]byte, slowBytes)), size: slowBytes, over: over}
			a := newClient().try(s.front(router), tryOptions{path: longPath + "2f", body: io.Reader(body), length: slowBytes, timeLeftMs: slowDeadlineMs})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200:
				served++
			case a.status/100 == 3 || a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429:
				denied++
			}
			s.record.addf("%s at %s: status %d, body %.80q, error %v, after %d ms", a.id, router.name, a.status, a.body, a.err, a.tookMs)
		})
	}
	clients.Wait()
	return verdict{denied > deniedAllowed, fmt.Sprintf("%d of %d requests were denied, %d served", denied, slowClients, served)}, nil
}
