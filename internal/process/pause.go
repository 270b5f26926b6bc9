package process

import "sync"

// pauseSwitch lets the goroutines of a process hang where they are, as on a
// machine that freezes.
type pauseSwitch struct {
	mu sync.Mutex
	// released is closed at the end of the pause; nil while there is none.
	released chan struct{}
}

// wait returns at once, or at the end of the pause that is on.
func (p *pauseSwitch) wait() {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	if released != nil {
		<-released
	}
}

// begin starts a pause; release ends it.
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
