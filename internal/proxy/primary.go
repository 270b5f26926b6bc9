package proxy

import (
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// silent says that the primary has given no word for too long.
func (m *Machine) silent() bool { return m.nowMs-m.heardMs > silentMs }

// ask is the constant question to the primary; it says as well that this
// router lives.
func (m *Machine) ask() {
	m.askedMs = m.nowMs
	if place, ok := m.roster.Node(m.primary); ok && m.primary != "" {
		m.send(place, protocol.ConfigPoll{
			EchoMs: m.nowMs, Version: m.version, Sum: m.sum, LeavingSum: m.leavingSum, ControllersSum: m.controllersSum,
		})
	}
}

// hello looks for the primary: at all seeds, and since seeds may be gone, at
// one known controller after the other.
func (m *Machine) hello() {
	m.helloMs = m.nowMs
	for _, seed := range m.seeds {
		m.out.Sends = append(m.out.Sends, protocol.Send{Address: seed, Body: protocol.PeersRequest{}})
	}
	known := m.roster.NodesOf(protocol.RoleController)
	known = slices.DeleteFunc(known, func(p protocol.Node) bool { return slices.Contains(m.seeds, p.Address) })
	if len(known) > 0 {
		m.send(known[int(m.nowMs/helloMs)%len(known)], protocol.PeersRequest{})
	}
}

// receive handles a message of another daemon. One that is not meant for this
// daemon is counted and ignored.
func (m *Machine) receive(e protocol.Envelope) {
	if e.Site != m.set.Site {
		m.count(errkind.WrongSite)
		return
	}
	// An address may have passed to another daemon.
	if e.To != "" && e.To != m.set.Self.Name {
		m.count(errkind.WrongDaemon)
		return
	}
	m.roster.Observe(m.nowMs, e.From)
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
	case protocol.PeersRequest:
		m.send(e.From, protocol.PeersReply{Peers: m.roster.Nodes(), Record: protocol.EpochRecord{Epoch: m.epoch, Primary: m.primary}})
	case protocol.PeersReply:
		m.roster.AddNodes(m.nowMs, body.Peers)
		m.heed(body.Record.Epoch, body.Record.Primary)
	case protocol.PollRequest:
		m.heed(body.Epoch, e.From.Name)
	case protocol.PrimaryQuery:
		if body.Epoch == m.epoch {
			m.send(e.From, protocol.PrimaryReply{Epoch: body.Epoch, HeardMs: m.nowMs - m.heardMs})
		}
	case protocol.ConfigUpdate:
		m.word(e.From, body)
	case protocol.IndexReply:
		m.indexed(body)
	default:
		m.count(errkind.Malformed)
	}
}

// heed takes a newer primary as the one to ask, and asks it. Only its own
// word makes its epoch the least that is listened to.
func (m *Machine) heed(epoch uint64, primary string) {
	if epoch < max(m.epoch, m.heeded) || epoch == 0 || primary == "" || primary == m.set.Self.Name {
		return
	}
	m.heeded = epoch
	if primary != m.primary || m.silent() && m.nowMs-m.askedMs >= askMs/3 {
		m.primary = primary
		m.ask()
	}
}

// word takes the primary's word, asked or not.
func (m *Machine) word(from protocol.Node, w protocol.ConfigUpdate) {
	if w.Epoch < m.epoch {
		m.count(errkind.LowerEpoch)
		return
	}
	if w.EchoMs > m.nowMs {
		return
	}
	m.epoch, m.primary = w.Epoch, from.Name
	if w.EchoMs > m.heardMs {
		m.heardMs = w.EchoMs
		// Only an answer to what was asked since tells of what was missed.
		if w.EchoMs >= m.thawUntilMs-thawMs {
			m.thawUntilMs = 0
		}
		m.listed = nil
	}
	if len(w.Controllers) > 0 {
		m.near = nearest(m.set.Self, w.Controllers)
		m.controllersSum = 0
		if m.roster.AddNodes(m.nowMs, w.Controllers) {
			m.controllersSum = w.ControllersSum
		}
	}
	if w.LeavingSum != m.leavingSum || w.LeavingSum == 0 {
		m.leavingTold, m.leavingSum = w.Leaving, w.LeavingSum
		for _, id := range w.Leaving {
			m.leaves(id)
		}
	}
	if w.Routers > 0 && w.Routers != m.routers {
		m.routers = w.Routers
		for _, b := range m.budgets {
			b.size(m.set.Bounds.ExtraTries, m.routers)
		}
	}
	m.bring(w)
	m.wake()
}

// bring takes a newer map into use. A router never goes back.
func (m *Machine) bring(w protocol.ConfigUpdate) {
	if w.Version <= m.version {
		return
	}
	if len(w.Packed) > 0 {
		text, err := protocol.Decompress(w.Packed)
		if err != nil || protocol.Digest(text) != w.Sum {
			m.count(errkind.Malformed)
			return
		}
		w.Text = text
	}
	if w.Text == "" {
		// It was told that there is one; the answer brings it.
		if w.EchoMs == 0 {
			m.ask()
		}
		return
	}
	document, faults := m.format.Parse([]byte(w.Text))
	if len(faults) > 0 || document == nil {
		m.count(errkind.Malformed)
		return
	}
	document.BuildIndex()
	m.version, m.sum = w.Version, w.Sum
	m.current.Store(document)
	m.note("map version %d is in use", w.Version)
}
