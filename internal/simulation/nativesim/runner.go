package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

// defaultLoadMs is how long a load takes at a runner.
const defaultLoadMs = 2000

// runner is a simulated runner.
type runner struct {
	name     string
	capacity int64
	loadMs   int64
	// backend is the current incarnation.
	backend     *testbackend.Runner
	incarnation int
	up          bool
	// blackholed makes it accept connections without ever responding.
	blackholed bool
}

// StartRunner starts a runner with a new incarnation and adds it to the
// platform's runner list.
func (w *World) StartRunner(name string) {
	r := w.runners[name]
	if r.up {
		return
	}
	r.incarnation++
	r.up, r.blackholed = true, false
	incarnation := fmt.Sprintf("%s-%d", name, r.incarnation)
	r.backend = testbackend.NewRunner(name, incarnation, r.capacity, r.loadMs, w.Checker)
	r.backend.AcceptStaleRevisions = w.acceptStaleRevisions
	w.platform.Put(protocol.ListedRunner{Name: name, Address: "run:" + name, Incarnation: incarnation})
	w.tracef("%s starts as %s", name, incarnation)
}

// CrashRunner ends a runner's process. Connections of running requests break.
func (w *World) CrashRunner(name string) {
	if r := w.runners[name]; r.up {
		w.tracef("%s crashes", name)
		r.up = false
	}
}

// BlackholeRunner makes a runner accept connections without ever responding, or
// ends that fault.
func (w *World) BlackholeRunner(name string, blackholed bool) {
	w.tracef("%s blackholed: %v", name, blackholed)
	w.runners[name].blackholed = blackholed
}

// MarkLeaving marks a runner's current incarnation as leaving in the platform's
// runner list.
func (w *World) MarkLeaving(name string) {
	w.tracef("%s is marked leaving", name)
	w.platform.MarkLeaving(name)
}

// setAcceptStaleRevisions sets whether all runners, also those started later, run
// requests under any revision.
func (w *World) setAcceptStaleRevisions(accept bool) {
	w.acceptStaleRevisions = accept
	for _, r := range w.runners {
		r.backend.AcceptStaleRevisions = accept
	}
}
