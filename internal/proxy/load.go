package proxy

import "slices"

const (
	// changesMs is how long own sends are remembered against what is told: no
	// told figure is older.
	changesMs = 1500
	// suspectMs is how long a runner that failed is the last choice; each
	// failure in a row doubles it.
	suspectMs     = 1000
	suspectMostMs = 8000
	// toldForMs is how long a runner's word is believed without another.
	toldForMs = 3000
	// awayMs is how long a runner that turned a request away counts as full,
	// if it does not tell otherwise before.
	awayMs = 250
	// idleMs is when an unused runner is forgotten.
	idleMs = 60_000
)

// change is a send of this router that began or ended.
type change struct {
	atMs   int64
	count  int
	tokens int64
}

// runner is what this router knows of a runner's load.
type runner struct {
	// The runner's own word, as it was at toldMs; toldMs is nought without one.
	toldMs int64
	told   int
	// waiting is how many of those told waited.
	waiting    int
	slots      int
	cacheMs    int64
	cacheUsed  int64
	cacheTotal int64
	own        int
	// reading is how many tokens of prompts this router sent are still to be
	// read there.
	reading     int64
	ownTokens   int64
	changes     []change
	suspectToMs int64
	fullToMs    int64
	failures    int
	usedMs      int64
}

// tell takes a count of running and waiting requests as of atMs.
func (r *runner) tell(atMs int64, count, slots int) {
	if slots > 0 {
		r.slots = slots
	}
	if atMs >= r.toldMs {
		r.toldMs, r.told = atMs, count
		// Its word is newer than its turning away.
		if atMs > r.fullToMs-awayMs {
			r.fullToMs = 0
		}
	}
}

// tellCache takes the token memory in use as of atMs.
func (r *runner) tellCache(atMs, used, total int64) {
	if total > 0 && atMs >= r.cacheMs {
		r.cacheMs, r.cacheUsed, r.cacheTotal = atMs, used, total
	}
}

func (r *runner) change(nowMs int64, count int, tokens int64) {
	r.own += count
	r.ownTokens += tokens
	r.usedMs = nowMs
	kept := slices.IndexFunc(r.changes, func(c change) bool { return c.atMs > nowMs-changesMs })
	if kept < 0 {
		kept = len(r.changes)
	}
	r.changes = append(slices.Delete(r.changes, 0, kept), change{nowMs, count, tokens})
}

// load is how many requests are thought to be there now: what was told, and
// what this router began and ended since.
func (r *runner) load(nowMs int64) int {
	load := r.told
	if nowMs-r.toldMs > toldForMs {
		load = 0
	}
	for _, c := range r.changes {
		if c.atMs >= r.toldMs {
			load += c.count
		}
	}
	return max(load, r.own, 0)
}

// cache is how many tokens are thought to be in use there now.
func (r *runner) cache(nowMs int64) int64 {
	used := r.cacheUsed
	if nowMs-r.cacheMs > toldForMs {
		used = 0
	}
	for _, c := range r.changes {
		if c.atMs >= r.cacheMs {
			used += c.tokens
		}
	}
	return max(used, r.ownTokens, 0)
}

// room is how many requests it may be given: those that run at once, and a
// few that wait for the next free place.
func (r *runner) room() int { return r.slots + max(2, r.slots/16) }

// full says that it should not be given a request of so many tokens.
func (r *runner) full(nowMs, tokens int64, streams int) bool {
	load := r.load(nowMs)
	return nowMs < r.fullToMs || r.slots > 0 && load >= r.room() || r.own >= streams ||
		r.cacheTotal > 0 && load > 0 && r.cache(nowMs)+tokens > r.cacheTotal
}

// fill notes that it turned a request away: it has no place until it tells
// otherwise.
func (r *runner) fill(nowMs int64) { r.fullToMs = nowMs + awayMs }

func (r *runner) fail(nowMs int64) {
	// Many sends that fail together are one failure.
	if nowMs < r.suspectToMs {
		return
	}
	r.suspectToMs = nowMs + min(suspectMostMs, int64(suspectMs)<<min(r.failures, 3))
	r.failures++
}

func (r *runner) succeed() { r.failures, r.suspectToMs = 0, 0 }
