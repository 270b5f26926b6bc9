package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

// runner is a back end in the world.
type runner struct {
	name        string
	capacity    int64
	backend     *testbackend.Runner
	incarnation int
	up          bool
	blackholed  bool
	loadMs      int64
}

// StartRunner starts a runner with a new incarnation and lists it.
func (w *World) StartRunner(name string) {
	r := w.runners[name]
	if r.up {
		return
	}
	r.incarnation++
	r.up, r.blackholed = true, false
	if r.loadMs == 0 {
		r.loadMs = 2000
	}
	r.backend = testbackend.NewRunner(name, fmt.Sprintf("%s-%d", name, r.incarnation), r.capacity, r.loadMs, w.Checker)
	r.backend.AcceptOldRevisions = w.acceptOldRevisions
	w.platform.Put(protocol.ListedRunner{Name: name, Address: "run:" + name, Incarnation: r.backend.Incarnation})
	w.tracef("%s starts as %s", name, r.backend.Incarnation)
}

// CrashRunner ends a runner; what it ran breaks off.
func (w *World) CrashRunner(name string) {
	if r := w.runners[name]; r.up {
		w.tracef("%s crashes", name)
		r.up = false
	}
}

// BlackholeRunner makes a runner take everything and answer nothing.
func (w *World) BlackholeRunner(name string, dark bool) {
	w.tracef("%s dark: %v", name, dark)
	w.runners[name].blackholed = dark
}

// MarkLeaving marks a runner's present incarnation at the platform.
func (w *World) MarkLeaving(name string) {
	w.tracef("%s is marked leaving", name)
	w.platform.MarkLeaving(name)
}
