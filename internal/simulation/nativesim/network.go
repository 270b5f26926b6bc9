package nativesim

import (
	"bytes"
	"encoding/gob"
	"math/rand"

	"myrtlewinch/internal/protocol"
)

// NetworkTally counts the messages between daemons, and their bytes if they
// were asked for.
type NetworkTally struct{ Messages, Lost, LookUps, Bytes uint64 }

const (
	usualLatencyMs = 3
	// One transmission of slowOneIn takes up to slowLatencyMs.
	slowOneIn     = 50
	slowLatencyMs = 40
	// maxRequestDelayMs bounds the additional delay of a request and its answer:
	// what a router wrote can't be called back, and the time of a leaving runner
	// would be up meanwhile.
	maxRequestDelayMs = 800
)

// drawLatencyMs draws how long an undisturbed transmission takes. The order of
// the draws is part of what a seed means.
func drawLatencyMs(random *rand.Rand) int64 {
	if random.Intn(slowOneIn) == 0 {
		return 1 + random.Int63n(slowLatencyMs)
	}
	return 1 + random.Int63n(usualLatencyMs)
}

// Cut stops all messages between two groups; with oneWay only those from the
// first.
func (w *World) Cut(from, to []string, oneWay bool) {
	w.tracef("cut %v | %v", from, to)
	w.links.Cut(from, to, oneWay)
}

// Heal ends all faults of the network.
func (w *World) Heal() {
	w.tracef("the network heals")
	w.links.Heal()
}

// transmit carries something from one endpoint to another. If the link is cut
// it calls lost instead, unless that is nil.
func (w *World) transmit(from, to string, arrive func(), lost func()) {
	w.links.Transmit(from, to, w.maxDelayBetween(from, to), arrive, lost)
}

// maxDelayBetween bounds the additional delay between two endpoints.
func (w *World) maxDelayBetween(from, to string) int64 {
	isRequest := w.isRouter(from) && w.runners[to] != nil || w.isRouter(to) && w.runners[from] != nil
	if isRequest {
		return maxRequestDelayMs
	}
	return w.links.MaxDelayMs
}

func (w *World) isRouter(endpoint string) bool {
	n := w.nodes[endpoint]
	return n != nil && n.role == protocol.RoleRouter
}

// send sends a message between daemons, which may be lost or duplicated.
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
	if poll, isPoll := send.Body.(protocol.RouterPoll); isPoll && w.Bugs.HideRenewals {
		poll.GivenMs = 0
		send.Body = poll
	}
	envelope := protocol.Envelope{Site: w.Description.Site, From: w.identity(n), To: send.To, Body: send.Body}
	if w.countBytes {
		w.Network.Bytes += encodedSize(envelope)
	}
	copies := 1
	if w.links.DrawDuplicate() {
		copies = 2
	}
	for range copies {
		w.transmitEnvelope(n.name, to, envelope)
	}
}

func (w *World) transmitEnvelope(from, to string, envelope protocol.Envelope) {
	arrive := func() {
		if target := w.nodes[to]; target != nil {
			w.deliver(target.process(), envelope)
		}
	}
	w.transmit(from, to, arrive, func() { w.Network.Lost++ })
}

// encodedSize is the size of a message as it is sent alone between daemons.
func encodedSize(e protocol.Envelope) uint64 {
	var text bytes.Buffer
	if gob.NewEncoder(&text).Encode([]protocol.Envelope{e}) != nil {
		return 0
	}
	return uint64(text.Len())
}
