package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

// runner is a back end in the world.
type runner struct {
	name   string
	room   int64
	stand  *testbackend.Runner
	life   int
	up     bool
	dark   bool
	loadMs int64
}

// StartRunner starts a runner with a new incarnation and lists it.
func (w *World) StartRunner(name string) {
	r := w.runners[name]
	if r.up {
		return
	}
	r.life++
	r.up, r.dark = true, false
	if r.loadMs == 0 {
		r.loadMs = 2000
	}
	r.stand = testbackend.NewRunner(name, fmt.Sprintf("%s-%d", name, r.life), r.room, r.loadMs, w.Book)
	r.stand.Careless = w.careless
	w.platform.Put(protocol.ListedRunner{Name: name, Address: "run:" + name, Incarnation: r.stand.Incarnation})
	w.note("%s starts as %s", name, r.stand.Incarnation)
}

// CrashRunner ends a runner; what it ran breaks off.
func (w *World) CrashRunner(name string) {
	if r := w.runners[name]; r.up {
		w.note("%s crashes", name)
		r.up = false
	}
}

// DarkenRunner makes a runner take everything and answer nothing.
func (w *World) DarkenRunner(name string, dark bool) {
	w.note("%s dark: %v", name, dark)
	w.runners[name].dark = dark
}

// MarkLeaving marks a runner's present incarnation at the platform.
func (w *World) MarkLeaving(name string) {
	w.note("%s is marked leaving", name)
	w.platform.Mark(name)
}
