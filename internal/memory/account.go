// Package memory accounts for the memory that other processes make this one use: their
// connections, requests and messages, and the responses that they have not read yet. A
// process has one Account. Whatever does not fit is refused before it is read.
package memory

import (
	"container/list"
	"sync"
	"time"
)

// Class is a use of memory that has a share of its own in an Account.
type Class int

const (
	// Connections are open connections of clients, including the bytes that have arrived
	// and are not read yet.
	Connections Class = iota
	// Heads are request heads above the size that is part of their connection.
	Heads
	// Bodies are large request bodies.
	Bodies
	// Requests are requests in progress, with short bodies.
	Requests
	// Responses are responses that are buffered before they are written.
	Responses
	// Messages are connections and messages of other daemons.
	Messages
	classCount
)

// classNames are the names of the classes in logs.
var classNames = [classCount]string{
	Connections: "connections", Heads: "heads", Bodies: "bodies",
	Requests: "requests", Responses: "responses", Messages: "messages",
}

// String returns the name of the class.
func (c Class) String() string { return classNames[c] }

// shareDenominator is the denominator of all shares of an Account's limit.
const shareDenominator = 16

// reserveShare is the share of the limit that only ordinary requests, their responses and
// messages between daemons may use, so that a crowd of others cannot use everything.
const reserveShare = 2

// classLimits has the share of the limit that each class may use, and whether the class may
// use the reserve.
var classLimits = [classCount]struct {
	share      int64
	useReserve bool
}{
	Connections: {12, false},
	Heads:       {4, false},
	Bodies:      {8, false},
	Requests:    {16, true},
	Responses:   {8, true},
	Messages:    {12, true},
}

const (
	// defaultMemoryMb is the memory of a process whose settings do not limit it.
	defaultMemoryMb = 256
	// baseMb is the memory that a process needs for its own state.
	baseMb = 24
	// RuntimeShare is the share of the process's memory that is set as the Go runtime's
	// limit. Near the limit the garbage collector runs more often, even if that takes much
	// CPU time.
	RuntimeShare = 0.7
	// accountShare is the share of the memory between baseMb and the runtime's limit that
	// an Account may give out. The rest is for garbage that is not collected yet.
	accountShare = 0.75
	// minLimitBytes is the smallest limit of an Account. A body of 4 MiB fits into it.
	minLimitBytes = 16 << 20
	// evictionAge is how long a reservation that others wait for is kept.
	evictionAge = 2 * time.Second
)

// LimitFor returns how many bytes an Account may give out in a process with this memory; 0
// means the default.
func LimitFor(memoryMb int) int64 {
	if memoryMb <= 0 {
		memoryMb = defaultMemoryMb
	}
	usableMb := (float64(memoryMb)*RuntimeShare - baseMb) * accountShare
	return max(minLimitBytes, int64(usableMb*(1<<20)))
}

// Account limits the memory that other processes make this one use. It is safe for
// concurrent use.
type Account struct {
	limit int64
	// now is the clock, which tests replace.
	now func() time.Time

	mu     sync.Mutex
	used   int64
	usedBy [classCount]int64
	// peak is what was in use when that was the most.
	peak Usage
	// evictable lists the reservations that may be evicted, the oldest first.
	evictable list.List
}

// NewAccount returns an account that gives out up to limit bytes.
func NewAccount(limit int64) *Account { return &Account{limit: limit, now: time.Now} }

// Take takes bytes for a class. It returns false if they do not fit. In that case the
// oldest reservations are evicted, so that a later attempt may succeed.
func (a *Account) Take(class Class, bytes int64) bool {
	a.mu.Lock()
	taken := a.takeLocked(class, bytes)
	var evicted []*Reservation
	if !taken {
		evicted = a.evictLocked(bytes)
	}
	a.mu.Unlock()
	for _, reservation := range evicted {
		reservation.evict()
	}
	return taken
}

// Release returns bytes that Take took for the class.
func (a *Account) Release(class Class, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= bytes
	a.usedBy[class] -= bytes
}

// Used returns the bytes that are taken.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Usage is what an Account had given out at one moment, in bytes.
type Usage struct {
	Total   int64
	ByClass [classCount]int64
}

// Peak returns what was given out when that was the most since the start of the process.
func (a *Account) Peak() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak
}

// Limit returns how many bytes the account may give out.
func (a *Account) Limit() int64 { return a.limit }

// ClassLimit returns how many bytes a class may use.
func (a *Account) ClassLimit(class Class) int64 {
	return a.limit * classLimits[class].share / shareDenominator
}

func (a *Account) takeLocked(class Class, bytes int64) bool {
	total := a.limit
	if !classLimits[class].useReserve {
		total -= a.limit * reserveShare / shareDenominator
	}
	if a.used+bytes > total || a.usedBy[class]+bytes > a.ClassLimit(class) {
		return false
	}
	a.used += bytes
	a.usedBy[class] += bytes
	if a.used > a.peak.Total {
		a.peak = Usage{a.used, a.usedBy}
	}
	return true
}

// EvictOldest evicts the oldest reservation of a request or response, if it is old enough, so
// that its connection ends.
func (a *Account) EvictOldest() {
	a.mu.Lock()
	oldest := a.oldestRequestLocked()
	if oldest != nil {
		oldest.unlistLocked()
		oldest.evicted = true
	}
	a.mu.Unlock()
	if oldest != nil {
		oldest.evict()
	}
}

// oldestRequestLocked returns the oldest evictable reservation that is not for a message
// between daemons, or nil if that is younger than evictionAge.
func (a *Account) oldestRequestLocked() *Reservation {
	youngest := a.now().Add(-evictionAge)
	for element := a.evictable.Front(); element != nil; element = element.Next() {
		reservation := element.Value.(*Reservation)
		if reservation.openedAt.After(youngest) {
			return nil
		}
		if reservation.bytes[Messages] == 0 {
			return reservation
		}
	}
	return nil
}

// evictLocked removes the oldest reservations from evictable, as many as hold this many
// bytes, except those that are younger than evictionAge. The caller calls their evict
// without holding mu.
func (a *Account) evictLocked(bytes int64) (evicted []*Reservation) {
	youngest := a.now().Add(-evictionAge)
	for bytes > 0 && a.evictable.Len() > 0 {
		oldest := a.evictable.Front().Value.(*Reservation)
		if oldest.openedAt.After(youngest) {
			break
		}
		bytes -= oldest.bytesLocked()
		oldest.unlistLocked()
		oldest.evicted = true
		evicted = append(evicted, oldest)
	}
	return evicted
}
