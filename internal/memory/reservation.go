package memory

import (
	"container/list"
	"context"
	"time"
)

// waitInterval is the interval at which a reservation that waits for memory tries again.
const waitInterval = 25 * time.Millisecond

// Reservation is the memory of one body or response, which grows as its bytes arrive. While
// it is evictable and old, the account may evict it in favour of others.
type Reservation struct {
	account *Account
	// wait is not nil if Grow waits for memory until it is done.
	wait context.Context
	// openedAt is when the reservation became evictable. evict ends the work that the memory
	// is for; it must not block. Both are set before the reservation is listed.
	openedAt time.Time
	evict    func()

	// The fields below are protected by the account's mu.
	bytes   [classCount]int64
	element *list.Element
	evicted bool
}

// Open returns an empty reservation that is not evictable.
func (a *Account) Open() *Reservation { return &Reservation{account: a} }

// OpenWaiting is Open for a reservation whose Grow waits for memory until ctx is done.
func (a *Account) OpenWaiting(ctx context.Context) *Reservation {
	return &Reservation{account: a, wait: ctx}
}

// AllowEviction makes the reservation evictable from now on. evict is called at most once,
// from any goroutine, and the owner must then close the reservation.
func (r *Reservation) AllowEviction(evict func()) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.openedAt, r.evict = r.account.now(), evict
	r.element = r.account.evictable.PushBack(r)
}

// Grow takes more bytes for the reservation. It returns false if they do not fit.
func (r *Reservation) Grow(class Class, bytes int64) bool {
	for !r.account.Take(class, bytes) {
		if !r.mayWait(class, bytes) {
			return false
		}
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.bytes[class] += bytes
	return true
}

// mayWait waits for the next attempt to take bytes. It returns false if there is none.
func (r *Reservation) mayWait(class Class, bytes int64) bool {
	if r.wait == nil || bytes > r.account.ClassLimit(class) {
		return false
	}
	timer := time.NewTimer(waitInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.wait.Done():
		return false
	}
}

// Shrink returns bytes that Grow took for the class.
func (r *Reservation) Shrink(class Class, bytes int64) {
	r.account.mu.Lock()
	r.bytes[class] -= bytes
	r.account.mu.Unlock()
	r.account.Release(class, bytes)
}

// Keep makes the reservation no longer evictable. It returns false if it was evicted before.
func (r *Reservation) Keep() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.unlistLocked()
	return !r.evicted
}

// Evicted reports whether the account has evicted the reservation.
func (r *Reservation) Evicted() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.evicted
}

// Close returns all bytes. Further calls have no effect.
func (r *Reservation) Close() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.unlistLocked()
	for class, bytes := range r.bytes {
		r.account.used -= bytes
		r.account.usedBy[class] -= bytes
	}
	r.bytes = [classCount]int64{}
}

func (r *Reservation) bytesLocked() (sum int64) {
	for _, bytes := range r.bytes {
		sum += bytes
	}
	return sum
}

func (r *Reservation) unlistLocked() {
	if r.element != nil {
		r.account.evictable.Remove(r.element)
		r.element = nil
	}
}
