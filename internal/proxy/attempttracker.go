package proxy

import "sync"

const (
	// runnerSilentMs is how long nothing must have come from a runner that
	// cannot be reached before the attempts there are cancelled. A runner that
	// lost power or its network ends no connection itself.
	runnerSilentMs = 500
	// maxTrackedRunners is the number of runners at which all are forgotten.
	maxTrackedRunners = 4096
)

// attemptTracker knows when bytes last came from each runner and which
// attempts there may be made elsewhere. It may be used from several
// goroutines; its zero value is ready.
type attemptTracker struct {
	mu      sync.Mutex
	runners map[string]*trackedRunner
}

// trackedRunner is the state of one runner.
type trackedRunner struct {
	lastReceivedMs int64
	// active are the retryable attempts under way, by request id.
	active map[uint64]*activeAttempt
}

// activeAttempt is an attempt under way that may be made elsewhere.
type activeAttempt struct {
	startMs int64
	cancel  func()
}

// start tracks an attempt that cancel ends; done forgets it.
func (t *attemptTracker) start(nowMs int64, runner string, id uint64, cancel func()) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.stateOf(runner)
	tracked.active[id] = &activeAttempt{nowMs, cancel}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(tracked.active, id)
	}
}

// received notes that bytes came from a runner.
func (t *attemptTracker) received(nowMs int64, runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(runner).lastReceivedMs = nowMs
}

// cancelSilent is called when a runner could not be reached. If nothing has
// come from it for runnerSilentMs it cancels the attempts there that are at
// least as old, and returns how many.
func (t *attemptTracker) cancelSilent(nowMs int64, runner string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.stateOf(runner)
	if nowMs-tracked.lastReceivedMs < runnerSilentMs {
		return 0
	}
	cancelled := 0
	for _, attempt := range tracked.active {
		if nowMs-attempt.startMs >= runnerSilentMs {
			attempt.cancel()
			cancelled++
		}
	}
	return cancelled
}

// stateOf returns the state of a runner, and creates it on first use. The
// caller holds the lock.
func (t *attemptTracker) stateOf(runner string) *trackedRunner {
	if t.runners == nil || len(t.runners) >= maxTrackedRunners {
		t.runners = map[string]*trackedRunner{}
	}
	tracked := t.runners[runner]
	if tracked == nil {
		tracked = &trackedRunner{active: map[uint64]*activeAttempt{}}
		t.runners[runner] = tracked
	}
	return tracked
}
