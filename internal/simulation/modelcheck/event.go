package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/protocol"
)

// event is something that happens at a time.
type event struct {
	atMs int64
	// sequence orders the events of one time.
	sequence uint64
	// member is where it happens, unless the body is an action.
	member int
	body   eventBody
	// cachedHash is the hash of the body, or 0 until it is asked for.
	cachedHash uint64
}

// eventBody is what happens: one of tick, message, writeCompletion and action.
type eventBody interface{ isEventBody() }

// tick is the periodic input of a member.
type tick struct{}

// message is a message that arrives at whatever process runs at the address.
type message struct {
	from     int
	envelope protocol.Envelope
}

// writeCompletion makes a write durable that an incarnation of a process asked
// for.
type writeCompletion struct {
	incarnation int
	write       protocol.DiskWrite
	// cause is the message in answer to which the write was asked for, or nil.
	cause *event
}

// action is an event of the cluster's own, such as a restart or a step of the
// scenario.
type action struct {
	description string
	run         func()
	// isOptional says that a schedule may end before the action.
	isOptional bool
}

func (tick) isEventBody()             {}
func (*message) isEventBody()         {}
func (*writeCompletion) isEventBody() {}
func (*action) isEventBody()          {}

func (e *event) isTick() bool {
	_, is := e.body.(tick)
	return is
}

func (e *event) isAction() bool {
	_, is := e.body.(*action)
	return is
}

func (e *event) isMessage() bool {
	_, is := e.body.(*message)
	return is
}

// messageType names the type of a message; it is empty for other events.
func (e *event) messageType() string {
	m, isMessage := e.body.(*message)
	if !isMessage {
		return ""
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", m.envelope.Body), "protocol.")
}

// hash identifies the body of an event, without its time.
func (e *event) hash() uint64 {
	if e.cachedHash != 0 {
		return e.cachedHash
	}
	switch body := e.body.(type) {
	case *message:
		e.cachedHash = hashOf(body.envelope)
	case *writeCompletion:
		e.cachedHash = hashOf(body.write.Write, body.causeHash())
	case *action:
		e.cachedHash = hashOf(body.description)
	default:
		e.cachedHash = hashOf("")
	}
	return e.cachedHash
}

// causeHash identifies the cause of a write, since the completion may answer
// it.
func (w *writeCompletion) causeHash() uint64 {
	if w.cause == nil {
		return 0
	}
	return w.cause.hash()
}

// push adds an event to the queue, behind those of the same time. The queue is
// not one of package eventqueue, since faults delay and remove queued events and
// hashes cover them.
func (c *cluster) push(e *event) {
	c.sequence++
	e.sequence = c.sequence
	c.insert(e)
}

// insert keeps the queue in order of time, then of sequence.
func (c *cluster) insert(e *event) {
	at, _ := slices.BinarySearchFunc(c.queue, e, func(a, b *event) int {
		if a.atMs != b.atMs {
			return int(a.atMs - b.atMs)
		}
		return int(a.sequence) - int(b.sequence)
	})
	c.queue = slices.Insert(c.queue, at, e)
}

// reschedule puts an event that was taken off the queue back, behind those of
// its new time.
func (c *cluster) reschedule(e *event, atMs int64) {
	e.atMs = atMs
	c.push(e)
}

// deferUntilThaw puts an event back for the end of a freeze; deferred events
// stay in order.
func (c *cluster) deferUntilThaw(e *event, m *member) {
	e.atMs = m.frozenUntilMs
	c.insert(e)
}

// scheduleAction plans an action after a while.
func (c *cluster) scheduleAction(ms int64, description string, run func()) {
	c.push(&event{atMs: c.nowMs + ms, body: &action{description: description, run: run}})
}

// next takes the next event that has an effect off the queue; time advances to
// it.
func (c *cluster) next() *event {
	for {
		e := c.queue[0]
		c.queue = c.queue[1:]
		c.nowMs = e.atMs
		switch {
		case c.isVoid(e):
		case c.isFrozen(e):
			c.deferUntilThaw(e, c.members[e.member])
		default:
			return e
		}
	}
}

// isVoid says whether an event has no effect: its process has ended, or its
// link is cut. Ticks continue, for the next process.
func (c *cluster) isVoid(e *event) bool {
	switch body := e.body.(type) {
	case *message:
		m, from := c.members[e.member], c.members[body.from]
		return m.isDown || c.nowMs < m.cutToUntilMs || c.nowMs < from.cutFromUntilMs
	case *writeCompletion:
		m := c.members[e.member]
		return m.isDown || body.incarnation != m.incarnation
	}
	return false
}

// isFrozen says whether an event has to wait for the end of its member's
// freeze.
func (c *cluster) isFrozen(e *event) bool {
	m := c.members[e.member]
	return !e.isAction() && !m.isDown && c.nowMs < m.frozenUntilMs
}

// process lets an event happen.
func (c *cluster) process(e *event) {
	switch body := e.body.(type) {
	case tick:
		c.processTick(e)
	case *message:
		c.step(e.member, body.envelope, e)
	case *writeCompletion:
		c.completeWrite(e.member, body.write)
		c.step(e.member, protocol.DiskWriteDone{Number: body.write.Number, Ok: true}, nil)
	case *action:
		body.run()
	}
}

func (c *cluster) processTick(e *event) {
	c.reschedule(e, c.nowMs+tickMs)
	if !c.members[e.member].isDown {
		c.step(e.member, protocol.Tick{}, nil)
	}
	c.recovery.check(c)
}
