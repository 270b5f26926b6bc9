package proxy

import "slices"

const (
	// changeMemoryMs is how long own sends are remembered against what is told: no
	// told figure is older.
	changeMemoryMs = 1500
	// unhealthyMs is how long a runner that failed is the last choice; each
	// failure in a row doubles it.
	unhealthyMs    = 1000
	maxUnhealthyMs = 8000
	// reportMaxAgeMs is how long a runner's word is believed without another.
	reportMaxAgeMs = 3000
	// fullMs is how long a runner that turned a request away counts as full,
	// if it does not tell otherwise before.
	fullMs = 250
	// runnerIdleMs is when an unused runner is forgotten.
	runnerIdleMs = 60_000
)

// inFlightChange is a send of this router that began or ended.
type inFlightChange struct {
	atMs   int64
	count  int
	tokens int64
}

// runnerState is what this router knows of a runner's load.
type runnerState struct {
	// The runner's own word, as it was at reportedMs; reportedMs is nought without one.
	reportedMs       int64
	reportedRequests int
	// reportedQueued is how many of those told waited.
	reportedQueued  int
	slots           int
	cacheReportedMs int64
	cacheUsed       int64
	cacheTotal      int64
	inFlight        int
	// prefillTokens is how many tokens of prompts this router sent are still to be
	// read there.
	prefillTokens    int64
	inFlightTokens   int64
	recentChanges    []inFlightChange
	unhealthyUntilMs int64
	fullUntilMs      int64
	failures         int
	lastUsedMs       int64
}

// reportLoad takes a count of running and waiting requests as of listedAtMs.
func (r *runnerState) reportLoad(atMs int64, count, slots int) {
	if slots > 0 {
		r.slots = slots
	}
	if atMs >= r.reportedMs {
		r.reportedMs, r.reportedRequests = atMs, count
		// Its word is newer than its turning away.
		if atMs > r.fullUntilMs-fullMs {
			r.fullUntilMs = 0
		}
	}
}

// reportCache takes the token memory in use as of listedAtMs.
func (r *runnerState) reportCache(atMs, used, total int64) {
	if total > 0 && atMs >= r.cacheReportedMs {
		r.cacheReportedMs, r.cacheUsed, r.cacheTotal = atMs, used, total
	}
}

func (r *runnerState) addInFlight(nowMs int64, count int, tokens int64) {
	r.inFlight += count
	r.inFlightTokens += tokens
	r.lastUsedMs = nowMs
	kept := slices.IndexFunc(r.recentChanges, func(c inFlightChange) bool { return c.atMs > nowMs-changeMemoryMs })
	if kept < 0 {
		kept = len(r.recentChanges)
	}
	r.recentChanges = append(slices.Delete(r.recentChanges, 0, kept), inFlightChange{nowMs, count, tokens})
}

// load is how many requests are thought to be there now: what was told, and
// what this router began and ended since.
func (r *runnerState) load(nowMs int64) int {
	load := r.reportedRequests
	if nowMs-r.reportedMs > reportMaxAgeMs {
		load = 0
	}
	for _, c := range r.recentChanges {
		if c.atMs >= r.reportedMs {
			load += c.count
		}
	}
	return max(load, r.inFlight, 0)
}

// cacheTokens is how many tokens are thought to be in use there now.
func (r *runnerState) cacheTokens(nowMs int64) int64 {
	used := r.cacheUsed
	if nowMs-r.cacheReportedMs > reportMaxAgeMs {
		used = 0
	}
	for _, c := range r.recentChanges {
		if c.atMs >= r.cacheReportedMs {
			used += c.tokens
		}
	}
	return max(used, r.inFlightTokens, 0)
}

// capacity is how many requests it may be given: those that run at once, and a
// few that wait for the next free place.
func (r *runnerState) capacity() int { return r.slots + max(2, r.slots/16) }

// isFull says that it should not be given a request of so many tokens.
func (r *runnerState) isFull(nowMs, tokens int64, streams int) bool {
	load := r.load(nowMs)
	return nowMs < r.fullUntilMs || r.slots > 0 && load >= r.capacity() || r.inFlight >= streams ||
		r.cacheTotal > 0 && load > 0 && r.cacheTokens(nowMs)+tokens > r.cacheTotal
}

// markFull notes that it turned a request away: it has no place until it tells
// otherwise.
func (r *runnerState) markFull(nowMs int64) { r.fullUntilMs = nowMs + fullMs }

func (r *runnerState) recordFailure(nowMs int64) {
	// Many sends that fail together are one failure.
	if nowMs < r.unhealthyUntilMs {
		return
	}
	r.unhealthyUntilMs = nowMs + min(maxUnhealthyMs, int64(unhealthyMs)<<min(r.failures, 3))
	r.failures++
}

func (r *runnerState) recordSuccess() { r.failures, r.unhealthyUntilMs = 0, 0 }
