package modelcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

const (
	site = "checked"
	// startMs is the virtual time at which a cluster begins.
	startMs = 1_000_000_000
	tickMs  = 50
	// messageMs and writeMs are the default durations.
	messageMs = 1
	writeMs   = 2
	seedCount = 3
)

type eventKind uint8

const (
	tickEvent eventKind = iota
	messageEvent
	writeEvent
	actionEvent
)

// event is something that happens at one member, or a step of the scenario.
type event struct {
	atMs     int64
	sequence uint64
	kind     eventKind
	// member is where it happens; life is the process that it is for, except
	// that a message is for whoever lives at the address.
	member      int
	incarnation int
	from        int
	envelope    protocol.Envelope
	write       protocol.DiskWrite
	action      func()
	description string
	// optional actions are not waited for.
	optional bool
	// cause is the message that a write was caused by.
	cause *event
	// cachedHash is the hash of the content, or nought as long as none was asked for.
	cachedHash uint64
}

// member is one controller: a machine, its disk and its links.
type member struct {
	node        protocol.Node
	machine     Stepper
	application *rowApplication
	disk        map[string]string
	// cachedDiskHash and memo are the hashes of the disk and the machine, or nought
	// after a change.
	cachedDiskHash uint64
	cachedHash     uint64
	incarnation    int
	wipes          int
	down           bool
	// stopping says that a planned stop is under way, and leave how it ends.
	stopping      bool
	stopFault     Fault
	frozenUntilMs int64
	// cutToUntilMs and cutFromUntilMs are until when messages to and from it are lost.
	cutToUntilMs, cutFromUntilMs int64
	// lostUntilMs is until when it counts as lost.
	lostUntilMs int64
	// writeFreeMs is when the last write that was asked for is complete.
	writeFreeMs int64
}

// cluster is a set of members on one event queue.
type cluster struct {
	scope    Scope
	nowMs    int64
	queue    []*event
	sequence uint64
	members  []*member
	seeds    []string
	checks   invariants
	// processed counts the events so far.
	processed int
	// faultsEndMs is when the last fault so far has ended.
	faultsEndMs int64
	writes      int
	recovery    recovery
	log         func(format string, args ...any)
}

func newCluster(scope Scope, disks []map[string]string, founds bool) *cluster {
	c := &cluster{scope: scope, nowMs: startMs, faultsEndMs: startMs, checks: newInvariants()}
	for i := range scope.Members {
		place := protocol.Node{
			Name: fmt.Sprintf("member-%d", i+1), Address: fmt.Sprintf("10.0.0.%d:7", i+1), Zone: fmt.Sprintf("zone-%d", i%3),
			Part: protocol.RoleController, Incarnation: fmt.Sprintf("member-%d-disk", i+1),
		}
		c.members = append(c.members, &member{node: place})
		if i < seedCount {
			c.seeds = append(c.seeds, place.Address)
		}
	}
	for i := range c.members {
		keys := map[string]string{}
		if disks != nil {
			keys = maps.Clone(disks[i])
		}
		c.startMember(i, keys, founds)
		c.push(&event{atMs: c.nowMs + tickMs, kind: tickEvent, member: i})
	}
	return c
}

func (c *cluster) logf(format string, args ...any) {
	if c.log != nil {
		c.log(format, args...)
	}
}

// startMember makes a member's process from its disk.
func (c *cluster) startMember(i int, keys map[string]string, founds bool) {
	m := c.members[i]
	m.application = &rowApplication{}
	machine, err := consensus.New(consensus.Settings{
		Site: site, Self: m.node, Seeds: c.seeds, Application: m.application, MaxLosses: c.scope.Losses, FirstStart: founds, LeaveTimeoutMs: c.scope.LeaveMs,
		Timing: consensus.TimingFor(c.scope.CatchUpMs), WitnessTimeoutMs: consensus.WitnessTimeoutFor(c.scope.CatchUpMs), ReplicaGraceMs: consensus.ReplicaGraceFor(c.scope.CatchUpMs),
	}, keys, c.nowMs)
	if err != nil {
		panic(fmt.Sprintf("modelcheck: a member can't read its own disk: %v", err))
	}
	m.incarnation++
	m.machine, m.down, m.stopping, m.disk = machine, false, false, keys
	m.writeFreeMs = 0
	if c.scope.Wrap != nil {
		m.machine = c.scope.Wrap(m.node.Name, machine)
	}
	m.cachedHash, m.cachedDiskHash = 0, 0
	c.checks.recordStart(m)
}

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

// reschedule puts an event that was taken off back into the queue, behind those
// that are there for that time.
func (c *cluster) reschedule(e *event, atMs int64) {
	e.atMs = atMs
	c.push(e)
}

// next takes the next event off that has a meaning; time goes on to it.
func (c *cluster) next() *event {
	for {
		e := c.queue[0]
		c.queue = c.queue[1:]
		c.nowMs = e.atMs
		if e.kind == actionEvent {
			return e
		}
		m := c.members[e.member]
		switch {
		case e.kind == tickEvent && m.down:
			return e
		case m.down || e.kind == writeEvent && e.incarnation != m.incarnation || c.isCut(e):
		case c.nowMs < m.frozenUntilMs:
			c.deferUntilThaw(e, m)
		default:
			return e
		}
	}
}

// deferUntilThaw keeps an event for the end of a freeze, in the order of events.
func (c *cluster) deferUntilThaw(e *event, m *member) {
	e.atMs = m.frozenUntilMs
	c.insert(e)
}

// isCut says whether a link between two members is cut.
func (c *cluster) isCut(e *event) bool {
	return e.kind == messageEvent && (c.nowMs < c.members[e.member].cutToUntilMs || c.nowMs < c.members[e.from].cutFromUntilMs)
}

// process lets an event happen.
func (c *cluster) process(e *event) {
	switch e.kind {
	case tickEvent:
		c.reschedule(e, c.nowMs+tickMs)
		if !c.members[e.member].down {
			c.step(e.member, protocol.Tick{}, nil)
		}
		c.recovery.check(c)
	case messageEvent:
		c.step(e.member, e.envelope, e)
	case writeEvent:
		c.completeWrite(e)
		c.step(e.member, protocol.DiskWriteDone{Number: e.write.Number, Ok: true}, nil)
	case actionEvent:
		e.action()
	}
}

// completeWrite makes a write durable.
func (c *cluster) completeWrite(e *event) {
	m := c.members[e.member]
	m.disk = maps.Clone(m.disk)
	e.write.Write.Apply(m.disk)
	m.cachedDiskHash = 0
	c.checks.checkDurable(m, e.write.Write, c.nowMs)
}

// step gives a machine one input and brings its effects into the queue.
func (c *cluster) step(i int, input any, cause *event) {
	m := c.members[i]
	effects := m.machine.Step(c.nowMs, input)
	m.cachedHash = 0
	for _, text := range effects.LogLines {
		c.logf("%s: %s", m.node.Name, text)
	}
	for _, save := range effects.DiskWrites {
		m.writeFreeMs = max(m.writeFreeMs, c.nowMs+writeMs)
		c.push(&event{atMs: m.writeFreeMs, kind: writeEvent, member: i, incarnation: m.incarnation, write: save, cause: cause})
	}
	for _, send := range effects.Sends {
		to := slices.IndexFunc(c.members, func(other *member) bool { return other.node.Address == send.Address })
		if to < 0 || c.nowMs < m.cutFromUntilMs {
			continue
		}
		envelope := protocol.Envelope{Site: site, From: m.node, To: send.To, Body: send.Body}
		c.push(&event{atMs: c.nowMs + messageMs, kind: messageEvent, member: to, from: i, envelope: envelope})
	}
	for _, answer := range effects.Responses {
		if _, departs := answer.Body.(consensus.LeaveResult); departs && m.stopping {
			c.scheduleExit(i)
		}
	}
	c.checks.checkPrimaries(c)
}

// active says whether a member may speak for the site at this moment.
func (c *cluster) active(m *member) bool {
	host := m.application.host
	return !m.down && host != nil && host.Active() && c.nowMs < host.LeaseUntilMs()
}

// primary gives the active member, or -1.
func (c *cluster) primary() int {
	return slices.IndexFunc(c.members, c.active)
}

// submitWrite submits a row at the primary; nought is returned while there is none.
func (c *cluster) submitWrite() int {
	i := c.primary()
	if i < 0 || c.nowMs < c.members[i].frozenUntilMs {
		return 0
	}
	c.writes++
	number := c.writes
	c.logf("write %d at %s", number, c.members[i].node.Name)
	c.step(i, Write{Key: rowKey(number), Then: func(ok bool) {
		if ok {
			c.logf("write %d is acknowledged", number)
			c.checks.recordAcknowledged(number)
		}
	}}, nil)
	return number
}

func rowKey(number int) string { return fmt.Sprintf("write-%d", number) }

// lostCount counts the members that are lost now.
func (c *cluster) lostCount() int { return c.lostCountWith(0) }

// markLost counts a member as lost until it has caught up after a time.
func (c *cluster) markLost(m *member, endMs int64) {
	m.lostUntilMs = max(m.lostUntilMs, endMs+c.scope.CatchUpMs)
	c.noteFaultUntil(endMs)
}

// scheduleAction plans a step of the cluster's own.
func (c *cluster) scheduleAction(ms int64, about string, action func()) {
	c.push(&event{atMs: c.nowMs + ms, kind: actionEvent, description: about, action: action})
}

// fingerprint names the state of the whole cluster.
func (c *cluster) fingerprint() uint64 {
	var h hasher
	h.writeNumber(uint64(c.nowMs))
	for _, m := range c.members {
		// Of a process that ended only its disk has a meaning.
		if !m.down {
			h.writeNumber(m.hash())
		}
		h.writeNumber(m.diskHash())
		h.writeNumber(flags(m.down, m.stopping))
		for _, ms := range []int64{m.frozenUntilMs, m.cutToUntilMs, m.cutFromUntilMs, m.lostUntilMs, m.writeFreeMs} {
			h.writeNumber(uint64(max(ms-c.nowMs, 0)))
		}
	}
	for _, e := range c.queue {
		h.writeNumber(uint64(e.atMs))
		h.writeNumber(uint64(e.kind))
		h.writeNumber(uint64(e.member))
		h.writeNumber(uint64(e.from))
		h.writeNumber(e.hash())
	}
	h.writeNumber(uint64(c.writes))
	h.writeNumber(uint64(c.faultsEndMs))
	h.writeValue(reflect.ValueOf(c.recovery))
	h.writeNumber(c.checks.hash())
	return h.sum()
}

func flags(values ...bool) uint64 {
	var bits uint64
	for i, value := range values {
		if value {
			bits |= 1 << i
		}
	}
	return bits
}

// diskState is what a disk holds of epochs and of the state.
type diskState struct {
	witness  witness.State
	record   protocol.EpochRecord
	position protocol.Position
}

// apply takes over the keys that a write sets; others stay as they were.
func (k *diskState) apply(w storage.Write) {
	read := func(key string, into any) {
		if text := w.Set[key]; text != "" {
			if err := json.Unmarshal([]byte(text), into); err != nil {
				panic(fmt.Sprintf("modelcheck: key %s on a disk: %v", key, err))
			}
		}
	}
	read(witness.Key, &k.witness)
	var remembered struct{ Record protocol.EpochRecord }
	read("record", &remembered)
	if remembered.Record.Epoch > 0 {
		k.record = remembered.Record
	}
	read("state/position", &k.position)
}

func (m *member) id() protocol.MemberID {
	return protocol.MemberID{Name: m.node.Name, Incarnation: m.node.Incarnation}
}

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

// hash names the content of an event, without its time.
func (e *event) hash() uint64 {
	if e.cachedHash != 0 {
		return e.cachedHash
	}
	switch e.kind {
	case messageEvent:
		e.cachedHash = hashOf(e.envelope)
	case writeEvent:
		e.cachedHash = hashOf(e.write.Write, e.cause.causeHash())
	default:
		e.cachedHash = hashOf(e.description)
	}
	return e.cachedHash
}

// causeHash names what caused a write; its completion may answer that.
func (e *event) causeHash() uint64 {
	if e == nil {
		return 0
	}
	return e.hash()
}
