package proxy

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// changeRetentionMs is how long a runnerState keeps the starts and ends of this
	// router's own attempts. Those that are later than the runner's last report are added
	// to it. No report is older than this.
	changeRetentionMs = 1500
	// unhealthyMs is how long a runner counts as unhealthy after a failure.
	// Each further failure in a row doubles it, up to maxUnhealthyMs.
	unhealthyMs    = 1000
	maxUnhealthyMs = 8000
	// reportMaxAgeMs is how long a report is used unless a newer one arrives.
	reportMaxAgeMs = 3000
	// fullMs is how long a runner counts as full after it rejected a request, unless it
	// reports its load in the meantime.
	fullMs = 250
	// runnerIdleMs is how long after its last use the state of a runner is dropped.
	runnerIdleMs = 60_000
	// A runner may be given more requests than it has slots, so that the next one is
	// there when a slot becomes free: minWaiting, or one for each slotsPerWaiting slots
	// if that is more.
	minWaiting = 2
	// maxIdleTracked limits the idle connections that are tracked for a runner.
	maxIdleTracked  = 16
	slotsPerWaiting = 16
)

// runnerState is what this router knows of the load and health of a runner.
type runnerState struct {
	// reportedMs is when the runner's last report was made, or 0 if there is none.
	// reportedRequests is how many requests executed or waited at the runner then, and
	// reportedQueued is how many of them waited.
	reportedMs       int64
	reportedRequests int
	reportedQueued   int
	// slots is how many requests the runner executes at the same time, or 0 if that is
	// not known.
	slots int
	// cacheUsed and cacheTotal are tokens of its KV cache, as of
	// cacheReportedMs. cacheTotal is 0 without a report.
	cacheReportedMs int64
	cacheUsed       int64
	cacheTotal      int64
	// inFlight is the number of this router's attempts in flight there, inFlightTokens
	// the tokens of their prompts and output, and prefillTokens the prompt tokens of
	// those whose response has not begun.
	inFlight       int
	inFlightTokens int64
	prefillTokens  int64
	// idleUntilMs holds, for each idle connection to the runner, the time until which it
	// is kept. The connection that became idle last is at the end.
	idleUntilMs []int64
	// ownPrefillMs is the estimated prefill of this router's requests in flight there.
	// sitePrefillMs is the estimated prefill of all routers' requests. A controller
	// reported it at sitePrefillAtMs, and this router's later changes are included.
	ownPrefillMs    int64
	sitePrefillMs   int64
	sitePrefillAtMs int64
	// recentChanges are the attempts that began or ended in the last
	// changeRetentionMs.
	recentChanges []inFlightChange
	// failures counts the failures since the last success.
	failures         int
	unhealthyUntilMs int64
	fullUntilMs      int64
	lastUsedMs       int64
}

// inFlightChange is the start (count 1) or end (count -1) of an attempt.
type inFlightChange struct {
	atMs   int64
	count  int
	tokens int64
}

// applyLoadReport applies a report of the executing and waiting requests as of atMs. Except
// for slots it is ignored if it is older than the last one.
func (r *runnerState) applyLoadReport(atMs int64, requests, slots int) {
	if slots > 0 {
		r.slots = slots
	}
	if atMs < r.reportedMs {
		return
	}
	r.reportedMs, r.reportedRequests = atMs, requests
	rejectedMs := r.fullUntilMs - fullMs
	if atMs > rejectedMs {
		r.fullUntilMs = 0
	}
}

// applyCacheReport applies a report of the KV cache as of atMs.
func (r *runnerState) applyCacheReport(atMs, used, total int64) {
	if total > 0 && atMs >= r.cacheReportedMs {
		r.cacheReportedMs, r.cacheUsed, r.cacheTotal = atMs, used, total
	}
}

// addInFlight records that an attempt began or ended.
func (r *runnerState) addInFlight(nowMs int64, count int, tokens int64) {
	r.inFlight += count
	r.inFlightTokens += tokens
	r.lastUsedMs = nowMs
	firstKept := slices.IndexFunc(r.recentChanges, func(c inFlightChange) bool { return c.atMs > nowMs-changeRetentionMs })
	if firstKept < 0 {
		firstKept = len(r.recentChanges)
	}
	r.recentChanges = append(slices.Delete(r.recentChanges, 0, firstKept), inFlightChange{nowMs, count, tokens})
}

// connectionKept records that a connection is kept for reuse; idleMs is 0 if it was
// closed.
func (r *runnerState) connectionKept(nowMs, idleMs int64) {
	if idleMs > 0 && len(r.idleUntilMs) < maxIdleTracked {
		r.idleUntilMs = append(r.idleUntilMs, nowMs+idleMs)
	}
}

// hasConnection reports whether a connection is expected to be available for reuse.
func (r *runnerState) hasConnection(nowMs int64) bool {
	r.idleUntilMs = slices.DeleteFunc(r.idleUntilMs, func(untilMs int64) bool { return untilMs <= nowMs })
	return len(r.idleUntilMs) > 0
}

// useConnection removes the connection that was kept last, because the pool reuses that
// one.
func (r *runnerState) useConnection(nowMs int64) {
	if r.hasConnection(nowMs) {
		r.idleUntilMs = r.idleUntilMs[:len(r.idleUntilMs)-1]
	}
}

// changePrefill adds prefill that this router begins there, or subtracts prefill that
// ends (negative ms).
func (r *runnerState) changePrefill(ms int64) {
	r.ownPrefillMs += ms
	r.sitePrefillMs = max(0, r.sitePrefillMs+ms)
}

// applySitePrefill applies a controller's report of the prefill of all routers.
func (r *runnerState) applySitePrefill(nowMs, ms int64) {
	r.sitePrefillMs, r.sitePrefillAtMs = ms, nowMs
}

// waitingPrefillMs estimates the prefill in progress at the runner. It counts the
// requests of all routers if their prefill is known, and otherwise this router's own. It
// is never less than this router's own.
func (r *runnerState) waitingPrefillMs(nowMs int64) int64 {
	if nowMs-r.sitePrefillAtMs > protocol.PrefillMaxAgeMs {
		return r.ownPrefillMs
	}
	return max(r.sitePrefillMs, r.ownPrefillMs)
}

// load estimates how many requests are at the runner now, from the last report and this
// router's changes since. It is never less than this router's requests in flight.
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

// cacheTokens estimates how many tokens of the KV cache are in use now, in the same way
// as load.
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

// capacity returns how many requests the runner may be given: those that execute and a
// few that wait for the next free slot.
func (r *runnerState) capacity() int { return r.slots + max(minWaiting, r.slots/slotsPerWaiting) }

// isFull reports whether the runner must not be given a request with this number of
// tokens now. inFlightLimit is the maximum number of this router's own requests at the
// runner.
func (r *runnerState) isFull(nowMs, tokens int64, inFlightLimit int) bool {
	if nowMs < r.fullUntilMs || r.inFlight >= inFlightLimit {
		return true
	}
	load := r.load(nowMs)
	if r.slots > 0 && load >= r.capacity() {
		return true
	}
	return r.cacheTotal > 0 && load > 0 && r.cacheTokens(nowMs)+tokens > r.cacheTotal
}

// markFull records that the runner rejected a request.
func (r *runnerState) markFull(nowMs int64) { r.fullUntilMs = nowMs + fullMs }

// recordFailure marks the runner as unhealthy. Attempts that fail while it is already
// unhealthy mostly have the same cause and do not count again.
func (r *runnerState) recordFailure(nowMs int64) {
	if nowMs < r.unhealthyUntilMs {
		return
	}
	r.unhealthyUntilMs = nowMs + min(maxUnhealthyMs, int64(unhealthyMs)<<min(r.failures, 3))
	r.failures++
}

// recordSuccess marks the runner as healthy.
func (r *runnerState) recordSuccess() { r.failures, r.unhealthyUntilMs = 0, 0 }
