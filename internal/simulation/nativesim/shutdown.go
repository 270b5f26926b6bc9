package nativesim

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// Shutdown stops a daemon as planned: a primary steps down, a router lets what it
// has taken end.
func (w *World) Shutdown(name string) {
	n := w.nodes[name]
	w.tracef("%s is stopped as planned", name)
	if n.role == protocol.RoleController {
		w.deliver(n, n.incarnation, consensus.Leave{})
		w.Run(300)
	} else {
		w.deliver(n, n.incarnation, router.Drain{})
		for end := w.events.NowMs() + 10_000; len(n.pending) > 0 && w.events.NowMs() < end; {
			w.Run(20)
		}
	}
	w.Kill(name)
}

// RollingRestart stops and starts every daemon, one after the other.
func (w *World) RollingRestart() {
	for _, name := range w.nodeNames("") {
		w.Shutdown(name)
		w.Run(1000)
		w.Start(name)
		w.Run(3000)
	}
}
