package proxy

import "sync"

const (
	// runnerSilentMs is how long nothing came from a runner that could not be reached
	// before its silent sends are given up; it says nothing itself when it has
	// lost power or is cut off.
	runnerSilentMs = 500
	// maxTrackedRunners bounds the runners that are remembered.
	maxTrackedRunners = 4096
)

// attemptTracker notes when each runner was last heard of by any send of this router,
// and which sends may be made elsewhere.
type attemptTracker struct {
	mu      sync.Mutex
	runners map[string]*runnerAttempts
}

type runnerAttempts struct {
	lastReceivedMs int64
	active         map[uint64]*cancelableAttempt
}

// cancelableAttempt is a send under way that may run twice.
type cancelableAttempt struct {
	startMs int64
	cancel  func()
}

func (h *attemptTracker) stateOf(runner string) *runnerAttempts {
	if h.runners == nil || len(h.runners) >= maxTrackedRunners {
		h.runners = map[string]*runnerAttempts{}
	}
	o := h.runners[runner]
	if o == nil {
		o = &runnerAttempts{active: map[uint64]*cancelableAttempt{}}
		h.runners[runner] = o
	}
	return o
}

// start notes a send that may be given up by stop; done forgets it.
func (h *attemptTracker) start(nowMs int64, runner string, id uint64, stop func()) (done func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.stateOf(runner)
	o.active[id] = &cancelableAttempt{nowMs, stop}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(o.active, id)
	}
}

// received notes that something came from a runner.
func (h *attemptTracker) received(nowMs int64, runner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stateOf(runner).lastReceivedMs = nowMs
}

// cancelSilent takes that a runner gave no answer to a call, and gives up the
// sends that have heard nothing from it for long; it tells how many.
func (h *attemptTracker) cancelSilent(nowMs int64, runner string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.stateOf(runner)
	if nowMs-o.lastReceivedMs < runnerSilentMs {
		return 0
	}
	count := 0
	for _, p := range o.active {
		if nowMs-p.startMs >= runnerSilentMs {
			p.cancel()
			count++
		}
	}
	return count
}
