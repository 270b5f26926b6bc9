package nativesim

import (
	"bytes"
	"encoding/gob"

	"myrtlewinch/internal/protocol"
)

// NetworkTally counts the control traffic.
type NetworkTally struct{ Messages, Lost, LookUps, Bytes uint64 }

// Cut stops all messages between two groups; with oneWay only from the first.
func (w *World) Cut(from, to []string, oneWay bool) {
	w.tracef("cut %v | %v", from, to)
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			w.cuts[[2]string{a, b}] = true
			if !oneWay {
				w.cuts[[2]string{b, a}] = true
			}
		}
	}
}

// Heal ends all cuts and all loss.
func (w *World) Heal() {
	w.tracef("the network heals")
	w.cuts = map[[2]string]bool{}
	w.lossRate, w.duplicateRate, w.delayRate = 0, 0, 0
}

func (w *World) latencyMs() int64 {
	if w.Random.Intn(50) == 0 {
		return 1 + w.Random.Int63n(40)
	}
	return 1 + w.Random.Int63n(3)
}

// transmit carries something from one name to another, unless the network is cut.
func (w *World) transmit(from, to string, arrive func(), lost func()) {
	tookMs := w.latencyMs()
	if w.delayRate > 0 && w.Random.Float64() < w.delayRate {
		tookMs += w.Random.Int63n(w.maxDelayBetween(from, to))
	}
	w.events.After(tookMs, func() {
		if w.cuts[[2]string{from, to}] {
			if lost != nil {
				lost()
			}
			return
		}
		arrive()
	})
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
	return w.maxDelayMs
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
	if w.lossRate > 0 && w.Random.Float64() < w.lossRate {
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
	if w.duplicateRate > 0 && w.Random.Float64() < w.duplicateRate {
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
