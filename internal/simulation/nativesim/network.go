package nativesim

import (
	"bytes"
	"encoding/gob"
	"math/rand"

	"myrtlewinch/internal/protocol"
)

// NetworkCounters counts the messages between daemons, and with World.countBytes
// their bytes.
type NetworkCounters struct{ Messages, Lost, LookUps, Bytes uint64 }

const (
	usualLatencyMs = 3
	// One transmission in slowOneIn takes up to slowLatencyMs.
	slowOneIn     = 50
	slowLatencyMs = 40
	// maxRequestDelayMs bounds the additional delay of a request and its response.
	// A router can't recall what it has written, so with a longer delay a request
	// could reach a leaving runner after the end of its grace time.
	maxRequestDelayMs = 800
)

// drawLatencyMs draws how long a transmission without faults takes. Another
// order of the draws changes what each seed does.
func drawLatencyMs(random *rand.Rand) int64 {
	if random.Intn(slowOneIn) == 0 {
		return 1 + random.Int63n(slowLatencyMs)
	}
	return 1 + random.Int63n(usualLatencyMs)
}

// Partition blocks all messages between two groups of endpoints. With oneWay it
// blocks only messages from the first group to the second.
func (w *World) Partition(from, to []string, oneWay bool) {
	w.tracef("partition between %v and %v", from, to)
	w.links.Partition(from, to, oneWay)
}

// Heal ends all faults of the network.
func (w *World) Heal() {
	w.tracef("all network faults end")
	w.links.Heal()
}

// transmit calls arrive once a transmission from one endpoint reaches the
// other. If the link is blocked then, it does not call arrive, and it calls
// lost unless lost is nil.
func (w *World) transmit(from, to string, arrive func(), lost func()) {
	w.links.Transmit(from, to, w.maxDelayBetween(from, to), arrive, lost)
}

// maxDelayBetween returns the bound on the additional delay between two
// endpoints.
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

// send sends a message from one daemon to another. The message may be lost or
// duplicated.
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

// encodedSize returns the size in bytes of a message that is encoded alone.
func encodedSize(e protocol.Envelope) uint64 {
	var text bytes.Buffer
	if gob.NewEncoder(&text).Encode([]protocol.Envelope{e}) != nil {
		return 0
	}
	return uint64(text.Len())
}
