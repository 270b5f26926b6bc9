package proxy

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// listMaxAgeMs is the maximum age of a runner list that the router has read itself
	// and that replaces the index while the primary is unresponsive.
	listMaxAgeMs = 10_000
	// listReadPerRouterMs is multiplied by the number of routers to get the time between
	// two reads by the same router, because all of them share the rate limit of the
	// platform.
	listReadPerRouterMs = 50
	// rateLimitedDelayMs delays the next read after the platform's rate limit was hit.
	rateLimitedDelayMs = 2 * primaryUnresponsiveMs
)

// runnerListing is the state of the router's own reads of the platform's runner list. The
// router reads the list only while the primary is unresponsive.
type runnerListing struct {
	// nextListReadMs is when the next read is due; listReadPending is true while one is
	// in progress.
	nextListReadMs  int64
	listReadPending bool
	// listedRunners is the result of the last read, which ended at listedAtMs. It is nil
	// once the primary answers a poll.
	listedRunners []protocol.RunnerEntry
	listedAtMs    int64
}

// listReadDue reports whether the router is to read the list of runners now.
func (m *Machine) listReadDue() bool {
	if m.settings.RunnerListAddress == "" || m.configuration.Load() == nil || m.listReadPending {
		return false
	}
	return m.primaryUnresponsive() && m.nowMs >= m.nextListReadMs
}

// readRunnerList starts a read. Its result comes as a protocol.RunnerList.
func (m *Machine) readRunnerList() {
	m.listReadPending = true
	m.nextListReadMs = m.nowMs + max(primaryUnresponsiveMs, int64(m.routerCount)*listReadPerRouterMs)
	m.outbox.Calls = append(m.outbox.Calls, protocol.OutboundCall{
		Address: m.settings.RunnerListAddress, Body: protocol.ListRunners{},
	})
}

// runnerListRead applies the result of a read.
func (m *Machine) runnerListRead(result protocol.RunnerList) {
	m.listReadPending = false
	if result.Limited {
		m.nextListReadMs += rateLimitedDelayMs
	}
	if !result.Ok {
		return
	}
	for _, entry := range result.Runners {
		if entry.Leaving {
			m.markDraining(entry.ID)
		}
	}
	if m.primaryUnresponsive() {
		m.listedRunners, m.listedAtMs = result.Runners, m.nowMs
	}
	m.dispatchQueue()
}

// listUsable reports whether the router's own runner list may replace the index.
func (m *Machine) listUsable() bool {
	return m.listedRunners != nil && m.primaryUnresponsive() && m.nowMs-m.listedAtMs <= listMaxAgeMs
}

// listedHolders returns the listed runners that can serve the key.
func (m *Machine) listedHolders(key cacheKey) []protocol.IndexHolder {
	var holders []protocol.IndexHolder
	for i := range m.listedRunners {
		entry := &m.listedRunners[i]
		holds, adapter := listsModel(entry, key)
		if entry.Service == key.service && holds {
			holders = append(holders, protocol.IndexHolder{
				ID: entry.ID, Address: entry.Address, Zone: entry.Zone, Adapter: adapter, Slots: entry.Slots,
			})
		}
	}
	return holders
}

// listsModel reports whether a listed runner holds the model of the key, which is true
// for every runner if the key names none, and whether it has the adapter.
func listsModel(entry *protocol.RunnerEntry, key cacheKey) (holds, adapter bool) {
	holds = key.model == ""
	for i := range entry.Models {
		model := &entry.Models[i]
		if model.Name == key.model {
			holds, adapter = true, slices.Contains(model.Adapters, key.adapter)
		}
	}
	return holds, adapter
}
