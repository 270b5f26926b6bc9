package stand

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	// uploaders is how many clients send at once; the small site has 63.
	uploaders = 150
	// uploadBytes is max_body_bytes of the configuration.
	uploadBytes = 4_194_304
	// uploadRounds is how often they do.
	uploadRounds = 4
	// memoryCheck is how often the platform looks at the memory of processes.
	memoryCheck = 20 * time.Millisecond
	// endsAllowed is the number of ends by themselves that the rule counts.
	endsAllowed = 3
)

// watchMemory kills processes that go over their memory, as the platform does, until
// done is closed.
func (s *site) watchMemory(done <-chan struct{}) {
	peaks := map[string]int{}
	for {
		select {
		case <-done:
			s.record.addf("peaks in MB: %v", peaks)
			return
		case <-time.After(memoryCheck):
		}
		for _, router := range s.routers {
			mb := router.anonymousMb()
			peaks[router.name] = max(peaks[router.name], mb)
			if mb > router.memoryMb {
				router.mu.Lock()
				router.ends++
				router.mu.Unlock()
				s.record.addf("%s takes %d MB of %d: killed", router.name, mb, router.memoryMb)
				router.signal(syscall.SIGKILL)
				time.Sleep(2 * memoryCheck)
			}
		}
	}
}

// runChunks lets all clients send a body of max_body_bytes at once, in chunks; without
// the disruption with a length.
func runChunks(s *site, trouble bool) (verdict, error) {
	for _, r := range s.runners {
		r.workMs.Store(1000)
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { s.watchMemory(done) })
	for round := range uploadRounds {
		counts := s.uploadRound(trouble)
		s.record.addf("round %d: %v", round+1, counts)
		for _, router := range s.routers {
			if !s.waitReady(router, 10*time.Second) {
				return verdict{}, fmt.Errorf("%s did not come back", router.name)
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(done)
	watching.Wait()
	bad := 0
	for _, router := range s.routers {
		if router.ends >= endsAllowed {
			bad++
		}
		s.record.addf("%s ended %d times over its memory", router.name, router.ends)
	}
	return verdict{bad >= 2, fmt.Sprintf("%d routers ended by themselves %d times or more", bad, endsAllowed)}, nil
}

// uploadRound makes one request of each client and counts the outcomes.
func (s *site) uploadRound(chunked bool) map[string]int {
	counts := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	payload := bytes.Repeat([]byte("herbarium"), uploadBytes/9)
	for i := range uploaders {
		clients.Go(func() {
			router := s.routers[i%len(s.routers)]
			options := tryOptions{path: longPath + "2f", body: bytes.NewReader(payload), length: int64(len(payload)), timeLeftMs: 15_000}
			if chunked {
				options.body, options.length = io.MultiReader(options.body), -1
			}
			a := newClient().try(s.front(router), options)
			mu.Lock()
			defer mu.Unlock()
			outcome := fmt.Sprintf("status %d", a.status)
			if a.err != nil {
				outcome = "no answer"
			}
			counts[outcome]++
			s.record.addf("%s at %s: %s after %d ms", a.id, router.name, outcome, a.tookMs)
		})
	}
	clients.Wait()
	return counts
}
