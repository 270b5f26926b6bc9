package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

const (
	// forever is the end of a loss that has none.
	forever = math.MaxInt64 / 2
	// exitMs is how long a process takes to exit.
	exitMs = 1
)

// applyFault lets a fault take the place of an event.
func (c *cluster) applyFault(e *event, f Fault) {
	c.logf("FAULT %s at %s", f, c.members[e.member].node.Name)
	c.noteFaultUntil(c.nowMs)
	switch f.Kind {
	case DropMessage:
	case DelayMessage:
		c.delayMessage(e, f.Ms)
	case DuplicateMessage:
		c.duplicateMessage(e, f.Ms)
	case DelayWrite:
		c.delayWrites(e, f)
	case FailWrite:
		c.failWrite(e)
	case CrashAfterWrite:
		c.completeWrite(e.member, e.body.(*writeCompletion).write)
		c.crash(e, f)
	case Crash:
		c.crash(e, f)
	case CrashMidSend:
		c.crashMidSend(e, f)
	case PowerLoss:
		c.losePower(e, f.Set)
	case Freeze:
		c.freeze(e, f.Ms)
	case CutOff, CutSending:
		c.cutLinks(e, f)
	case Leave:
		c.beginStop(e.member, f)
		c.process(e)
	case loseMembers:
		c.loseMembers(e, f.Set)
	}
}

// markLost counts a member as lost until it has had its time to catch up after
// the end of its fault.
func (c *cluster) markLost(m *member, endMs int64) {
	m.lostUntilMs = max(m.lostUntilMs, endMs+c.scope.CatchUpMs)
	c.noteFaultUntil(endMs)
}

func (c *cluster) delayMessage(e *event, ms int64) {
	c.reschedule(e, c.nowMs+ms)
	c.noteFaultUntil(c.nowMs + ms)
}

// duplicateMessage delivers a message now and again after a while.
func (c *cluster) duplicateMessage(e *event, ms int64) {
	again := *e
	c.process(e)
	c.delayMessage(&again, ms)
}

// delayWrites delays a write and those behind it, which complete in order.
func (c *cluster) delayWrites(e *event, f Fault) {
	m := c.members[e.member]
	delayed := []*event{e}
	c.queue = slices.DeleteFunc(c.queue, func(other *event) bool {
		write, isWrite := other.body.(*writeCompletion)
		isBehind := isWrite && other.member == e.member && write.incarnation == m.incarnation
		if isBehind {
			delayed = append(delayed, other)
		}
		return isBehind
	})
	for _, write := range delayed {
		write.atMs += f.Ms
		c.insert(write)
	}
	m.writesDoneMs = max(m.writesDoneMs, c.nowMs) + f.Ms
	c.noteFaultUntil(c.nowMs + f.Ms)
	if f.countsAsLoss() {
		c.markLost(m, c.nowMs+f.Ms)
	}
}

// failWrite reports a write as failed, and restarts the process.
func (c *cluster) failWrite(e *event) {
	write := e.body.(*writeCompletion).write
	c.markLost(c.members[e.member], c.nowMs+returnMs)
	c.step(e.member, protocol.DiskWriteDone{Number: write.Number}, nil)
	c.scheduleRestart(e.member, Fault{Kind: Crash, Ms: returnMs, Return: WithDisk})
}

// crash ends the process that an event was for. Ticks continue, for the next.
func (c *cluster) crash(e *event, f Fault) {
	c.keepTick(e)
	c.exitProcess(e.member, f)
}

// keepTick reschedules an event that does not happen, if it is a tick.
func (c *cluster) keepTick(e *event) {
	if e.isTick() {
		c.reschedule(e, c.nowMs+tickMs)
	}
}

// crashMidSend lets an event happen, drops the member's messages to a set of
// others, and ends its process.
func (c *cluster) crashMidSend(e *event, f Fault) {
	c.process(e)
	c.queue = slices.DeleteFunc(c.queue, func(sent *event) bool {
		m, isMessage := sent.body.(*message)
		return isMessage && m.from == e.member && contains(f.Set, sent.member)
	})
	c.exitProcess(e.member, f)
}

// losePower ends all processes; the members of a set return with empty disks.
func (c *cluster) losePower(e *event, wiped uint32) {
	c.keepTick(e)
	for i, m := range c.members {
		if m.isDown {
			continue
		}
		crash := Fault{Kind: Crash, Ms: returnMs, Return: WithDisk}
		if contains(wiped, i) {
			crash.Return = WithoutDisk
		}
		c.exitProcess(i, crash)
	}
}

func (c *cluster) freeze(e *event, ms int64) {
	m := c.members[e.member]
	m.frozenUntilMs = c.nowMs + ms
	c.markLost(m, m.frozenUntilMs)
	c.deferUntilThaw(e, m)
}

// cutLinks cuts the links of a member, both ways or from it only. A message
// that was to arrive is lost.
func (c *cluster) cutLinks(e *event, f Fault) {
	m := c.members[e.member]
	m.cutFromUntilMs = c.nowMs + f.Ms
	if f.Kind == CutOff {
		m.cutToUntilMs = c.nowMs + f.Ms
	}
	c.markLost(m, c.nowMs+f.Ms)
	if !e.isMessage() {
		c.process(e)
	}
}

// loseMembers ends a set of members for good.
func (c *cluster) loseMembers(e *event, set uint32) {
	for i, m := range c.members {
		if contains(set, i) {
			m.isDown, m.lostUntilMs = true, forever
		}
	}
	if e.isTick() || !c.members[e.member].isDown {
		c.process(e)
	}
}

// exitProcess ends a process and schedules its return.
func (c *cluster) exitProcess(i int, f Fault) {
	m := c.members[i]
	m.isDown = true
	m.frozenUntilMs = 0
	c.noteFaultUntil(c.nowMs)
	if f.Return == Never {
		c.markPermanentlyLost(m, f)
		return
	}
	c.markLost(m, c.nowMs+f.Ms)
	c.scheduleRestart(i, f)
}

// markPermanentlyLost counts a member that does not return. One that stopped as
// planned no longer counts if another is there to succeed it.
func (c *cluster) markPermanentlyLost(m *member, f Fault) {
	m.lostUntilMs = forever
	hasSuccessor := c.scope.Members > 2*c.scope.Losses+1
	if f.Kind == Leave && hasSuccessor {
		m.lostUntilMs = c.nowMs
	}
}

// scheduleRestart starts a member again after a while, unless another process
// was started meanwhile.
func (c *cluster) scheduleRestart(i int, f Fault) {
	m := c.members[i]
	incarnation := m.incarnation
	c.scheduleAction(f.Ms, fmt.Sprintf("%s comes %s", m.node.Name, f.Return), func() {
		if m.incarnation == incarnation {
			c.restart(i, f.Return)
		}
	})
}

func (c *cluster) restart(i int, how Return) {
	m := c.members[i]
	disk := m.disk
	if how == WithoutDisk {
		m.wipes++
		m.node.Incarnation = fmt.Sprintf("%s-disk-%d", m.node.Name, m.wipes+1)
		disk = map[string]string{}
	}
	m.lostUntilMs = max(m.lostUntilMs, c.nowMs+c.scope.CatchUpMs)
	c.startMember(i, disk, false)
}

// beginStop begins a planned stop. The member counts as lost until it exits: as
// soon as its machine has handed over, and after Scope.LeaveMs at the latest.
func (c *cluster) beginStop(i int, f Fault) {
	m := c.members[i]
	m.isStopping, m.stopFault = true, f
	m.lostUntilMs = max(m.lostUntilMs, c.nowMs+c.scope.LeaveMs+exitMs)
	c.noteFaultUntil(c.nowMs)
	incarnation := m.incarnation
	mustExit := &action{
		description: m.node.Name + " must exit", isOptional: true,
		run: func() { c.exitPlanned(i, incarnation) },
	}
	c.push(&event{atMs: c.nowMs + c.scope.LeaveMs, body: mustExit})
	c.step(i, consensus.Leave{}, nil)
}

// scheduleExit lets a member exit whose machine has handed over.
func (c *cluster) scheduleExit(i int) {
	incarnation := c.members[i].incarnation
	c.scheduleAction(exitMs, c.members[i].node.Name+" exits", func() { c.exitPlanned(i, incarnation) })
}

func (c *cluster) exitPlanned(i, incarnation int) {
	if m := c.members[i]; m.incarnation == incarnation && !m.isDown {
		c.exitProcess(i, m.stopFault)
	}
}
