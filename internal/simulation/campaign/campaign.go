// Package campaign runs many independent simulations on several processors.
package campaign

import (
	"sync"

	"myrtlewinch/internal/threads"
)

// Run runs a number of simulations, at most workers of them at the same time.
// It passes each result to report, one at a time, in the order in which the
// simulations end; with one worker that is the order of their indices. It
// returns once all results are reported.
func Run[Result any](count, workers int, simulate func(index int) Result, report func(index int, result Result)) {
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, workers)
	for index := range count {
		slots <- struct{}{}
		running.Add(1)
		threads.Go(func() {
			defer running.Done()
			defer func() { <-slots }()
			result := simulate(index)
			mu.Lock()
			defer mu.Unlock()
			report(index, result)
		})
	}
	running.Wait()
}
