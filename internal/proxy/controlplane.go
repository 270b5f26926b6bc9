package proxy

import (
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// primarySilent says that the primary has given no word for too long.
func (m *Machine) primarySilent() bool { return m.nowMs-m.primaryConfirmedMs > primarySilentMs }

// pollPrimary is the constant question to the primary; it says as well that this
// router lives.
func (m *Machine) pollPrimary() {
	m.lastPollMs = m.nowMs
	if place, ok := m.roster.Node(m.primary); ok && m.primary != "" {
		m.sendMessage(place, protocol.ConfigPoll{
			EchoMs: m.nowMs, Version: m.mapVersion, Sum: m.mapSum, LeavingSum: m.drainingSum, ControllersSum: m.controllersSum,
		})
	}
}

// searchPrimary looks for the primary: at all seeds, and since seeds may be gone, at
// one known controller after the other.
func (m *Machine) searchPrimary() {
	m.lastSearchMs = m.nowMs
	for _, seed := range m.seeds {
		m.effects.Sends = append(m.effects.Sends, protocol.Send{Address: seed, Body: protocol.PeersRequest{}})
	}
	known := m.roster.NodesOf(protocol.RoleController)
	known = slices.DeleteFunc(known, func(p protocol.Node) bool { return slices.Contains(m.seeds, p.Address) })
	if len(known) > 0 {
		m.sendMessage(known[int(m.nowMs/searchEachMs)%len(known)], protocol.PeersRequest{})
	}
}

// receive handles a message of another daemon. One that is not meant for this
// daemon is counted and ignored.
func (m *Machine) receive(e protocol.Envelope) {
	if e.Site != m.settings.Site {
		m.countError(errkind.WrongSite)
		return
	}
	// An address may have passed to another daemon.
	if e.To != "" && e.To != m.settings.Self.Name {
		m.countError(errkind.WrongDaemon)
		return
	}
	m.roster.Observe(m.nowMs, e.From)
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
	case protocol.PeersRequest:
		m.sendMessage(e.From, protocol.PeersReply{Peers: m.roster.Nodes(), Record: protocol.EpochRecord{Epoch: m.epoch, Primary: m.primary}})
	case protocol.PeersReply:
		m.roster.AddNodes(m.nowMs, body.Peers)
		m.observePrimary(body.Record.Epoch, body.Record.Primary)
	case protocol.PollRequest:
		m.observePrimary(body.Epoch, e.From.Name)
	case protocol.PrimaryQuery:
		if body.Epoch == m.epoch {
			m.sendMessage(e.From, protocol.PrimaryReply{Epoch: body.Epoch, HeardMs: m.nowMs - m.primaryConfirmedMs})
		}
	case protocol.ConfigUpdate:
		m.applyConfigUpdate(e.From, body)
	case protocol.IndexReply:
		m.applyIndexReply(body)
	default:
		m.countError(errkind.Malformed)
	}
}

// observePrimary takes a newer primary as the one to ask, and asks it. Only its own
// word makes its epoch the least that is listened to.
func (m *Machine) observePrimary(epoch uint64, primary string) {
	if epoch < max(m.epoch, m.highestSeenEpoch) || epoch == 0 || primary == "" || primary == m.settings.Self.Name {
		return
	}
	m.highestSeenEpoch = epoch
	if primary != m.primary || m.primarySilent() && m.nowMs-m.lastPollMs >= pollEachMs/3 {
		m.primary = primary
		m.pollPrimary()
	}
}

// applyConfigUpdate takes the primary's word, asked or not.
func (m *Machine) applyConfigUpdate(from protocol.Node, w protocol.ConfigUpdate) {
	if w.Epoch < m.epoch {
		m.countError(errkind.LowerEpoch)
		return
	}
	if w.EchoMs > m.nowMs {
		return
	}
	m.epoch, m.primary = w.Epoch, from.Name
	if w.EchoMs > m.primaryConfirmedMs {
		m.primaryConfirmedMs = w.EchoMs
		// Only an answer to what was asked since tells of what was missed.
		if w.EchoMs >= m.stallGuardUntilMs-stallGuardMs {
			m.stallGuardUntilMs = 0
		}
		m.listedRunners = nil
	}
	if len(w.Controllers) > 0 {
		m.nearestController = nearest(m.settings.Self, w.Controllers)
		m.controllersSum = 0
		if m.roster.AddNodes(m.nowMs, w.Controllers) {
			m.controllersSum = w.ControllersSum
		}
	}
	if w.LeavingSum != m.drainingSum || w.LeavingSum == 0 {
		m.reportedDraining, m.drainingSum = w.Leaving, w.LeavingSum
		for _, id := range w.Leaving {
			m.markDraining(id)
		}
	}
	if w.Routers > 0 && w.Routers != m.routerCount {
		m.routerCount = w.Routers
		for _, b := range m.retryBudgets {
			b.resize(m.settings.Bounds.ExtraTries, m.routerCount)
		}
	}
	m.activateMap(w)
	m.dispatchQueue()
}

// activateMap takes a newer map into use. A router never goes back.
func (m *Machine) activateMap(w protocol.ConfigUpdate) {
	if w.Version <= m.mapVersion {
		return
	}
	if len(w.Packed) > 0 {
		text, err := protocol.Decompress(w.Packed)
		if err != nil || protocol.Digest(text) != w.Sum {
			m.countError(errkind.Malformed)
			return
		}
		w.Text = text
	}
	if w.Text == "" {
		// It was told that there is one; the answer brings it.
		if w.EchoMs == 0 {
			m.pollPrimary()
		}
		return
	}
	document, faults := m.format.Parse([]byte(w.Text))
	if len(faults) > 0 || document == nil {
		m.countError(errkind.Malformed)
		return
	}
	document.BuildIndex()
	m.mapVersion, m.mapSum = w.Version, w.Sum
	m.serviceMap.Store(document)
	m.logf("map version %d is in use", w.Version)
}
