package proxy

import "sync"

const (
	// darkMs is how long nothing came from a runner that could not be reached
	// before its silent sends are given up; it says nothing itself when it has
	// lost power or is cut off.
	darkMs = 500
	// deafMost bounds the runners that are remembered.
	deafMost = 4096
)

// hearing notes when each runner was last heard of by any send of this router,
// and which sends may be made elsewhere.
type hearing struct {
	mu      sync.Mutex
	runners map[string]*heardOf
}

type heardOf struct {
	lastMs int64
	sends  map[uint64]*pending
}

// pending is a send under way that may run twice.
type pending struct {
	beganMs int64
	stop    func()
}

func (h *hearing) of(runner string) *heardOf {
	if h.runners == nil || len(h.runners) >= deafMost {
		h.runners = map[string]*heardOf{}
	}
	o := h.runners[runner]
	if o == nil {
		o = &heardOf{sends: map[uint64]*pending{}}
		h.runners[runner] = o
	}
	return o
}

// add notes a send that may be given up by stop; done forgets it.
func (h *hearing) add(nowMs int64, runner string, id uint64, stop func()) (done func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.of(runner)
	o.sends[id] = &pending{nowMs, stop}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(o.sends, id)
	}
}

// heard notes that something came from a runner.
func (h *hearing) heard(nowMs int64, runner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(runner).lastMs = nowMs
}

// unreached takes that a runner gave no answer to a call, and gives up the
// sends that have heard nothing from it for long; it tells how many.
func (h *hearing) unreached(nowMs int64, runner string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.of(runner)
	if nowMs-o.lastMs < darkMs {
		return 0
	}
	count := 0
	for _, p := range o.sends {
		if nowMs-p.beganMs >= darkMs {
			p.stop()
			count++
		}
	}
	return count
}
