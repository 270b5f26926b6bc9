// Package invariants is what must never happen, checked from what senders and
// runners saw. It knows nothing of how the system works inside.
package invariants

import (
	"fmt"
	"sort"
	"sync"
)

// The bounds that the rules speak of.
const (
	LeaverMs   = 3000
	InForceMs  = 2000
	HolderMs   = 3000
	SecondMs   = 10_000
	secondPart = 0.2
)

// Breach is a rule that was broken.
type Breach struct {
	Rule string
	AtMs int64
	What string
}

func (b Breach) String() string { return fmt.Sprintf("%s at %d ms: %s", b.Rule, b.AtMs, b.What) }

// Book takes down what was seen.
type Book struct {
	mu       sync.Mutex
	breaches []Breach
	ran      map[string]*run
	told     map[string]ending
	sendings map[string]*sending
	marks    map[string]*Mark
	texts    map[uint64]string
	learned  map[string]int64
	accepted map[uint64]int64
	revision map[string]uint64
	orders   []order
	loads    []int64
	goes     map[string][]goSeen
	pace     int64
	// SecondGoes is the allowance of second goes.
	secondGoes int64
	// Worst figures, for measurements.
	LeaverWorstMs int64
	OldWorstMs    int64
	Ran           int
	// allowed is what the newest description allows, before is the pace of
	// the one it followed.
	allowed *allowance
	before  int64
	// written are the goes that routers wrote, arrived or not.
	written map[string][]goSeen
	wrote   map[string]bool
}

type run struct {
	count      int
	repeatable bool
	atMs       int64
}

// sending counts the times a sender sent one id; it was told that the id is
// dropped only once it was told so of each.
type sending struct {
	open  int
	other bool
}

// Mark is what a description that was handed over can be told by: a service
// that no other description has.
type Mark struct {
	// Ended is what its operator was told: "accepted", "no effect" or nothing.
	Ended string
	// Revision is the number under which it was seen in effect, or nought.
	Revision uint64
	SeenMs   int64
}

type ending struct {
	kind string
	drop bool
	atMs int64
}

type order struct {
	atMs   int64
	holder string
	epoch  uint64
	runner string
}

type goSeen struct {
	atMs   int64
	second bool
}

// New makes an empty book for a store's pace and an allowance of second goes.
func New(loadsPer10s, secondGoes int64) *Book {
	return &Book{
		ran: map[string]*run{}, told: map[string]ending{}, learned: map[string]int64{}, accepted: map[uint64]int64{},
		revision: map[string]uint64{}, goes: map[string][]goSeen{}, pace: loadsPer10s, secondGoes: secondGoes,
		sendings: map[string]*sending{}, marks: map[string]*Mark{}, texts: map[uint64]string{},
		written: map[string][]goSeen{}, wrote: map[string]bool{},
	}
}

func (b *Book) breach(rule string, atMs int64, format string, args ...any) {
	b.breaches = append(b.breaches, Breach{rule, atMs, fmt.Sprintf(format, args...)})
}

// Arrived notes that a request reached a runner, run or not.
func (b *Book) Arrived(atMs int64, service, id, runner, incarnation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if learnedMs, leaving := b.learned[runner+"/"+incarnation]; leaving {
		b.LeaverWorstMs = max(b.LeaverWorstMs, atMs-learnedMs)
		if atMs-learnedMs > LeaverMs {
			b.breach("leaver", atMs, "%s reached %s %d ms after it was marked", id, runner, atMs-learnedMs)
		}
	}
	_, second := b.ran["go/"+service+"/"+id]
	b.ran["go/"+service+"/"+id] = &run{}
	b.goes[service] = append(b.goes[service], goSeen{atMs, second})
}

// Sent notes that a router wrote a request to a runner's stream.
func (b *Book) Sent(atMs int64, router, service, id string, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := service + "/" + id
	b.written[service] = append(b.written[service], goSeen{atMs, b.wrote[key]})
	b.wrote[key] = true
	if revision < b.revision[router] {
		b.breach("slip back", atMs, "%s sent under revision %d after a runner saw %d from it", router, revision, b.revision[router])
	}
}

// Started notes that a runner began to run a request.
func (b *Book) Started(atMs int64, service, id, runner string, repeatable bool, router string, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ran++
	key := service + "/" + id
	r := b.ran[key]
	if r == nil {
		r = &run{repeatable: repeatable, atMs: atMs}
		b.ran[key] = r
	}
	r.count++
	if r.count > 1 && !repeatable {
		b.breach("twice", atMs, "%s ran again on %s", key, runner)
	}
	if end, told := b.told[key]; told && end.drop {
		b.breach("drop ran", atMs, "%s ran on %s after it was dropped as %q", key, runner, end.kind)
	}
	b.revision[router] = max(b.revision[router], revision)
	b.markRan(atMs, service, router, revision)
	for number, acceptedMs := range b.accepted {
		if revision < number {
			b.OldWorstMs = max(b.OldWorstMs, atMs-acceptedMs)
		}
		if revision < number && atMs-acceptedMs > InForceMs {
			b.breach("in force", atMs, "%s ran under revision %d, %d ms after %d was accepted", key, revision, atMs-acceptedMs, number)
		}
	}
}

// Asked notes that a sender sent an id; it may send one several times.
func (b *Book) Asked(service, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := service + "/" + id
	if b.sendings[key] == nil {
		b.sendings[key] = &sending{}
	}
	// What follows from a sender's own repeat is a first go again.
	delete(b.ran, "go/"+key)
	delete(b.wrote, key)
	b.sendings[key].open++
	// Who asks again after a drop wants it to run.
	delete(b.told, key)
}

// Told notes how a request ended for its sender.
func (b *Book) Told(atMs int64, service, id, kind string, drop bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := service + "/" + id
	if s := b.sendings[key]; s != nil {
		s.open--
		s.other = s.other || !drop
		if drop && (s.open > 0 || s.other) {
			return
		}
	}
	b.told[key] = ending{kind, drop, atMs}
	if r := b.ran[key]; drop && r != nil && r.count > 0 {
		b.breach("drop ran", atMs, "%s was dropped as %q and had run", key, kind)
	}
}

// Wrong notes that a sender got what is not the runner's whole answer.
func (b *Book) Wrong(atMs int64, service, id, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breach("torn answer", atMs, "%s/%s: %s", service, id, what)
}

// Learned notes when the system could first read that a runner is leaving.
func (b *Book) Learned(atMs int64, runner, incarnation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.learned[runner+"/"+incarnation]; !known {
		b.learned[runner+"/"+incarnation] = atMs
	}
}

// Accepted notes that an operator was told that a revision is in force.
func (b *Book) Accepted(atMs int64, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, twice := b.accepted[number]; twice {
		b.breach("two accepted", atMs, "revision %d was accepted twice", number)
	}
	b.accepted[number] = atMs
}

// Lost notes that an accepted revision is not there any more.
func (b *Book) Lost(atMs int64, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breach("description lost", atMs, "%s", what)
}

// Unserved notes that a service did not come back in time.
func (b *Book) Unserved(atMs int64, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breach("not back", atMs, "%s is not answered again in time", service)
}

// Order notes an order as a runner got it.
func (b *Book) Order(atMs int64, runner, holder string, epoch uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.orders); n > 0 {
		last := b.orders[n-1]
		if last.holder != holder && atMs-last.atMs < HolderMs {
			b.breach("two holders", atMs, "%s ordered %s %d ms after %s did", holder, runner, atMs-last.atMs, last.holder)
		}
	}
	b.orders = append(b.orders, order{atMs, holder, epoch, runner})
}

// Load notes that a runner began to load from the weight store.
func (b *Book) Load(atMs int64, runner, item string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads = append(b.loads, atMs)
	within, pace := 0, b.paceWithin(atMs)
	for _, at := range b.loads {
		if at > atMs-10_000 {
			within++
		}
	}
	if int64(within) > pace {
		b.breach("store pace", atMs, "%d loads within 10 s, %s of %s the last", within, item, runner)
	}
}

// Room notes what a runner was told to hold.
func (b *Book) Room(atMs int64, runner string, taken, room int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if told := b.allowed; told != nil && atMs > told.atMs+InForceMs && told.rooms[runner] > 0 {
		room = min(room, told.rooms[runner])
	}
	if taken > room {
		b.breach("room", atMs, "%s was told to hold %d of %d", runner, taken, room)
	}
}

// Breaches checks what only the whole shows, and lists all in order of time.
func (b *Book) Breaches() []Breach {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := append([]Breach{}, b.breaches...)
	for _, seen := range []map[string][]goSeen{b.goes, b.written} {
		for service := range seen {
			if at, seconds, firsts, broken := b.worstSeconds(seen[service]); broken {
				out = append(out, Breach{"second goes", at, fmt.Sprintf("%s: %d second goes and %d first within 10 s", service, seconds, firsts)})
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMs < out[j].AtMs })
	return out
}

// worstSeconds slides ten seconds over the goes of a service.
func (b *Book) worstSeconds(goes []goSeen) (atMs int64, seconds, firsts int, broken bool) {
	sort.SliceStable(goes, func(i, j int) bool { return goes[i].atMs < goes[j].atMs })
	from, s, f := 0, 0, 0
	for _, g := range goes {
		if g.second {
			s++
		} else {
			f++
		}
		for goes[from].atMs <= g.atMs-SecondMs {
			if goes[from].second {
				s--
			} else {
				f--
			}
			from++
		}
		if s > seconds {
			atMs, seconds, firsts = g.atMs, s, f
		}
		if float64(s) > secondPart*float64(f)+float64(b.secondGoes) {
			return g.atMs, s, f, true
		}
	}
	return atMs, seconds, firsts, false
}

// WorstSeconds gives the most second goes that ten seconds saw, by service.
func (b *Book) WorstSeconds(service string) (seconds, firsts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, seconds, firsts, _ = b.worstSeconds(b.goes[service])
	return seconds, firsts
}

// Orders counts the orders that runners got.
func (b *Book) Orders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.orders)
}
