package proxy

import "sync"

const (
	// If a runner cannot be reached and has sent nothing for runnerUnresponsiveMs, the
	// attempts there are cancelled. A runner that lost power or its network does not
	// close its connections itself.
	runnerUnresponsiveMs = 500
	// maxTrackedRunners limits the number of tracked runners. When it is reached, the
	// state of all of them is dropped.
	maxTrackedRunners = 4096
)

// attemptTracker records when each runner last sent bytes, and the attempts there that
// may be retried at another runner. It is safe for concurrent use; its zero value is
// ready to use.
type attemptTracker struct {
	mu      sync.Mutex
	runners map[string]*trackedRunner
}

// trackedRunner is the state of one runner.
type trackedRunner struct {
	lastReceivedMs int64
	// active are the retryable attempts in flight, by request ID.
	active map[uint64]*activeAttempt
}

// activeAttempt is an attempt in flight that may be retried at another runner.
type activeAttempt struct {
	startMs int64
	cancel  func()
}

// start tracks an attempt, which can be ended by calling cancel. The caller calls done
// when the attempt has ended.
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

// received records that a runner sent bytes.
func (t *attemptTracker) received(nowMs int64, runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(runner).lastReceivedMs = nowMs
}

// cancelUnresponsive is called when a runner could not be reached. If the runner has sent
// nothing for runnerUnresponsiveMs, it cancels the attempts there that started at least
// that long ago, and returns how many.
func (t *attemptTracker) cancelUnresponsive(nowMs int64, runner string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.stateOf(runner)
	if nowMs-tracked.lastReceivedMs < runnerUnresponsiveMs {
		return 0
	}
	cancelled := 0
	for _, attempt := range tracked.active {
		if nowMs-attempt.startMs >= runnerUnresponsiveMs {
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
