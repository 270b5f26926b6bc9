// Package threads is the one place that starts goroutines: a thread per duty,
// gathered in an oklog/run group so that all end when one does.
package threads

import (
	"context"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/run"
)

// Group gathers the duties of one process.
type Group struct{ group run.Group }

// Add adds a thread that works until stop is called.
func (c *Group) Add(work func() error, stop func()) {
	var once sync.Once
	c.group.Add(work, func(error) { once.Do(stop) })
}

// Every adds a thread that calls beat at each interval.
func (c *Group) Every(everyMs int64, beat func()) {
	done := make(chan struct{})
	c.Add(func() error {
		ticker := time.NewTicker(time.Duration(everyMs) * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return nil
			case <-ticker.C:
				beat()
			}
		}
	}, func() { close(done) })
}

// StopOnSignal adds the thread that ends the crew on SIGTERM or SIGINT. Leave is
// called first, so that a planned stop can hand work back.
func (c *Group) StopOnSignal(leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c.Add(func() error {
		noted, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		<-noted.Done()
		if ctx.Err() == nil && leave != nil {
			leave()
		}
		return nil
	}, cancel)
}

// StopWhen adds a thread that ends the crew when done is closed.
func (c *Group) StopWhen(done <-chan struct{}) {
	stop := make(chan struct{})
	c.Add(func() error {
		select {
		case <-done:
		case <-stop:
		}
		return nil
	}, func() { close(stop) })
}

// Run starts all duties and waits until all have ended.
func (c *Group) Run() error { return c.group.Run() }

// Go starts one short errand beside the duties, such as a call outward.
// The caller bounds how many run at once.
func Go(errand func()) { go errand() }
