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
	seeds     = 3
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
	member   int
	life     int
	from     int
	envelope protocol.Envelope
	save     protocol.DiskWrite
	action   func()
	about    string
	// optional actions are not waited for.
	optional bool
	// cause is the message that a write was caused by.
	cause *event
	// memo is the hash of the content, or nought as long as none was asked for.
	memo uint64
}

// member is one controller: a machine, its disk and its links.
type member struct {
	place   protocol.Node
	machine Stepper
	tenant  *rowTenant
	keys    map[string]string
	// keysMemo and memo are the hashes of the disk and the machine, or nought
	// after a change.
	keysMemo uint64
	memo     uint64
	life     int
	wipes    int
	down     bool
	// leaving says that a planned stop is under way, and leave how it ends.
	leaving  bool
	leave    Fault
	frozenMs int64
	// cutToMs and cutFromMs are until when messages to and from it are lost.
	cutToMs, cutFromMs int64
	// lostMs is until when it counts as lost.
	lostMs int64
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
	checks   checks
	// events counts the events so far.
	events int
	// healedMs is when the last fault so far has ended.
	healedMs int64
	writes   int
	recovery recovery
	log      func(format string, args ...any)
}

func newCluster(scope Scope, disks []map[string]string, founds bool) *cluster {
	c := &cluster{scope: scope, nowMs: startMs, healedMs: startMs, checks: newChecks()}
	for i := range scope.Members {
		place := protocol.Node{
			Name: fmt.Sprintf("member-%d", i+1), Address: fmt.Sprintf("10.0.0.%d:7", i+1), Zone: fmt.Sprintf("zone-%d", i%3),
			Part: protocol.Controller, Incarnation: fmt.Sprintf("member-%d-disk", i+1),
		}
		c.members = append(c.members, &member{place: place})
		if i < seeds {
			c.seeds = append(c.seeds, place.Address)
		}
	}
	for i := range c.members {
		keys := map[string]string{}
		if disks != nil {
			keys = maps.Clone(disks[i])
		}
		c.start(i, keys, founds)
		c.push(&event{atMs: c.nowMs + tickMs, kind: tickEvent, member: i})
	}
	return c
}

func (c *cluster) note(format string, args ...any) {
	if c.log != nil {
		c.log(format, args...)
	}
}

// start makes a member's process from its disk.
func (c *cluster) start(i int, keys map[string]string, founds bool) {
	m := c.members[i]
	m.tenant = &rowTenant{}
	machine, err := consensus.New(consensus.Settings{
		Site: site, Self: m.place, Seeds: c.seeds, Tenant: m.tenant, Losses: c.scope.Losses, Founds: founds, LeaveMs: c.scope.LeaveMs,
		Timing: consensus.TimingFor(c.scope.CatchUpMs), AwayMs: consensus.AwayMsFor(c.scope.CatchUpMs), ShowMs: consensus.ShowMsFor(c.scope.CatchUpMs),
	}, keys, c.nowMs)
	if err != nil {
		panic(fmt.Sprintf("modelcheck: a member can't read its own disk: %v", err))
	}
	m.life++
	m.machine, m.down, m.leaving, m.keys = machine, false, false, keys
	m.writeFreeMs = 0
	if c.scope.Wrap != nil {
		m.machine = c.scope.Wrap(m.place.Name, machine)
	}
	m.memo, m.keysMemo = 0, 0
	c.checks.started(m)
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

// later puts an event that was taken off back into the queue, behind those
// that are there for that time.
func (c *cluster) later(e *event, atMs int64) {
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
		case m.down || e.kind == writeEvent && e.life != m.life || c.cut(e):
		case c.nowMs < m.frozenMs:
			c.defrost(e, m)
		default:
			return e
		}
	}
}

// defrost keeps an event for the end of a freeze, in the order of events.
func (c *cluster) defrost(e *event, m *member) {
	e.atMs = m.frozenMs
	c.insert(e)
}

// cut says whether a link between two members is cut.
func (c *cluster) cut(e *event) bool {
	return e.kind == messageEvent && (c.nowMs < c.members[e.member].cutToMs || c.nowMs < c.members[e.from].cutFromMs)
}

// process lets an event happen.
func (c *cluster) process(e *event) {
	switch e.kind {
	case tickEvent:
		c.later(e, c.nowMs+tickMs)
		if !c.members[e.member].down {
			c.step(e.member, protocol.Tick{}, nil)
		}
		c.recovery.tick(c)
	case messageEvent:
		c.step(e.member, e.envelope, e)
	case writeEvent:
		c.complete(e)
		c.step(e.member, protocol.DiskWriteDone{Number: e.save.Number, Ok: true}, nil)
	case actionEvent:
		e.action()
	}
}

// complete makes a write durable.
func (c *cluster) complete(e *event) {
	m := c.members[e.member]
	m.keys = maps.Clone(m.keys)
	e.save.Write.Apply(m.keys)
	m.keysMemo = 0
	c.checks.durable(m, e.save.Write, c.nowMs)
}

// step gives a machine one input and brings its effects into the queue.
func (c *cluster) step(i int, input any, cause *event) {
	m := c.members[i]
	out := m.machine.Step(c.nowMs, input)
	m.memo = 0
	for _, text := range out.LogLines {
		c.note("%s: %s", m.place.Name, text)
	}
	for _, save := range out.DiskWrites {
		m.writeFreeMs = max(m.writeFreeMs, c.nowMs+writeMs)
		c.push(&event{atMs: m.writeFreeMs, kind: writeEvent, member: i, life: m.life, save: save, cause: cause})
	}
	for _, send := range out.Sends {
		to := slices.IndexFunc(c.members, func(other *member) bool { return other.place.Address == send.Address })
		if to < 0 || c.nowMs < m.cutFromMs {
			continue
		}
		envelope := protocol.Envelope{Site: site, From: m.place, To: send.To, Body: send.Body}
		c.push(&event{atMs: c.nowMs + messageMs, kind: messageEvent, member: to, from: i, envelope: envelope})
	}
	for _, answer := range out.Answers {
		if _, departs := answer.Body.(consensus.Departed); departs && m.leaving {
			c.departed(i)
		}
	}
	c.checks.observe(c)
}

// active says whether a member may speak for the site at this moment.
func (c *cluster) active(m *member) bool {
	host := m.tenant.host
	return !m.down && host != nil && host.Active() && c.nowMs < host.LeaseUntilMs()
}

// primary gives the active member, or -1.
func (c *cluster) primary() int {
	return slices.IndexFunc(c.members, c.active)
}

// write submits a row at the primary; nought is returned while there is none.
func (c *cluster) write() int {
	i := c.primary()
	if i < 0 || c.nowMs < c.members[i].frozenMs {
		return 0
	}
	c.writes++
	number := c.writes
	c.note("write %d at %s", number, c.members[i].place.Name)
	c.step(i, Write{Key: rowKey(number), Then: func(ok bool) {
		if ok {
			c.note("write %d is acknowledged", number)
			c.checks.acknowledged(number)
		}
	}}, nil)
	return number
}

func rowKey(number int) string { return fmt.Sprintf("write-%d", number) }

// lost counts the members that are lost now.
func (c *cluster) lost() int { return c.lostWith(0) }

// lose counts a member as lost until it has caught up after a time.
func (c *cluster) lose(m *member, endMs int64) {
	m.lostMs = max(m.lostMs, endMs+c.scope.CatchUpMs)
	c.heal(endMs)
}

// after plans a step of the cluster's own.
func (c *cluster) after(ms int64, about string, action func()) {
	c.push(&event{atMs: c.nowMs + ms, kind: actionEvent, about: about, action: action})
}

// fingerprint names the state of the whole cluster.
func (c *cluster) fingerprint() uint64 {
	var h hasher
	h.number(uint64(c.nowMs))
	for _, m := range c.members {
		// Of a process that ended only its disk has a meaning.
		if !m.down {
			h.number(m.sum())
		}
		h.number(m.keysSum())
		h.number(flags(m.down, m.leaving))
		for _, ms := range []int64{m.frozenMs, m.cutToMs, m.cutFromMs, m.lostMs, m.writeFreeMs} {
			h.number(uint64(max(ms-c.nowMs, 0)))
		}
	}
	for _, e := range c.queue {
		h.number(uint64(e.atMs))
		h.number(uint64(e.kind))
		h.number(uint64(e.member))
		h.number(uint64(e.from))
		h.number(e.sum())
	}
	h.number(uint64(c.writes))
	h.number(uint64(c.healedMs))
	h.value(reflect.ValueOf(c.recovery))
	h.number(c.checks.sum())
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

// kept is what a disk holds of epochs and of the state.
type kept struct {
	witness  witness.State
	record   protocol.EpochRecord
	position protocol.Position
}

// read takes over the keys that a write sets; others stay as they were.
func (k *kept) read(w storage.Write) {
	read := func(key string, into any) {
		if text := w.Sets[key]; text != "" {
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

func (m *member) seat() protocol.MemberID {
	return protocol.MemberID{Name: m.place.Name, Incarnation: m.place.Incarnation}
}

func (m *member) sum() uint64 {
	if m.memo == 0 {
		m.memo = hashOf(m.machine)
	}
	return m.memo
}

func (m *member) keysSum() uint64 {
	if m.keysMemo == 0 {
		m.keysMemo = hashOf(m.keys)
	}
	return m.keysMemo
}

// sum names the content of an event, without its time.
func (e *event) sum() uint64 {
	if e.memo != 0 {
		return e.memo
	}
	switch e.kind {
	case messageEvent:
		e.memo = hashOf(e.envelope)
	case writeEvent:
		e.memo = hashOf(e.save.Write, e.cause.causeSum())
	default:
		e.memo = hashOf(e.about)
	}
	return e.memo
}

// causeSum names what caused a write; its completion may answer that.
func (e *event) causeSum() uint64 {
	if e == nil {
		return 0
	}
	return e.sum()
}
