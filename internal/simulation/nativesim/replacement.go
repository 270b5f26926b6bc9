package nativesim

import (
	"fmt"

	"myrtlewinch/internal/native/description"
)

// StartReplacement starts a replacement of a daemon at a new address, with an empty
// disk, while the old one is still there, frozen. It gives the name under
// which the world keeps the old one.
func (w *World) StartReplacement(name string) string {
	old := w.nodes[name]
	ghost := name + "'"
	w.Freeze(name)
	// It has its incarnation from its first name.
	old.name, old.incarnationName = ghost, name
	delete(w.nodes, name)
	w.nodes[ghost] = old
	w.moves++
	n := w.addNode(description.Member{Name: name, Zone: old.zone}, old.role)
	n.address = fmt.Sprintf("%s:%d", name, 1+w.moves)
	w.nodeAt[old.address], w.nodeAt[n.address] = ghost, name
	n.seeds, n.incarnation = old.seeds, old.incarnation
	if old.disk != nil {
		n.disk = &simDisk{keys: map[string]string{}, wipes: old.disk.wipes}
		w.Wipe(name)
	}
	w.tracef("%s is replaced beside the old one", name)
	w.Start(name)
	return ghost
}
