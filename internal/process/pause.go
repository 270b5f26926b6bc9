package process

import "sync"

// pauseSwitch makes the goroutines that call wait hang, as on a host that freezes.
type pauseSwitch struct {
	mu sync.Mutex
	// released is closed at the end of the pause; nil if there is no pause.
	released chan struct{}
}

// wait returns immediately, or at the end of the current pause.
func (p *pauseSwitch) wait() {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	if released != nil {
		<-released
	}
}

// begin starts a pause, which lasts until release is called.
func (p *pauseSwitch) begin() (release func()) {
	released := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = released
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.released = nil
		close(released)
	}
}
