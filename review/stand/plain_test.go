package stand

import (
	"fmt"
	"strings"
	"time"
)

// plainRequests is how many requests of each of two kinds are sent.
const plainRequests = 40

// kindCount counts what became of the requests of one kind.
type kindCount struct{ sent, ran, served int }

// runPlain lets the runners answer one kind of requests without a length.
func runPlain(s *site, trouble bool) (verdict, error) {
	for _, r := range s.runners {
		r.withoutLength.Store(trouble)
	}
	kinds := map[string]*kindCount{safePath: {}, oncePath: {}}
	c := newClient()
	for i := range 2 * plainRequests {
		path := oncePath
		if i%2 == 0 {
			path = safePath
		}
		router := s.routers[i/2%len(s.routers)]
		a := c.try(s.front(router), tryOptions{path: path + "2f", body: strings.NewReader("move"), length: 4, timeLeftMs: 2500})
		runs := s.runsOf(a.id)
		kinds[path].add(runs, a)
		s.record.addf("%s %s at %s: status %d, seal %q, body %.60q, ran %d times", a.id, path, router.name, a.status, a.seal, a.body, runs)
		time.Sleep(50 * time.Millisecond)
	}
	once, safe := *kinds[oncePath], *kinds[safePath]
	// The shares of one kind and of all requests that were served.
	share := float64(once.served) / float64(once.sent)
	all := float64(once.served+safe.served) / float64(once.sent+safe.sent)
	reason := fmt.Sprintf("of %d unsafe requests %d ran and %d were served; of %d safe ones %d were served",
		once.sent, once.ran, once.served, safe.sent, safe.served)
	return verdict{4*share < all, reason}, nil
}

func (k *kindCount) add(runs int, a answer) {
	k.sent++
	if runs > 0 {
		k.ran++
	}
	if a.status == 200 && a.seal != "" {
		k.served++
	}
}

// runsOf returns how often a request ran at any runner.
func (s *site) runsOf(id string) int {
	runs := 0
	for _, r := range s.runners {
		runs += r.runsOf(id)
	}
	return runs
}
