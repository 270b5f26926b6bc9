// Package threads is the only package that starts goroutines. The tasks of a process belong
// to a group, so that all of them end when one does.
package threads

import (
	"context"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/run"
)

// Group is the set of tasks of one process. When one task returns, the others are stopped.
type Group struct{ group run.Group }

// Add adds a task that runs until stop is called. stop is called at most once.
func (g *Group) Add(task func() error, stop func()) {
	var once sync.Once
	g.group.Add(task, func(error) { once.Do(stop) })
}

// Every adds a task that calls tick once per interval.
func (g *Group) Every(intervalMs int64, tick func()) {
	stopped := make(chan struct{})
	g.Add(func() error {
		ticker := time.NewTicker(time.Duration(intervalMs) * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return nil
			case <-ticker.C:
				tick()
			}
		}
	}, func() { close(stopped) })
}

// StopOnSignal adds a task that ends the group on SIGTERM or SIGINT. Before that it calls
// shutdown, if not nil, in which the process can transfer its roles to other daemons.
func (g *Group) StopOnSignal(shutdown func()) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		<-signalled.Done()
		isSignal := ctx.Err() == nil
		if isSignal && shutdown != nil {
			shutdown()
		}
		return nil
	}, cancel)
}

// StopWhen adds a task that ends the group when done is closed.
func (g *Group) StopWhen(done <-chan struct{}) {
	stopped := make(chan struct{})
	g.Add(func() error {
		select {
		case <-done:
		case <-stopped:
		}
		return nil
	}, func() { close(stopped) })
}

// Run starts all tasks, waits until all have ended, and returns the error of the first that
// ended.
func (g *Group) Run() error { return g.group.Run() }

// Go starts a goroutine outside any group, such as one for a connection. The caller must
// bound the number of them.
func Go(task func()) { go task() }
