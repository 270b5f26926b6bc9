package modelcheck

import "reflect"

// Codes that stand for the kinds of events in a hash.
const (
	tickCode uint64 = iota
	messageCode
	writeCode
	actionCode
)

// hash returns a hash of the state of the whole cluster.
func (c *cluster) hash() uint64 {
	var h hasher
	h.writeNumber(uint64(c.nowMs))
	for _, m := range c.members {
		c.hashMember(&h, m)
	}
	for _, e := range c.queue {
		hashEvent(&h, e)
	}
	h.writeNumber(uint64(c.writes))
	h.writeNumber(uint64(c.faultsEndMs))
	h.writeValue(reflect.ValueOf(c.recovery))
	h.writeNumber(c.checks.hash())
	return h.sum()
}

// hashMember adds a member to a hash. The machine of a process that has ended is
// left out, because only its disk still matters.
func (c *cluster) hashMember(h *hasher, m *member) {
	if !m.isDown {
		h.writeNumber(m.hash())
	}
	h.writeNumber(m.diskHash())
	h.writeNumber(flags(m.isDown, m.isStopping))
	for _, ms := range []int64{m.frozenUntilMs, m.inboundLostUntilMs, m.outboundLostUntilMs, m.lostUntilMs, m.writesDoneMs} {
		h.writeNumber(uint64(max(ms-c.nowMs, 0)))
	}
}

func hashEvent(h *hasher, e *event) {
	code, from := tickCode, 0
	switch body := e.body.(type) {
	case *message:
		code, from = messageCode, body.from
	case *writeCompletion:
		code = writeCode
	case *action:
		code = actionCode
	}
	h.writeNumber(uint64(e.atMs))
	h.writeNumber(code)
	h.writeNumber(uint64(e.member))
	h.writeNumber(uint64(from))
	h.writeNumber(e.hash())
}

// flags packs booleans into a number.
func flags(values ...bool) uint64 {
	var bits uint64
	for i, value := range values {
		if value {
			bits |= 1 << i
		}
	}
	return bits
}

// hash returns a hash of the state of the member's machine.
func (m *member) hash() uint64 {
	if m.cachedHash == 0 {
		m.cachedHash = hashOf(m.machine)
	}
	return m.cachedHash
}

func (m *member) diskHash() uint64 {
	if m.cachedDiskHash == 0 {
		m.cachedDiskHash = hashOf(m.disk)
	}
	return m.cachedDiskHash
}
