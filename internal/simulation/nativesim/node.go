package nativesim

import (
	"fmt"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
)

// node is one daemon.
type node struct {
	name, zone, part string
	// called is the name that the daemon itself goes by.
	called string
	// lived is the name that its incarnations are made of, if another.
	lived      string
	address    string
	machine    process.Machine
	up, frozen bool
	frozenMs   int64
	// life tells one run of the process from the next.
	life    int
	bootMs  int64
	offset  int64
	backlog []func()
	disk    *simDisk
	under   map[uint64]*asked
	// seeds are those of its settings; only a new machine gets new ones.
	seeds []string
}

func (w *World) addNode(member description.Member, part string) *node {
	n := &node{name: member.Name, called: member.Name, zone: member.Zone, part: part, address: member.Name + ":1", under: map[uint64]*asked{}}
	w.nodes[n.name] = n
	w.address[n.address] = n.name
	return n
}

// clock is the daemon's own clock: monotonic, with a start of its own.
func (n *node) clock(nowMs int64) int64 { return nowMs - n.bootMs + n.offset }

// put brings an input before a daemon; a frozen one takes it when it wakes.
func (w *World) put(n *node, life int, input any) {
	if !n.up || n.life != life {
		return
	}
	if n.frozen {
		// What can't wait for ever is lost, as a full ring loses it.
		if len(n.backlog) < 4096 {
			n.backlog = append(n.backlog, func() { w.put(n, life, input) })
		}
		return
	}
	w.perform(n, n.machine.Step(n.clock(w.events.NowMs()), input))
}

// Start starts a daemon from what its disk holds.
func (w *World) Start(name string) {
	n := w.nodes[name]
	if n.up {
		return
	}
	n.up, n.frozen, n.backlog = true, false, nil
	n.life++
	n.bootMs = w.events.NowMs()
	n.offset = 3_600_000 + w.Random.Int63n(1_000_000)
	n.under = map[uint64]*asked{}
	self := protocol.Node{Name: n.called, Address: n.address, Zone: n.zone, Part: n.part}
	if n.part == protocol.Controller {
		self.Incarnation = n.disk.incarnation
		machine, err := consensus.New(consensus.Settings{Site: w.Site.Site, Self: self, Seeds: n.seeds, Platform: "platform", GapMs: w.Breaks.GapMs}, cloned(n.disk.keys), n.clock(w.events.NowMs()))
		if err != nil {
			panic(fmt.Sprintf("sim: %s does not start: %v", name, err))
		}
		n.machine = machine
	} else {
		self.Incarnation = n.incarnation()
		n.machine = router.New(router.Settings{Site: w.Site.Site, Self: self, Seeds: n.seeds, Platform: "platform"}, n.clock(w.events.NowMs()))
	}
	w.note("%s starts", name)
	life := n.life
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
	if !n.up || n.life != life {
		return
	}
	if !n.frozen {
		w.put(n, life, protocol.Tick{})
	}
	w.events.After(tickMs, func() { w.tick(n, life) })
}

// Kill ends a daemon at once.
func (w *World) Kill(name string) {
	n := w.nodes[name]
	if n == nil || !n.up {
		return
	}
	w.note("%s is killed", name)
	n.up = false
	if n.disk != nil && len(n.disk.pending) > 0 {
		// A power cut leaves some first part of what was not synced yet.
		for _, save := range n.disk.pending[:w.Random.Intn(len(n.disk.pending)+1)] {
			save.Write.Apply(n.disk.keys)
		}
		n.disk.pending = nil
	}
	for _, id := range sortedIds(n.under) {
		n.under[id].broke()
	}
}

// Freeze stops a daemon where it stands; Thaw lets it go on.
func (w *World) Freeze(name string) {
	w.note("%s freezes", name)
	w.nodes[name].frozen, w.nodes[name].frozenMs = true, w.events.NowMs()
}

// Thaw wakes a frozen daemon. Its clock went on.
func (w *World) Thaw(name string) {
	n := w.nodes[name]
	if !n.frozen {
		return
	}
	w.note("%s wakes", name)
	n.frozen = false
	if w.Breaks.ForgetHold {
		n.bootMs += w.events.NowMs() - n.frozenMs
	}
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// perform carries a daemon's effects out.
func (w *World) perform(n *node, effects protocol.Effects) {
	life := n.life
	for _, text := range effects.LogLines {
		w.note("%s: %s", n.name, text)
	}
	for _, save := range effects.DiskWrites {
		w.saveTo(n, life, save)
	}
	for _, send := range effects.Sends {
		w.send(n, send)
	}
	for _, call := range effects.Calls {
		w.call(n, life, call)
	}
	for _, answer := range effects.Answers {
		if op := w.operator.asked[answer.ID]; op != nil && n.part == protocol.Controller {
			w.operator.answered(w, n, answer)
			continue
		}
		if under := n.under[answer.ID]; under != nil {
			under.told(answer.Body)
		}
	}
}

func (w *World) place(n *node) protocol.Node {
	return protocol.Node{Name: n.called, Address: n.address, Zone: n.zone, Part: n.part, Incarnation: n.incarnation()}
}

// incarnation is that of the disk, or of the process where there is none.
func (n *node) incarnation() string {
	if n.part == protocol.Controller {
		return n.disk.incarnation
	}
	name := n.name
	if n.lived != "" {
		name = n.lived
	}
	return fmt.Sprintf("%s-life-%d", name, n.life)
}
