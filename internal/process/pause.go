package process

import "sync"

// halt lets a daemon's threads stand still where they are, as a machine that
// freezes does, for trying what comes of it once they go on.
type halt struct {
	mu    sync.Mutex
	until chan struct{}
}

// wait passes at once unless the daemon is halted.
func (h *halt) wait() {
	h.mu.Lock()
	until := h.until
	h.mu.Unlock()
	if until != nil {
		<-until
	}
}

// begin halts; what it gives lets go again.
func (h *halt) begin() (release func()) {
	until := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = until
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.until = nil
		close(until)
	}
}
