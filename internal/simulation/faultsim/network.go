package faultsim

import (
	"math/rand"

	"myrtlewinch/internal/protocol"
)

const (
	usualLatencyMs = 3
	// One transmission of slowOneIn takes up to slowLatencyMs.
	slowOneIn     = 50
	slowLatencyMs = 40
)

// drawLatencyMs draws how long an undisturbed transmission takes. The order of
// the draws is part of what a seed means.
func drawLatencyMs(random *rand.Rand) int64 {
	tookMs := 1 + random.Int63n(usualLatencyMs)
	if random.Intn(slowOneIn) == 0 {
		tookMs = 1 + random.Int63n(slowLatencyMs)
	}
	return tookMs
}

// cut stops all transmissions between two groups; with oneWay only those from
// the first to the second.
func (sim *Simulation) cut(from, to []string, oneWay bool) {
	sim.logf("cut %v | %v, one way: %v", from, to, oneWay)
	for _, link := range sim.network.Cut(from, to, oneWay) {
		sim.noteControllerLink(link.From, link.To)
	}
	sim.connectivity.observe()
}

// noteControllerLink notes that a link was cut or healed, if it joins two
// controllers.
func (sim *Simulation) noteControllerLink(a, b string) {
	first, second := sim.nodes[a], sim.nodes[b]
	if first != nil && second != nil && first.isController() && second.isController() {
		sim.connectivity.coreDisturbedMs = sim.NowMs()
	}
}

// heal ends all faults of the network.
func (sim *Simulation) heal() {
	sim.logf("the network heals")
	sim.connectivity.observe()
	for _, link := range sim.network.Heal() {
		sim.noteControllerLink(link.From, link.To)
	}
	sim.healedAtMs = sim.NowMs()
}

// maxExternalDelayMs bounds the additional delay of requests, orders and their
// answers: the rules allow for no more, as what was written can't be recalled.
const maxExternalDelayMs = 300

// transmit carries something from one name to another, unless the link is cut.
func (sim *Simulation) transmit(from, to string, arrive, lost func()) {
	maxDelayMs := sim.network.MaxDelayMs
	isBetweenNodes := sim.nodes[from] != nil && sim.nodes[to] != nil
	if !isBetweenNodes {
		maxDelayMs = min(maxDelayMs, maxExternalDelayMs)
	}
	sim.network.Transmit(from, to, maxDelayMs, arrive, lost)
}

// sendMessage carries a message between daemons; it may be lost, delayed or
// duplicated.
func (sim *Simulation) sendMessage(from *node, send protocol.Send) {
	copies := 1
	switch body := send.Body.(type) {
	case protocol.IndexLookUp:
		sim.Checker.recordLookUp(from, body)
		if sim.Bugs.DuplicateLookUp {
			sim.Checker.recordLookUp(from, body)
			copies++
		}
	case protocol.ConfigUpdate:
		send.Body = sim.tamperUpdate(body)
	}
	to := sim.nodeAt(send.Address)
	if to == nil || sim.network.DrawLoss() {
		return
	}
	if sim.network.DrawDuplicate() {
		copies++
	}
	envelope := protocol.Envelope{Site: siteName, From: from.identity(), To: send.To, Body: send.Body}
	for range copies {
		sim.transmit(from.name, to.name, func() { sim.deliver(to, to.incarnation, envelope) }, nil)
	}
}

// nodeAt finds the node that has an address, or nil.
func (sim *Simulation) nodeAt(address string) *node {
	for _, name := range sim.nodeNames() {
		if n := sim.nodes[name]; n.address+daemonPort == address {
			return n
		}
	}
	return nil
}

// tamperUpdate changes an update for routers as the injected bugs would.
func (sim *Simulation) tamperUpdate(update protocol.ConfigUpdate) protocol.ConfigUpdate {
	if sim.Bugs.HideDraining {
		update.Leaving = nil
	}
	if sim.Bugs.WithholdConfig && update.Version > 1 {
		update.Version, update.Text = 1, ""
	}
	return update
}
