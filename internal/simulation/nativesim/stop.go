package nativesim

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// Stop stops a daemon as planned: a primary steps down, a router lets what it
// has taken end.
func (w *World) Stop(name string) {
	n := w.nodes[name]
	w.note("%s is stopped as planned", name)
	if n.part == protocol.Controller {
		w.put(n, n.life, consensus.Leave{})
		w.Run(300)
	} else {
		w.put(n, n.life, router.Leave{})
		for end := w.events.NowMs() + 10_000; len(n.under) > 0 && w.events.NowMs() < end; {
			w.Run(20)
		}
	}
	w.Kill(name)
}

// RollingRestart stops and starts every daemon, one after the other.
func (w *World) RollingRestart() {
	for _, name := range w.names("") {
		w.Stop(name)
		w.Run(1000)
		w.Start(name)
		w.Run(3000)
	}
}
