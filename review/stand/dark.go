package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	darkTime = 4500 * time.Millisecond
	// darkGiveUpMs is the route's give_up_ms, darkLeftMs how long clients wait.
	darkGiveUpMs, darkLeftMs = 2500, 8000
	// darkWorkMs is how long a request takes otherwise.
	darkWorkMs   = 500
	darkRequests = 1000
	darkPause    = 10 * time.Millisecond
	// lateMs is how long after give_up_ms there must be a final answer.
	lateMs = 500
	// unansweredAllowed is from how many on the rule counts.
	unansweredAllowed = 8
)

// runDark lets one of five runners go dark while requests are sent.
func runDark(s *site, trouble bool) (verdict, error) {
	for _, r := range s.runners {
		r.workMs.Store(darkWorkMs)
	}
	var mu sync.Mutex
	past, late, served := 0, 0, 0
	var clients sync.WaitGroup
	c := newClient()
	for i := range darkRequests {
		if i == darkRequests/4 && trouble {
			s.record.addf("%s goes dark", s.runners[0].id)
			s.runners[0].dark.Store(true)
			time.AfterFunc(darkTime, func() {
				s.runners[0].dark.Store(false)
				s.record.addf("%s is back", s.runners[0].id)
			})
		}
		clients.Go(func() {
			router := s.routers[i%len(s.routers)]
			a := c.try(s.front(router), tryOptions{path: oncePath + "2f", body: strings.NewReader("move"), length: 4, timeLeftMs: darkLeftMs})
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				served++
			}
			if a.tookMs > darkGiveUpMs {
				past++
			}
			if a.tookMs > darkGiveUpMs+lateMs {
				late++
			}
			if a.status != 200 || a.tookMs > darkGiveUpMs {
				s.record.addf("%s at %s: status %d, error %v, after %d ms", a.id, router.name, a.status, a.err, a.tookMs)
			}
		})
		time.Sleep(darkPause)
	}
	clients.Wait()
	broken := late >= unansweredAllowed && 4*late > past
	return verdict{broken, fmt.Sprintf("%d of %d served; %d unanswered at give_up_ms, %d of them %d ms later", served, darkRequests, past, late, lateMs)}, nil
}
