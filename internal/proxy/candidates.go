package proxy

import (
	"slices"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/protocol"
)

// noInFlightLimit is the in-flight limit for a service without a limit of connections.
const noInFlightLimit = 1 << 20

// candidates returns the runners that the request can be sent to now, and sets
// m.candidateHolders to their index entries, in the same order. If there is no such
// runner, m.allFull is set if at least one runner is excluded only because it is full or
// has too much prefill in progress. The result is valid until the next call.
func (m *Machine) candidates(r *request) []candidate {
	m.candidateHolders, m.allFull = m.candidateHolders[:0], false
	m.candidateList = m.candidateList[:0]
	entry := m.indexEntry(r.key)
	if entry == nil || m.isStale(r, entry) {
		return nil
	}
	entry.lastUsedMs = m.nowMs
	// Runners at which an attempt failed are used only if there is no other.
	for _, failedBefore := range []bool{false, true} {
		m.addCandidates(r, entry, failedBefore)
		if len(m.candidateList) > 0 || m.allFull {
			break
		}
	}
	return m.candidateList
}

// addCandidates adds the usable holders at which an attempt of the request has
// failed before, or those at which none has.
func (m *Machine) addCandidates(r *request, entry *cacheEntry, failedBefore bool) {
	inFlightLimit := m.inFlightLimit(r.service)
	for i := range entry.holders {
		holder := &entry.holders[i]
		if !m.isUsable(r, entry, holder) || slices.Contains(r.failedAt, holder.ID) != failedBefore {
			continue
		}
		runner := m.runnerState(holder.ID)
		if runner.slots == 0 {
			runner.slots = holder.Slots
		}
		if runner.isFull(m.nowMs, r.tokens, inFlightLimit) || m.prefillTooLong(r, runner) {
			m.allFull = true
			continue
		}
		m.candidateHolders = append(m.candidateHolders, *holder)
		m.candidateList = append(m.candidateList, candidate{
			id: holder.ID, load: runner.load(m.nowMs), slots: runner.slots,
			prefillMs: max(runner.waitingPrefillMs(m.nowMs), m.prefillMs(r.key, runner.prefillTokens)),
			connected: !r.needsNewConnection(r.attempts+1) && runner.hasConnection(m.nowMs),
			sameZone:  holder.Zone == m.settings.Self.Zone, unhealthy: runner.unhealthyUntilMs > m.nowMs,
		})
	}
}

// isUsable reports whether a holder may get the request at all: it is not draining, can
// serve the key, and has neither rejected this request nor been unreachable for it just
// now.
func (m *Machine) isUsable(r *request, entry *cacheEntry, holder *protocol.IndexHolder) bool {
	if m.isDraining(holder.ID) || !entry.canServe(m.nowMs, r.key, holder) {
		return false
	}
	if slices.Contains(r.rejectedBy, holder.ID) {
		return false
	}
	return m.nowMs >= r.unreachableUntilMs || !slices.Contains(r.unreachable, holder.ID)
}

// prefillTooLong reports whether the prefill of the prompts that wait at a runner would
// take longer than half of the time in which a stream must begin, or than the latency
// target if that is longer.
func (m *Machine) prefillTooLong(r *request, runner *runnerState) bool {
	msPer1000Tokens := m.prefillEstimates[modelKey{r.key.service, r.key.model}]
	if msPer1000Tokens <= 0 || r.service.Engine == nil || r.route.Kind != config.Stream {
		return false
	}
	waitingTokens := runner.prefillTokens
	if m.nowMs-runner.reportedMs <= reportMaxAgeMs {
		// Of the reported queue only the length is known. Its prompts are assumed to be
		// as long as this one.
		waitingTokens = max(waitingTokens, int64(runner.reportedQueued)*max(1, r.Params.PromptTokens))
	}
	waitMs := int64(float64(waitingTokens) * msPer1000Tokens / 1000)
	return waitMs > max(r.route.LatencyTargetMs, m.responseWindowMs(r)/2)
}

// isStale reports whether an entry is too old for a hit, so that the request waits for
// the reply to its look-up as a miss does. A stale entry is used after that wait, and
// while the primary is unresponsive.
func (m *Machine) isStale(r *request, entry *cacheEntry) bool {
	if m.nowMs-entry.updatedMs <= entryMaxAgeMs || m.primaryUnresponsive() {
		return false
	}
	waitsForLookUp := r.attempts == 0 && !r.lookUpReplied
	return waitsForLookUp && m.nowMs-r.arrivedMs < missDelayedMs
}

// inFlightLimit returns how many requests this router may have in flight at one runner:
// its share of the connections that the service allows.
func (m *Machine) inFlightLimit(service *config.Service) int {
	if service.MaxConnections <= 0 {
		return noInFlightLimit
	}
	return max(2, int(limitMargin*float64(service.MaxConnections))/max(1, m.routerCount))
}
