package proxy

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// listMaxAgeMs is how old the router's own reading of the list of runners
	// may be and still replace the index, while no controller answers.
	listMaxAgeMs = 10_000
	// listReadPerRouterMs is, for each router of the site, the time between
	// two reads by the same router, since all of them share the rate limit of
	// the platform.
	listReadPerRouterMs = 50
	// rateLimitedMs delays the next read after the platform limited the rate.
	rateLimitedMs = 2 * primarySilentMs
)

// ownListing is the router's own reading of the platform's list of runners,
// which it does only while the primary is silent.
type ownListing struct {
	// nextListReadMs is when the next read is due; listReadPending is set
	// while one is under way.
	nextListReadMs  int64
	listReadPending bool
	// listedRunners is the result of the last read, which ended at
	// listedAtMs; nil once the primary answers.
	listedRunners []protocol.RunnerEntry
	listedAtMs    int64
}

// listReadDue reports whether the router is to read the list of runners now.
func (m *Machine) listReadDue() bool {
	if m.settings.ListAddress == "" || m.configuration.Load() == nil || m.listReadPending {
		return false
	}
	return m.primarySilent() && m.nowMs >= m.nextListReadMs
}

// readRunnerList starts a read. Its result comes as a protocol.RunnerList.
func (m *Machine) readRunnerList() {
	m.listReadPending = true
	m.nextListReadMs = m.nowMs + max(primarySilentMs, int64(m.routerCount)*listReadPerRouterMs)
	m.outbox.Calls = append(m.outbox.Calls, protocol.OutboundCall{
		Address: m.settings.ListAddress, Body: protocol.ListRunners{},
	})
}

// runnerListRead takes the result of a read.
func (m *Machine) runnerListRead(result protocol.RunnerList) {
	m.listReadPending = false
	if result.Limited {
		m.nextListReadMs += rateLimitedMs
	}
	if !result.Ok {
		return
	}
	for _, entry := range result.Runners {
		if entry.Leaving {
			m.markDraining(entry.ID)
		}
	}
	if m.primarySilent() {
		m.listedRunners, m.listedAtMs = result.Runners, m.nowMs
	}
	m.dispatchQueue()
}

// listUsable reports whether the router's own reading may replace the index.
func (m *Machine) listUsable() bool {
	return m.listedRunners != nil && m.primarySilent() && m.nowMs-m.listedAtMs <= listMaxAgeMs
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

// listsModel reports whether a listed runner has the model of the key, which
// is so for every runner if the key names none, and whether it has the adapter.
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
