package nativesim

import (
	"bytes"
	"encoding/gob"

	"myrtlewinch/internal/protocol"
)

// NetTally counts the control traffic.
type NetTally struct{ Messages, Lost, LookUps, Bytes uint64 }

// Cut stops all messages between two groups; with oneWay only from the first.
func (w *World) Cut(from, to []string, oneWay bool) {
	w.note("cut %v | %v", from, to)
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
	w.note("the network heals")
	w.cuts = map[[2]string]bool{}
	w.lossPart, w.twicePart, w.latePart = 0, 0, 0
}

func (w *World) latencyMs() int64 {
	if w.Random.Intn(50) == 0 {
		return 1 + w.Random.Int63n(40)
	}
	return 1 + w.Random.Int63n(3)
}

// pass carries something from one name to another, unless the network is cut.
func (w *World) pass(from, to string, arrive func(), lost func()) {
	tookMs := w.latencyMs()
	if w.latePart > 0 && w.Random.Float64() < w.latePart {
		tookMs += w.Random.Int63n(w.lateness(from, to))
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

// requestLateMs bounds how late a request or its answer comes: what a router
// wrote can't be called back, and a leaver's time would be up meanwhile.
const requestLateMs = 800

func (w *World) lateness(from, to string) int64 {
	for _, end := range []string{from, to} {
		if n := w.nodes[end]; n != nil && n.part == protocol.Router && (w.runners[from] != nil || w.runners[to] != nil) {
			return requestLateMs
		}
	}
	return w.lateMs
}

func (w *World) send(n *node, send protocol.Send) {
	to, ok := w.address[send.Address]
	if !ok {
		return
	}
	w.Net.Messages++
	if _, isLookUp := send.Body.(protocol.LookUp); isLookUp {
		w.Net.LookUps++
	}
	if w.lossPart > 0 && w.Random.Float64() < w.lossPart {
		w.Net.Lost++
		return
	}
	if ask, isAsk := send.Body.(protocol.RouterPoll); isAsk && w.Breaks.NoGiven {
		ask.GivenMs = 0
		send.Body = ask
	}
	envelope := protocol.Envelope{Site: w.Site.Site, From: w.place(n), To: send.To, Body: send.Body}
	if w.weigh {
		w.Net.Bytes += weight(envelope)
	}
	times := 1
	if w.twicePart > 0 && w.Random.Float64() < w.twicePart {
		times = 2
	}
	for range times {
		w.pass(n.name, to, func() {
			if target := w.nodes[to]; target != nil {
				w.put(target, target.life, envelope)
			}
		}, func() { w.Net.Lost++ })
	}
}

// weight is the size of a message as it is sent alone between daemons.
func weight(e protocol.Envelope) uint64 {
	var text bytes.Buffer
	if gob.NewEncoder(&text).Encode([]protocol.Envelope{e}) != nil {
		return 0
	}
	return uint64(text.Len())
}
