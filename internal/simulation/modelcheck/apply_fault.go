package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

// forever is the end of a loss that has none.
const forever = math.MaxInt64 / 2

// possibleFaults lists the faults that may take the place of an event.
func (c *cluster) possibleFaults(e *event) []Fault {
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
	return slices.DeleteFunc(faults, func(f Fault) bool { return !c.isAllowed(e, f) })
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
		if c.lostCountWith(set) <= c.scope.Losses {
			faults = append(faults, Fault{Kind: PowerLoss, Set: set})
		}
	}
	return faults
}

// lostCountWith counts the members that are lost now or are in a set.
func (c *cluster) lostCountWith(set uint32) int {
	count := 0
	for i, m := range c.members {
		if set&(1<<i) != 0 || c.nowMs < m.lostUntilMs {
			count++
		}
	}
	return count
}

// isAllowed says whether a fault is asked for, and leaves no more members lost
// than may be.
func (c *cluster) isAllowed(e *event, f Fault) bool {
	if len(c.scope.Faults) > 0 && !slices.Contains(c.scope.Faults, f.Kind) {
		return false
	}
	if f.isMessageFault() && len(c.scope.Messages) > 0 && !slices.Contains(c.scope.Messages, e.messageType()) {
		return false
	}
	if f.Kind == PowerLoss {
		return c.lostCountWith(f.Set) <= c.scope.Losses
	}
	m := c.members[e.member]
	if m.stopping && f.Kind == Leave {
		return false
	}
	return !f.countsAsLoss() || c.lostCountWith(1<<e.member) <= c.scope.Losses
}

// isMessageFault says whether the fault is one of a message.
func (f Fault) isMessageFault() bool {
	return f.Kind == DropMessage || f.Kind == DelayMessage || f.Kind == DuplicateMessage
}

// countsAsLoss says whether the member counts as lost.
func (f Fault) countsAsLoss() bool {
	if f.Kind == DelayWrite {
		return f.Ms > slowWriteMs
	}
	return !f.isMessageFault()
}

// applyFault lets a fault happen at an event.
func (c *cluster) applyFault(e *event, f Fault) {
	m := c.members[e.member]
	c.logf("FAULT %s at %s", f, m.node.Name)
	c.noteFaultUntil(c.nowMs)
	switch f.Kind {
	case DropMessage:
	case DelayMessage:
		c.reschedule(e, c.nowMs+f.Ms)
		c.noteFaultUntil(c.nowMs + f.Ms)
	case DuplicateMessage:
		again := *e
		c.process(e)
		c.reschedule(&again, c.nowMs+f.Ms)
		c.noteFaultUntil(c.nowMs + f.Ms)
	case DelayWrite:
		c.delayWrites(e, f)
	case FailWrite:
		c.markLost(m, c.nowMs+returnMs)
		c.step(e.member, protocol.DiskWriteDone{Number: e.write.Number}, nil)
		c.scheduleRestart(e.member, Fault{Kind: Crash, Ms: returnMs, Return: WithDisk})
	case CrashAfterWrite:
		c.completeWrite(e)
		c.stopProcess(e, f)
	case Crash:
		c.stopProcess(e, f)
	case CrashMidSend:
		c.process(e)
		c.queue = slices.DeleteFunc(c.queue, func(sent *event) bool {
			return sent.kind == messageEvent && sent.from == e.member && f.Set&(1<<sent.member) != 0
		})
		c.exitProcess(e.member, f)
	case PowerLoss:
		if e.kind == tickEvent {
			c.reschedule(e, c.nowMs+tickMs)
		}
		c.losePower(f.Set)
	case Freeze:
		m.frozenUntilMs = c.nowMs + f.Ms
		c.markLost(m, m.frozenUntilMs)
		c.deferUntilThaw(e, m)
	case CutOff, CutSending:
		c.cutLinks(e, f)
	case Leave:
		c.beginStop(e.member, f)
		c.process(e)
	case loseMembers:
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
		behind := other.kind == writeEvent && other.member == e.member && other.incarnation == m.incarnation
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
	c.noteFaultUntil(c.nowMs + f.Ms)
	if f.countsAsLoss() {
		c.markLost(m, c.nowMs+f.Ms)
	}
}

// stopProcess ends the process that an event was for. A tick goes on for the next.
func (c *cluster) stopProcess(e *event, f Fault) {
	if e.kind == tickEvent {
		c.reschedule(e, c.nowMs+tickMs)
	}
	c.exitProcess(e.member, f)
}

// exitProcess ends a process and plans its return.
func (c *cluster) exitProcess(i int, f Fault) {
	m := c.members[i]
	m.down = true
	m.frozenUntilMs = 0
	c.noteFaultUntil(c.nowMs)
	if f.Return == Never {
		c.markPermanentlyLost(m, f)
		return
	}
	c.markLost(m, c.nowMs+f.Ms)
	c.scheduleRestart(i, f)
}

// markPermanentlyLost counts a member that does not return. One that was removed as planned
// counts no longer where another is there to succeed it.
func (c *cluster) markPermanentlyLost(m *member, f Fault) {
	m.lostUntilMs = forever
	if f.Kind == Leave && c.scope.Members > 2*c.scope.Losses+1 {
		m.lostUntilMs = c.nowMs
	}
}

func (c *cluster) scheduleRestart(i int, f Fault) {
	m := c.members[i]
	life := m.incarnation
	c.scheduleAction(f.Ms, fmt.Sprintf("%s comes %s", m.node.Name, returnNames[f.Return]), func() {
		if m.incarnation != life {
			return
		}
		keys := m.disk
		if f.Return == WithoutDisk {
			m.wipes++
			m.node.Incarnation = fmt.Sprintf("%s-disk-%d", m.node.Name, m.wipes+1)
			keys = map[string]string{}
		}
		m.lostUntilMs = max(m.lostUntilMs, c.nowMs+c.scope.CatchUpMs)
		c.startMember(i, keys, false)
	})
}

func (c *cluster) cutLinks(e *event, f Fault) {
	m := c.members[e.member]
	m.cutFromUntilMs = c.nowMs + f.Ms
	if f.Kind == CutOff {
		m.cutToUntilMs = c.nowMs + f.Ms
	}
	c.markLost(m, c.nowMs+f.Ms)
	if e.kind != messageEvent {
		c.process(e)
	}
}

// beginStop begins a planned stop. The member counts as lost until it exits.
func (c *cluster) beginStop(i int, f Fault) {
	m := c.members[i]
	m.stopping, m.stopFault = true, f
	m.lostUntilMs = max(m.lostUntilMs, c.nowMs+c.scope.LeaveMs+exitMs)
	c.noteFaultUntil(c.nowMs)
	life := m.incarnation
	c.push(&event{atMs: c.nowMs + c.scope.LeaveMs, kind: actionEvent, description: m.node.Name + " must exit", optional: true, action: func() {
		c.exitPlanned(i, life)
	}})
	c.step(i, consensus.Leave{}, nil)
}

// scheduleExit lets a member exit whose machine has handed all over.
func (c *cluster) scheduleExit(i int) {
	life := c.members[i].incarnation
	c.scheduleAction(exitMs, c.members[i].node.Name+" exits", func() { c.exitPlanned(i, life) })
}

// exitMs is how long a process takes to exit.
const exitMs = 1

func (c *cluster) exitPlanned(i, life int) {
	if m := c.members[i]; m.incarnation == life && !m.down {
		c.exitProcess(i, m.stopFault)
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
		c.exitProcess(i, crash)
	}
}

// loseAll ends a set of members for good.
func (c *cluster) loseAll(set uint32) {
	for i, m := range c.members {
		if set&(1<<i) != 0 {
			m.down, m.lostUntilMs = true, forever
		}
	}
}
