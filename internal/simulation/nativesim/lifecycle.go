package nativesim

import (
	"fmt"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// The planned operations on a daemon: move, replace, shut down, restart.

// nextAddress returns a new, unused address for a daemon.
func (w *World) nextAddress(name string) string {
	w.moves++
	return fmt.Sprintf("%s:%d", name, 1+w.moves)
}

// Move gives a daemon a new address, and other controllers as seeds. The daemon
// must be down.
func (w *World) Move(name string) {
	n := w.nodes[name]
	delete(w.nodeAt, n.address)
	n.address = w.nextAddress(name)
	w.nodeAt[n.address] = name
	n.seeds = nil
	for _, controller := range w.nodeNames(protocol.RoleController) {
		if controller != name && len(n.seeds) < seedCount {
			n.seeds = append(n.seeds, w.nodes[controller].address)
		}
	}
	w.tracef("%s moves to %s", name, n.address)
}

// StartReplacement starts a replacement of a daemon at a new address, with an
// empty disk, while the old process still exists, frozen. It returns the name of
// the old daemon in World.nodes.
func (w *World) StartReplacement(name string) (oldName string) {
	old := w.nodes[name]
	oldName = name + "'"
	w.Freeze(name)
	// Its incarnation must not change with the name.
	old.name, old.incarnationName = oldName, name
	delete(w.nodes, name)
	w.nodes[oldName] = old
	n := w.addNode(description.Member{Name: name, Zone: old.zone}, old.role)
	n.address = w.nextAddress(name)
	w.nodeAt[old.address], w.nodeAt[n.address] = oldName, name
	n.seeds, n.incarnation = old.seeds, old.incarnation
	if old.disk != nil {
		n.disk = old.disk.Successor(name)
		w.tracef("the replacement of %s has an empty disk", name)
	}
	w.tracef("a replacement of %s starts while the old daemon is frozen", name)
	w.Start(name)
	return oldName
}

const (
	// stepDownMs is how long a controller may take to step down.
	stepDownMs = 300
	// maxDrainMs is how long a router may take to finish its requests.
	maxDrainMs = 10_000
)

// Shutdown stops a daemon gracefully: a primary steps down, a router drains.
func (w *World) Shutdown(name string) {
	n := w.nodes[name]
	w.tracef("%s shuts down gracefully", name)
	if n.role == protocol.RoleController {
		w.deliver(n.process(), consensus.Leave{})
		w.Run(stepDownMs)
	} else {
		w.deliver(n.process(), router.Drain{})
		for endMs := w.events.NowMs() + maxDrainMs; len(n.pending) > 0 && w.events.NowMs() < endMs; {
			w.Run(20)
		}
	}
	w.Kill(name)
}

// RollingRestart shuts down every daemon and starts it again, one after the
// other.
func (w *World) RollingRestart() {
	for _, name := range w.nodeNames(anyRole) {
		w.Shutdown(name)
		w.Run(1000)
		w.Start(name)
		w.Run(3000)
	}
}

// killAndStartAll kills every daemon and starts all again at once.
func (w *World) killAndStartAll() {
	names := w.nodeNames(anyRole)
	for _, name := range names {
		w.Kill(name)
	}
	for _, name := range names {
		w.Start(name)
	}
}

// isSuperseded reports whether a daemon has learned that another daemon has taken
// its name, or that the site was recovered without its disk.
func (w *World) isSuperseded(name string) bool {
	n := w.nodes[name]
	if n.role == protocol.RoleController {
		return w.status(n).Retired
	}
	for _, response := range n.machine.Step(w.clockNow(n), router.StatusQuery{ID: 1}).Responses {
		if status, ok := response.Body.(router.Status); ok {
			return status.Retired
		}
	}
	return false
}
