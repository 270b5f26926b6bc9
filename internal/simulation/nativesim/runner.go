package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

// defaultLoadMs is how long a load takes at a runner.
const defaultLoadMs = 2000

// runner is a back end of the world.
type runner struct {
	name     string
	capacity int64
	loadMs   int64
	// backend is the present incarnation.
	backend     *testbackend.Runner
	incarnation int
	up          bool
	// blackholed makes it take everything and answer nothing.
	blackholed bool
}

// StartRunner starts a runner with a new incarnation and lists it at the
// platform.
func (w *World) StartRunner(name string) {
	r := w.runners[name]
	if r.up {
		return
	}
	r.incarnation++
	r.up, r.blackholed = true, false
	incarnation := fmt.Sprintf("%s-%d", name, r.incarnation)
	r.backend = testbackend.NewRunner(name, incarnation, r.capacity, r.loadMs, w.Checker)
	r.backend.AcceptOldRevisions = w.acceptOldRevisions
	w.platform.Put(protocol.ListedRunner{Name: name, Address: "run:" + name, Incarnation: incarnation})
	w.tracef("%s starts as %s", name, incarnation)
}

// CrashRunner ends a runner; what it ran breaks off.
func (w *World) CrashRunner(name string) {
	if r := w.runners[name]; r.up {
		w.tracef("%s crashes", name)
		r.up = false
	}
}

// BlackholeRunner makes a runner take everything and answer nothing, or ends it.
func (w *World) BlackholeRunner(name string, blackholed bool) {
	w.tracef("%s blackholed: %v", name, blackholed)
	w.runners[name].blackholed = blackholed
}

// MarkLeaving marks a runner's present incarnation as leaving at the platform.
func (w *World) MarkLeaving(name string) {
	w.tracef("%s is marked leaving", name)
	w.platform.MarkLeaving(name)
}

// setAcceptOldRevisions sets whether all runners, also those started later, run
// requests under any revision.
func (w *World) setAcceptOldRevisions(accept bool) {
	w.acceptOldRevisions = accept
	for _, r := range w.runners {
		r.backend.AcceptOldRevisions = accept
	}
}
