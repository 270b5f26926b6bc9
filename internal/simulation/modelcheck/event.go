package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/protocol"
)

// event is something that happens at one point in virtual time.
type event struct {
	atMs int64
	// sequence orders the events that have the same time.
	sequence uint64
	// member is the index of the member at which it happens; an action has none.
	member int
	body   eventBody
	// cachedHash is the hash of the body, or 0 if not computed yet.
	cachedHash uint64
}

// eventBody is what happens: one of tick, message, writeCompletion and action.
type eventBody interface{ isEventBody() }

// tick is the periodic input of a member.
type tick struct{}

// message is the arrival of a message at the process that runs at the member's
// address by then.
type message struct {
	from     int
	envelope protocol.Envelope
}

// writeCompletion makes a write durable that one incarnation of a member
// requested.
type writeCompletion struct {
	incarnation int
	write       protocol.DiskWrite
	// cause is the message whose handling requested the write, or nil.
	cause *event
}

// action is an event that the checker itself schedules, such as a restart or a
// step of the scenario.
type action struct {
	description string
	run         func()
	// isOptional is true if a run may end before the action.
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

// messageType returns the name of the message type, or "" for other events.
func (e *event) messageType() string {
	m, isMessage := e.body.(*message)
	if !isMessage {
		return ""
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", m.envelope.Body), "protocol.")
}

// hash returns a hash of the event's body, which leaves out its time.
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

// causeHash returns the hash of a write's cause. It is part of the completion's
// hash, because the machine may reply to the cause when the write completes.
func (w *writeCompletion) causeHash() uint64 {
	if w.cause == nil {
		return 0
	}
	return w.cause.hash()
}

// push adds an event to the queue, behind the events of the same time. The queue does
// not come from package eventqueue, because faults delay and remove queued events and
// the queued events are part of a state's hash.
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

// reschedule puts an event that was taken off the queue back at a new time, behind
// the events that are already queued for it.
func (c *cluster) reschedule(e *event, atMs int64) {
	e.atMs = atMs
	c.push(e)
}

// deferUntilFreezeEnds puts an event back for the end of its member's freeze.
// Deferred events keep their order.
func (c *cluster) deferUntilFreezeEnds(e *event, m *member) {
	e.atMs = m.frozenUntilMs
	c.insert(e)
}

// scheduleAction schedules an action after a delay.
func (c *cluster) scheduleAction(ms int64, description string, run func()) {
	c.push(&event{atMs: c.nowMs + ms, body: &action{description: description, run: run}})
}

// next removes events from the queue until one has an effect, and returns that event.
// It advances the time to the event's time. An event of a frozen process is deferred
// until the freeze ends.
func (c *cluster) next() *event {
	for {
		e := c.queue[0]
		c.queue = c.queue[1:]
		c.nowMs = e.atMs
		switch {
		case c.hasNoEffect(e):
		case c.isFrozen(e):
			c.deferUntilFreezeEnds(e, c.members[e.member])
		default:
			return e
		}
	}
}

// hasNoEffect reports whether an event is discarded because its process has ended
// or its link is partitioned. Ticks are kept for the member's next process.
func (c *cluster) hasNoEffect(e *event) bool {
	switch body := e.body.(type) {
	case *message:
		m, from := c.members[e.member], c.members[body.from]
		return m.isDown || c.nowMs < m.inboundLostUntilMs || c.nowMs < from.outboundLostUntilMs
	case *writeCompletion:
		m := c.members[e.member]
		return m.isDown || body.incarnation != m.incarnation
	}
	return false
}

// isFrozen reports whether an event must wait for the end of its member's freeze.
func (c *cluster) isFrozen(e *event) bool {
	m := c.members[e.member]
	return !e.isAction() && !m.isDown && c.nowMs < m.frozenUntilMs
}

// process executes an event.
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
