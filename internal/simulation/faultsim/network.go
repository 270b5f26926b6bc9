package faultsim

import (
	"math/rand"

	"myrtlewinch/internal/protocol"
)

const (
	usualLatencyMs = 3
	// One transmission in slowOneIn takes up to slowLatencyMs, any other up to usualLatencyMs.
	slowOneIn     = 50
	slowLatencyMs = 40
)

// drawLatencyMs draws how long a transmission takes on a network without faults. The order of the
// draws must not change, because a seed would then give another run.
func drawLatencyMs(random *rand.Rand) int64 {
	tookMs := 1 + random.Int63n(usualLatencyMs)
	if random.Intn(slowOneIn) == 0 {
		tookMs = 1 + random.Int63n(slowLatencyMs)
	}
	return tookMs
}

// partition partitions the network between two groups. With oneWay it only stops transmissions
// from the first group to the second.
func (sim *Simulation) partition(from, to []string, oneWay bool) {
	sim.logf("partition between %v and %v, one way: %v", from, to, oneWay)
	for _, link := range sim.network.Partition(from, to, oneWay) {
		sim.recordControllerLinkFault(link.From, link.To)
	}
	sim.connectivity.observe()
}

// recordControllerLinkFault records a fault of the controllers if a link between two of them was
// blocked or healed.
func (sim *Simulation) recordControllerLinkFault(a, b string) {
	first, second := sim.nodes[a], sim.nodes[b]
	if first != nil && second != nil && first.isController() && second.isController() {
		sim.connectivity.lastControllerFaultMs = sim.NowMs()
	}
}

// heal ends all partitions and other faults of the network.
func (sim *Simulation) heal() {
	sim.logf("all network faults end")
	sim.connectivity.observe()
	for _, link := range sim.network.Heal() {
		sim.recordControllerLinkFault(link.From, link.To)
	}
	sim.healedAtMs = sim.NowMs()
}

// maxExternalDelayMs bounds the additional delay of requests, orders and their responses. The rules
// tolerate no more, because what was written to a connection cannot be withdrawn.
const maxExternalDelayMs = 300

// transmit calls arrive once a transmission from one endpoint to another arrives. If the link is
// blocked at that time, it does not call arrive, and it calls lost unless lost is nil.
func (sim *Simulation) transmit(from, to string, arrive, lost func()) {
	maxDelayMs := sim.network.MaxDelayMs
	isBetweenNodes := sim.nodes[from] != nil && sim.nodes[to] != nil
	if !isBetweenNodes {
		maxDelayMs = min(maxDelayMs, maxExternalDelayMs)
	}
	sim.network.Transmit(from, to, maxDelayMs, arrive, lost)
}

// sendMessage sends a message from one daemon to another. It may be lost, delayed or duplicated.
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
		send.Body = sim.applyUpdateBugs(body)
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

// nodeAt returns the node with the given address for daemons, or nil.
func (sim *Simulation) nodeAt(address string) *node {
	for _, name := range sim.nodeNames() {
		if n := sim.nodes[name]; n.address+daemonPort == address {
			return n
		}
	}
	return nil
}

// applyUpdateBugs changes an update for routers according to the injected bugs.
func (sim *Simulation) applyUpdateBugs(update protocol.ConfigUpdate) protocol.ConfigUpdate {
	if sim.Bugs.HideDraining {
		update.Leaving = nil
	}
	if sim.Bugs.WithholdConfig && update.Version > 1 {
		update.Version, update.Text = 1, ""
	}
	return update
}
