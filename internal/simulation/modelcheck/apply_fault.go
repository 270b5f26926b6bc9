package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

const (
	// forever is the end time of a permanent loss.
	forever = math.MaxInt64 / 2
	// exitMs is how long a process takes to exit.
	exitMs = 1
)

// applyFault applies a fault at an event, and processes, delays or drops the event
// as the kind of fault requires.
func (c *cluster) applyFault(e *event, f Fault) {
	c.logf("FAULT %s at %s", f, c.members[e.member].node.Name)
	c.recordFaultEnd(c.nowMs)
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
	case Partition, PartitionOutbound:
		c.partitionMember(e, f)
	case Leave:
		c.beginPlannedStop(e.member, f)
		c.process(e)
	case loseMembers:
		c.loseMembers(e, f.Set)
	}
}

// markLost counts a member as lost until CatchUpMs after the end of its fault,
// the time that it has to catch up.
func (c *cluster) markLost(m *member, endMs int64) {
	m.lostUntilMs = max(m.lostUntilMs, endMs+c.scope.CatchUpMs)
	c.recordFaultEnd(endMs)
}

func (c *cluster) delayMessage(e *event, ms int64) {
	c.reschedule(e, c.nowMs+ms)
	c.recordFaultEnd(c.nowMs + ms)
}

// duplicateMessage delivers a message now and once more after a delay.
func (c *cluster) duplicateMessage(e *event, ms int64) {
	duplicate := *e
	c.process(e)
	c.delayMessage(&duplicate, ms)
}

// delayWrites delays a write and the writes queued after it by the same process,
// because writes complete in order.
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
	c.recordFaultEnd(c.nowMs + f.Ms)
	if f.countsAsLoss() {
		c.markLost(m, c.nowMs+f.Ms)
	}
}

// failWrite reports a write as failed, and restarts the process.
func (c *cluster) failWrite(e *event) {
	write := e.body.(*writeCompletion).write
	c.markLost(c.members[e.member], c.nowMs+restartMs)
	c.step(e.member, protocol.DiskWriteDone{Number: write.Number}, nil)
	c.scheduleRestart(e.member, Fault{Kind: Crash, Ms: restartMs, Restart: WithDisk})
}

// crash ends the process that an event was for. The member's ticks stay scheduled
// for its next process.
func (c *cluster) crash(e *event, f Fault) {
	c.rescheduleTick(e)
	c.exitProcess(e.member, f)
}

// rescheduleTick reschedules an event that a fault replaced, if it is a tick.
func (c *cluster) rescheduleTick(e *event) {
	if e.isTick() {
		c.reschedule(e, c.nowMs+tickMs)
	}
}

// crashMidSend processes an event, drops the member's messages in flight to a set
// of other members, and ends its process.
func (c *cluster) crashMidSend(e *event, f Fault) {
	c.process(e)
	c.queue = slices.DeleteFunc(c.queue, func(sent *event) bool {
		m, isMessage := sent.body.(*message)
		return isMessage && m.from == e.member && contains(f.Set, sent.member)
	})
	c.exitProcess(e.member, f)
}

// losePower ends all processes. All restart, the members of a set with empty disks.
func (c *cluster) losePower(e *event, wiped uint32) {
	c.rescheduleTick(e)
	for i, m := range c.members {
		if m.isDown {
			continue
		}
		crash := Fault{Kind: Crash, Ms: restartMs, Restart: WithDisk}
		if contains(wiped, i) {
			crash.Restart = WithoutDisk
		}
		c.exitProcess(i, crash)
	}
}

func (c *cluster) freeze(e *event, ms int64) {
	m := c.members[e.member]
	m.frozenUntilMs = c.nowMs + ms
	c.markLost(m, m.frozenUntilMs)
	c.deferUntilFreezeEnds(e, m)
}

// partitionMember makes the network drop the member's messages, in both directions
// or outbound only. If the event is the arrival of a message, that message is lost.
func (c *cluster) partitionMember(e *event, f Fault) {
	m := c.members[e.member]
	m.outboundLostUntilMs = c.nowMs + f.Ms
	if f.Kind == Partition {
		m.inboundLostUntilMs = c.nowMs + f.Ms
	}
	c.markLost(m, c.nowMs+f.Ms)
	if !e.isMessage() {
		c.process(e)
	}
}

// loseMembers stops a set of members permanently.
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

// exitProcess ends a process and schedules its restart, if any.
func (c *cluster) exitProcess(i int, f Fault) {
	m := c.members[i]
	m.isDown = true
	m.frozenUntilMs = 0
	c.recordFaultEnd(c.nowMs)
	if f.Restart == NoRestart {
		c.markPermanentlyLost(m, f)
		return
	}
	c.markLost(m, c.nowMs+f.Ms)
	c.scheduleRestart(i, f)
}

// markPermanentlyLost counts a member that does not restart as lost. A member that
// stopped as planned no longer counts if there is a spare member to replace it.
func (c *cluster) markPermanentlyLost(m *member, f Fault) {
	m.lostUntilMs = forever
	hasSpare := c.scope.Members > 2*c.scope.Losses+1
	if f.Kind == Leave && hasSpare {
		m.lostUntilMs = c.nowMs
	}
}

// scheduleRestart restarts a member after a delay, unless another process of it
// was started in the meantime.
func (c *cluster) scheduleRestart(i int, f Fault) {
	m := c.members[i]
	incarnation := m.incarnation
	c.scheduleAction(f.Ms, fmt.Sprintf("%s is %s", m.node.Name, f.Restart), func() {
		if m.incarnation == incarnation {
			c.restart(i, f.Restart)
		}
	})
}

func (c *cluster) restart(i int, mode RestartMode) {
	m := c.members[i]
	disk := m.disk
	if mode == WithoutDisk {
		m.wipes++
		m.node.Incarnation = fmt.Sprintf("%s-disk-%d", m.node.Name, m.wipes+1)
		disk = map[string]string{}
	}
	m.lostUntilMs = max(m.lostUntilMs, c.nowMs+c.scope.CatchUpMs)
	c.startMember(i, disk, false)
}

// beginPlannedStop begins a planned stop. The member counts as lost until it exits,
// which it does when its machine reports that it has left, or after Scope.LeaveMs.
func (c *cluster) beginPlannedStop(i int, f Fault) {
	m := c.members[i]
	m.isStopping, m.plannedStop = true, f
	m.lostUntilMs = max(m.lostUntilMs, c.nowMs+c.scope.LeaveMs+exitMs)
	c.recordFaultEnd(c.nowMs)
	incarnation := m.incarnation
	exitAtTimeout := &action{
		description: m.node.Name + " exits at the end of its stop timeout", isOptional: true,
		run: func() { c.finishPlannedStop(i, incarnation) },
	}
	c.push(&event{atMs: c.nowMs + c.scope.LeaveMs, body: exitAtTimeout})
	c.step(i, consensus.Leave{}, nil)
}

// scheduleExit schedules the exit of a member whose machine has left.
func (c *cluster) scheduleExit(i int) {
	incarnation := c.members[i].incarnation
	c.scheduleAction(exitMs, c.members[i].node.Name+" exits", func() { c.finishPlannedStop(i, incarnation) })
}

func (c *cluster) finishPlannedStop(i, incarnation int) {
	if m := c.members[i]; m.incarnation == incarnation && !m.isDown {
		c.exitProcess(i, m.plannedStop)
	}
}
