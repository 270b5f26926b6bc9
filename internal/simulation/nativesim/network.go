package nativesim

import (
	"bytes"
	"encoding/gob"
	"math/rand"

	"myrtlewinch/internal/protocol"
)

// NetworkTally counts the control traffic.
type NetworkTally struct{ Messages, Lost, LookUps, Bytes uint64 }

const (
	usualLatencyMs = 3
	// One transmission of slowOneIn takes up to slowLatencyMs.
	slowOneIn     = 50
	slowLatencyMs = 40
)

// drawLatencyMs draws how long an undisturbed transmission takes. The order of
// the draws is part of what a seed means.
func drawLatencyMs(random *rand.Rand) int64 {
	if random.Intn(slowOneIn) == 0 {
		return 1 + random.Int63n(slowLatencyMs)
	}
	return 1 + random.Int63n(usualLatencyMs)
}

// Cut stops all messages between two groups; with oneWay only from the first.
func (w *World) Cut(from, to []string, oneWay bool) {
	w.tracef("cut %v | %v", from, to)
	w.links.Cut(from, to, oneWay)
}

// Heal ends all faults of the network.
func (w *World) Heal() {
	w.tracef("the network heals")
	w.links.Heal()
}

// transmit carries something from one name to another, unless the link is cut.
func (w *World) transmit(from, to string, arrive func(), lost func()) {
	w.links.Transmit(from, to, w.maxDelayBetween(from, to), arrive, lost)
}

// maxRequestDelayMs bounds how late a request or its answer comes: what a router
// wrote can't be called back, and a leaver's time would be up meanwhile.
const maxRequestDelayMs = 800

func (w *World) maxDelayBetween(from, to string) int64 {
	for _, end := range []string{from, to} {
		if n := w.nodes[end]; n != nil && n.role == protocol.RoleRouter && (w.runners[from] != nil || w.runners[to] != nil) {
			return maxRequestDelayMs
		}
	}
	return w.links.MaxDelayMs
}

func (w *World) send(n *node, send protocol.Send) {
	to, ok := w.nodeAt[send.Address]
	if !ok {
		return
	}
	w.Network.Messages++
	if _, isLookUp := send.Body.(protocol.LookUp); isLookUp {
		w.Network.LookUps++
	}
	if w.links.DrawLoss() {
		w.Network.Lost++
		return
	}
	if ask, isAsk := send.Body.(protocol.RouterPoll); isAsk && w.Bugs.HideRenewals {
		ask.GivenMs = 0
		send.Body = ask
	}
	envelope := protocol.Envelope{Site: w.Description.Site, From: w.identity(n), To: send.To, Body: send.Body}
	if w.countBytes {
		w.Network.Bytes += encodedSize(envelope)
	}
	times := 1
	if w.links.DrawDuplicate() {
		times = 2
	}
	for range times {
		w.transmit(n.name, to, func() {
			if target := w.nodes[to]; target != nil {
				w.deliver(target, target.incarnation, envelope)
			}
		}, func() { w.Network.Lost++ })
	}
}

// encodedSize is the size of a message as it is sent alone between daemons.
func encodedSize(e protocol.Envelope) uint64 {
	var text bytes.Buffer
	if gob.NewEncoder(&text).Encode([]protocol.Envelope{e}) != nil {
		return 0
	}
	return uint64(text.Len())
}
