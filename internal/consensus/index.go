package consensus

import (
	"sort"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

const (
	// waitingMs is how long a router that asked is told of a change.
	waitingMs   = 10_000
	demandMs    = 500
	waitingMost = 4096
)

// index is the placement index as it answers routers. Any controller that
// follows answers; only the primary acts on the demand.
type index struct {
	looked  uint64
	waiting map[choice.Key]map[string]int64
	counts  map[string]int64
	toldMs  int64
}

func (m *Machine) ageMs() int64 {
	if m.active() {
		return 0
	}
	return m.nowMs - m.election.heardMs
}

func (m *Machine) lookUp(e protocol.Envelope, ask protocol.LookUp) {
	m.index.looked++
	key := choice.Key{Service: ask.Service, Model: ask.Model, Adapter: ask.Adapter}
	answer := protocol.LookUpReply{ID: ask.ID, Key: key.String(), At: m.state.Position, AgeMs: m.ageMs(), Behind: m.described == nil}
	if m.described != nil {
		if service, ok := m.described.Service(ask.Service); ok && (ask.Model == "" || service.Allows(ask.Model)) {
			m.index.counts[key.String()]++
			line := m.table.Look(key, m.described, m.state, m.softNow())
			answer.Holders, answer.Loading = line.Holders, line.Loading
			answer.TurnMs = turnOf(m.softNow(), key, line)
			if len(line.Holders) == 0 && len(m.index.waiting) < waitingMost {
				if m.index.waiting[key] == nil {
					m.index.waiting[key] = map[string]int64{}
				}
				m.index.waiting[key][e.From.Name] = m.nowMs
			}
		}
	}
	m.reply(e, answer)
}

// turnOf is the turn of a key that no runner holds.
func turnOf(soft protocol.Hints, key choice.Key, line choice.Line) int64 {
	if len(line.Holders) > 0 {
		return 0
	}
	return soft.Turns[key.Item().String()]
}

func (m *Machine) softNow() protocol.Hints {
	if m.isPrimary() {
		return m.duty.soft(m.nowMs)
	}
	return m.replication.soft
}

// tellWaiting tells routers that asked lately of what has become loaded.
func (m *Machine) tellWaiting() {
	if m.described == nil {
		return
	}
	keys := make([]choice.Key, 0, len(m.index.waiting))
	for key := range m.index.waiting {
		keys = append(keys, key)
	}
	// In one order, so that a run can be repeated exactly.
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	for _, key := range keys {
		routers := m.index.waiting[key]
		for name, atMs := range routers {
			if m.nowMs-atMs > waitingMs {
				delete(routers, name)
			}
		}
		line := choice.Line{}
		if len(routers) > 0 {
			line = m.table.Look(key, m.described, m.state, m.softNow())
		}
		if len(line.Holders) > 0 {
			for _, place := range m.roster.NodesOf(protocol.RoleRouter) {
				if _, asked := routers[place.Name]; asked {
					m.send(place, protocol.LookUpReply{Key: key.String(), At: m.state.Position, AgeMs: m.ageMs(), Holders: line.Holders})
				}
			}
		}
		if len(routers) == 0 || len(line.Holders) > 0 {
			delete(m.index.waiting, key)
		}
	}
}

// tellWaited tells a router what is loaded of what its requests wait for.
func (m *Machine) tellWaited(to protocol.Node, keys []protocol.LookUp) {
	if m.described == nil {
		return
	}
	for _, ask := range keys {
		key := choice.Key{Service: ask.Service, Model: ask.Model, Adapter: ask.Adapter}
		line := m.table.Look(key, m.described, m.state, m.softNow())
		if len(line.Holders) > 0 {
			m.send(to, protocol.LookUpReply{Key: key.String(), At: m.state.Position, Holders: line.Holders})
			continue
		}
		if turnMs := turnOf(m.softNow(), key, line); turnMs > 0 {
			m.send(to, protocol.LookUpReply{Key: key.String(), At: m.state.Position, Loading: line.Loading, TurnMs: turnMs})
		}
		if service, ok := m.described.Service(ask.Service); ok && service.Allows(ask.Model) {
			m.duty.waited(m.nowMs, ask.Model, ask.Adapter)
		}
	}
}

// tickIndex brings the demand to the primary.
func (m *Machine) tickIndex() {
	if m.nowMs-m.index.toldMs < demandMs {
		return
	}
	m.index.toldMs = m.nowMs
	// Burdens and darkness are not rows, so the table is compiled anew at times.
	m.table.Forget()
	m.tellWaiting()
	if len(m.index.counts) == 0 {
		return
	}
	demand := protocol.DemandReport{Counts: m.index.counts}
	m.index.counts = map[string]int64{}
	if m.record.Primary != "" {
		m.sendName(m.record.Primary, demand)
	}
}

func (m *Machine) demanded(said protocol.DemandReport) {
	if m.isPrimary() {
		m.duty.demanded(m.nowMs, said)
	}
}
