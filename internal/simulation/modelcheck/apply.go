package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

// forGood is the end of a loss that has none.
const forGood = math.MaxInt64 / 2

// options lists the faults that may take the place of an event.
func (c *cluster) options(e *event) []Fault {
	if e.kind == actionEvent || c.members[e.member].down {
		return nil
	}
	var faults []Fault
	switch e.kind {
	case messageEvent:
		faults = append(faults, messageFaults...)
	case writeEvent:
		faults = append(faults, writeFaults...)
	}
	faults = append(faults, memberFaults...)
	faults = append(faults, c.crashesMidSend(e.member)...)
	faults = append(faults, c.powerLosses()...)
	return slices.DeleteFunc(faults, func(f Fault) bool { return !c.lawful(e, f) })
}

// crashesMidSend lists a crash for each set of others that hear nothing more.
// Those that differ by members to whom nothing was sent lead to equal states.
func (c *cluster) crashesMidSend(i int) []Fault {
	var faults []Fault
	for set := uint32(1); set < 1<<len(c.members); set++ {
		if set&(1<<i) == 0 {
			faults = append(faults, Fault{Kind: CrashMidSend, Set: set})
		}
	}
	return faults
}

// powerLosses lists a loss of power with each set of disks that may be lost.
func (c *cluster) powerLosses() []Fault {
	var faults []Fault
	for set := range uint32(1) << len(c.members) {
		if c.lostWith(set) <= c.scope.Losses {
			faults = append(faults, Fault{Kind: PowerLoss, Set: set})
		}
	}
	return faults
}

// lostWith counts the members that are lost now or are in a set.
func (c *cluster) lostWith(set uint32) int {
	count := 0
	for i, m := range c.members {
		if set&(1<<i) != 0 || c.nowMs < m.lostMs {
			count++
		}
	}
	return count
}

// lawful says whether a fault is asked for, and leaves no more members lost
// than may be.
func (c *cluster) lawful(e *event, f Fault) bool {
	if len(c.scope.Faults) > 0 && !slices.Contains(c.scope.Faults, f.Kind) {
		return false
	}
	if f.ofMessage() && len(c.scope.Messages) > 0 && !slices.Contains(c.scope.Messages, e.messageType()) {
		return false
	}
	if f.Kind == PowerLoss {
		return c.lostWith(f.Set) <= c.scope.Losses
	}
	m := c.members[e.member]
	if m.leaving && f.Kind == Leave {
		return false
	}
	return !f.loses() || c.lostWith(1<<e.member) <= c.scope.Losses
}

// ofMessage says whether the fault is one of a message.
func (f Fault) ofMessage() bool {
	return f.Kind == DropMessage || f.Kind == DelayMessage || f.Kind == DuplicateMessage
}

// loses says whether the member counts as lost.
func (f Fault) loses() bool {
	if f.Kind == DelayWrite {
		return f.Ms > slowWriteMs
	}
	return !f.ofMessage()
}

// apply lets a fault happen at an event.
func (c *cluster) apply(e *event, f Fault) {
	m := c.members[e.member]
	c.note("FAULT %s at %s", f, m.place.Name)
	c.heal(c.nowMs)
	switch f.Kind {
	case DropMessage:
	case DelayMessage:
		c.later(e, c.nowMs+f.Ms)
		c.heal(c.nowMs + f.Ms)
	case DuplicateMessage:
		again := *e
		c.process(e)
		c.later(&again, c.nowMs+f.Ms)
		c.heal(c.nowMs + f.Ms)
	case DelayWrite:
		c.delayWrites(e, f)
	case FailWrite:
		c.lose(m, c.nowMs+returnMs)
		c.step(e.member, protocol.DiskWriteDone{Number: e.save.Number}, nil)
		c.restartLater(e.member, Fault{Kind: Crash, Ms: returnMs, Return: WithDisk})
	case CrashAfterWrite:
		c.complete(e)
		c.stop(e, f)
	case Crash:
		c.stop(e, f)
	case CrashMidSend:
		c.process(e)
		c.queue = slices.DeleteFunc(c.queue, func(sent *event) bool {
			return sent.kind == messageEvent && sent.from == e.member && f.Set&(1<<sent.member) != 0
		})
		c.exit(e.member, f)
	case PowerLoss:
		if e.kind == tickEvent {
			c.later(e, c.nowMs+tickMs)
		}
		c.losePower(f.Set)
	case Freeze:
		m.frozenMs = c.nowMs + f.Ms
		c.lose(m, m.frozenMs)
		c.defrost(e, m)
	case CutOff, CutSending:
		c.cutLinks(e, f)
	case Leave:
		c.leave(e.member, f)
		c.process(e)
	case loseSet:
		c.loseAll(f.Set)
		if e.kind == tickEvent || !m.down {
			c.process(e)
		}
	}
}

// delayWrites delays a write and those behind it, which complete in order.
func (c *cluster) delayWrites(e *event, f Fault) {
	m := c.members[e.member]
	delayed := []*event{e}
	c.queue = slices.DeleteFunc(c.queue, func(other *event) bool {
		behind := other.kind == writeEvent && other.member == e.member && other.life == m.life
		if behind {
			delayed = append(delayed, other)
		}
		return behind
	})
	for _, write := range delayed {
		write.atMs += f.Ms
		c.insert(write)
	}
	m.writeFreeMs = max(m.writeFreeMs, c.nowMs) + f.Ms
	c.heal(c.nowMs + f.Ms)
	if f.loses() {
		c.lose(m, c.nowMs+f.Ms)
	}
}

// stop ends the process that an event was for. A tick goes on for the next.
func (c *cluster) stop(e *event, f Fault) {
	if e.kind == tickEvent {
		c.later(e, c.nowMs+tickMs)
	}
	c.exit(e.member, f)
}

// exit ends a process and plans its return.
func (c *cluster) exit(i int, f Fault) {
	m := c.members[i]
	m.down = true
	m.frozenMs = 0
	c.heal(c.nowMs)
	if f.Return == Never {
		c.goneForGood(m, f)
		return
	}
	c.lose(m, c.nowMs+f.Ms)
	c.restartLater(i, f)
}

// goneForGood counts a member that does not return. One that was removed as planned
// counts no longer where another is there to succeed it.
func (c *cluster) goneForGood(m *member, f Fault) {
	m.lostMs = forGood
	if f.Kind == Leave && c.scope.Members > 2*c.scope.Losses+1 {
		m.lostMs = c.nowMs
	}
}

func (c *cluster) restartLater(i int, f Fault) {
	m := c.members[i]
	life := m.life
	c.after(f.Ms, fmt.Sprintf("%s comes %s", m.place.Name, returnNames[f.Return]), func() {
		if m.life != life {
			return
		}
		keys := m.keys
		if f.Return == WithoutDisk {
			m.wipes++
			m.place.Incarnation = fmt.Sprintf("%s-disk-%d", m.place.Name, m.wipes+1)
			keys = map[string]string{}
		}
		m.lostMs = max(m.lostMs, c.nowMs+c.scope.CatchUpMs)
		c.start(i, keys, false)
	})
}

func (c *cluster) cutLinks(e *event, f Fault) {
	m := c.members[e.member]
	m.cutFromMs = c.nowMs + f.Ms
	if f.Kind == CutOff {
		m.cutToMs = c.nowMs + f.Ms
	}
	c.lose(m, c.nowMs+f.Ms)
	if e.kind != messageEvent {
		c.process(e)
	}
}

// leave begins a planned stop. The member counts as lost until it exits.
func (c *cluster) leave(i int, f Fault) {
	m := c.members[i]
	m.leaving, m.leave = true, f
	m.lostMs = max(m.lostMs, c.nowMs+c.scope.LeaveMs+exitMs)
	c.heal(c.nowMs)
	life := m.life
	c.push(&event{atMs: c.nowMs + c.scope.LeaveMs, kind: actionEvent, about: m.place.Name + " must exit", optional: true, action: func() {
		c.exitPlanned(i, life)
	}})
	c.step(i, consensus.StepDown{}, nil)
}

// departed lets a member exit whose machine has handed all over.
func (c *cluster) departed(i int) {
	life := c.members[i].life
	c.after(exitMs, c.members[i].place.Name+" exits", func() { c.exitPlanned(i, life) })
}

// exitMs is how long a process takes to exit.
const exitMs = 1

func (c *cluster) exitPlanned(i, life int) {
	if m := c.members[i]; m.life == life && !m.down {
		c.exit(i, m.leave)
	}
}

// losePower ends all members; those of a set return with empty disks.
func (c *cluster) losePower(set uint32) {
	for i, m := range c.members {
		if m.down {
			continue
		}
		crash := Fault{Kind: Crash, Ms: returnMs, Return: WithDisk}
		if set&(1<<i) != 0 {
			crash.Return = WithoutDisk
		}
		c.exit(i, crash)
	}
}

// loseAll ends a set of members for good.
func (c *cluster) loseAll(set uint32) {
	for i, m := range c.members {
		if set&(1<<i) != 0 {
			m.down, m.lostMs = true, forGood
		}
	}
}
