package nativesim

import (
	"fmt"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
)

// node is one daemon.
type node struct {
	name, zone, role string
	// ownName is the name that the daemon itself goes by.
	ownName string
	// incarnationName is the name that its incarnations are made of, if another.
	incarnationName string
	address         string
	machine         process.Machine
	up, frozen      bool
	frozenSinceMs   int64
	// incarnation tells one run of the process from the next.
	incarnation   int
	startedMs     int64
	clockOffsetMs int64
	backlog       []func()
	disk          *simDisk
	pending       map[uint64]*clientRequest
	// seeds are those of its settings; only a new machine gets new ones.
	seeds []string
}

func (w *World) addNode(member description.Member, part string) *node {
	n := &node{name: member.Name, ownName: member.Name, zone: member.Zone, role: part, address: member.Name + ":1", pending: map[uint64]*clientRequest{}}
	w.nodes[n.name] = n
	w.nodeAt[n.address] = n.name
	return n
}

// clock is the daemon's own clock: monotonic, with a start of its own.
func (n *node) clock(nowMs int64) int64 { return nowMs - n.startedMs + n.clockOffsetMs }

// deliver brings an input before a daemon; a frozen one takes it when it wakes.
func (w *World) deliver(n *node, life int, input any) {
	if !n.up || n.incarnation != life {
		return
	}
	if n.frozen {
		// What can't wait for ever is lost, as a full ring loses it.
		if len(n.backlog) < 4096 {
			n.backlog = append(n.backlog, func() { w.deliver(n, life, input) })
		}
		return
	}
	w.applyEffects(n, n.machine.Step(n.clock(w.events.NowMs()), input))
}

// Start starts a daemon from what its disk holds.
func (w *World) Start(name string) {
	n := w.nodes[name]
	if n.up {
		return
	}
	n.up, n.frozen, n.backlog = true, false, nil
	n.incarnation++
	n.startedMs = w.events.NowMs()
	n.clockOffsetMs = 3_600_000 + w.Random.Int63n(1_000_000)
	n.pending = map[uint64]*clientRequest{}
	self := protocol.Node{Name: n.ownName, Address: n.address, Zone: n.zone, Part: n.role}
	if n.role == protocol.RoleController {
		self.Incarnation = n.disk.incarnation
		machine, err := controller.New(controller.Settings{Site: w.Description.Site, Self: self, Seeds: n.seeds, Platform: "platform", GapMs: w.Bugs.HolderGapMs}, cloned(n.disk.keys), n.clock(w.events.NowMs()))
		if err != nil {
			panic(fmt.Sprintf("sim: %s does not start: %v", name, err))
		}
		n.machine = machine
	} else {
		self.Incarnation = n.incarnationID()
		n.machine = router.New(router.Settings{Site: w.Description.Site, Self: self, Seeds: n.seeds, Platform: "platform"}, n.clock(w.events.NowMs()))
	}
	w.tracef("%s starts", name)
	life := n.incarnation
	w.events.After(w.Random.Int63n(tickMs), func() { w.tick(n, life) })
}

func cloned(keys map[string]string) map[string]string {
	out := make(map[string]string, len(keys))
	for key, value := range keys {
		out[key] = value
	}
	return out
}

func (w *World) tick(n *node, life int) {
	if !n.up || n.incarnation != life {
		return
	}
	if !n.frozen {
		w.deliver(n, life, protocol.Tick{})
	}
	w.events.After(tickMs, func() { w.tick(n, life) })
}

// Kill ends a daemon at once.
func (w *World) Kill(name string) {
	n := w.nodes[name]
	if n == nil || !n.up {
		return
	}
	w.tracef("%s is killed", name)
	n.up = false
	if n.disk != nil && len(n.disk.pending) > 0 {
		// A power cut leaves some first part of what was not synced yet.
		for _, save := range n.disk.pending[:w.Random.Intn(len(n.disk.pending)+1)] {
			save.Write.Apply(n.disk.keys)
		}
		n.disk.pending = nil
	}
	for _, id := range sortedIDs(n.pending) {
		n.pending[id].streamBroke()
	}
}

// Freeze stops a daemon where it stands; Thaw lets it go on.
func (w *World) Freeze(name string) {
	w.tracef("%s freezes", name)
	w.nodes[name].frozen, w.nodes[name].frozenSinceMs = true, w.events.NowMs()
}

// Thaw wakes a frozen daemon. Its clock went on.
func (w *World) Thaw(name string) {
	n := w.nodes[name]
	if !n.frozen {
		return
	}
	w.tracef("%s wakes", name)
	n.frozen = false
	if w.Bugs.ForgetLeases {
		n.startedMs += w.events.NowMs() - n.frozenSinceMs
	}
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// applyEffects carries a daemon's effects out.
func (w *World) applyEffects(n *node, effects protocol.Effects) {
	life := n.incarnation
	for _, text := range effects.LogLines {
		w.tracef("%s: %s", n.name, text)
	}
	for _, save := range effects.DiskWrites {
		w.writeToDisk(n, life, save)
	}
	for _, send := range effects.Sends {
		w.send(n, send)
	}
	for _, call := range effects.Calls {
		w.startCall(n, life, call)
	}
	for _, answer := range effects.Responses {
		if op := w.operator.pending[answer.ID]; op != nil && n.role == protocol.RoleController {
			w.operator.answered(w, n, answer)
			continue
		}
		if under := n.pending[answer.ID]; under != nil {
			under.routerAnswered(answer.Body)
		}
	}
}

func (w *World) identity(n *node) protocol.Node {
	return protocol.Node{Name: n.ownName, Address: n.address, Zone: n.zone, Part: n.role, Incarnation: n.incarnationID()}
}

// incarnationID is that of the disk, or of the process where there is none.
func (n *node) incarnationID() string {
	if n.role == protocol.RoleController {
		return n.disk.incarnation
	}
	name := n.name
	if n.incarnationName != "" {
		name = n.incarnationName
	}
	return fmt.Sprintf("%s-life-%d", name, n.incarnation)
}
