package control

import (
	"myrtlewinch/defect"
	"myrtlewinch/disk"
	"myrtlewinch/ledger"
	"myrtlewinch/wire"
)

const (
	followMs   = 300
	resendMs   = 900
	stallMs    = 1500
	recentMost = 256
)

var beginCommand ledger.Command = ledger.Begin{}

// copies is the copying of the control state: the primary's side of it, and
// what a follower has taken.
type copies struct {
	// synced is what this disk holds; taken is what was asked of it.
	synced, taken wire.Position
	writing       bool
	writeMs       int64
	line          []batch
	waiting       []waiter
	committed     uint64
	base          wire.Position
	recent        []wire.Change
	fellows       map[string]*fellowCopy
	soft          wire.Soft
	sentMs        int64
	beganMs       int64
	// away is the witness that was last said to stay away for good.
	away string
	// fellowsSum names, at a follower, the list of fellows that it took.
	fellowsSum uint64
}

type batch struct {
	commands []ledger.Command
	then     func(ok bool)
}

type waiter struct {
	number uint64
	then   func(ok bool)
}

// fellowCopy is how far a fellow has followed.
type fellowCopy struct {
	incarnation string
	heardMs     int64
	acked       uint64
	sent        uint64
	sentMs      int64
	needsImage  bool
	// fellowsSum names the list of fellows that it has.
	fellowsSum uint64
	// behindMs is since when it lacks changes without taking any, or nought.
	behindMs int64
}

// live says whether the very disk answered lately.
func (c *copies) live(nowMs int64, seat wire.Seat) bool {
	f := c.fellows[seat.Name]
	return f != nil && f.incarnation == seat.Incarnation && nowMs-f.heardMs <= missMs
}

// keepsUp says whether the disk also takes writes: one that stalls lets its
// daemon answer and would hold up every write of the site.
func (c *copies) keepsUp(nowMs int64, seat wire.Seat) bool {
	if !c.live(nowMs, seat) {
		return false
	}
	f := c.fellows[seat.Name]
	return f.behindMs == 0 || nowMs-f.behindMs <= stallMs
}

// counted notes how far the fellow is, and since when it lacks something.
func (f *fellowCopy) counted(nowMs int64, acked, last uint64) {
	if acked > f.acked || acked >= last {
		f.behindMs = 0
	}
	f.acked = acked
	if acked < last && f.behindMs == 0 {
		f.behindMs = nowMs
	}
}

func (m *Machine) beginCopies() {
	c := &m.copies
	c.fellows = map[string]*fellowCopy{}
	c.base, c.recent = m.state.Position, nil
	c.writing = false
	c.committed = 0
	c.sentMs, c.beganMs = m.nowMs-followMs, m.nowMs
	// A recorded fellow has a time to show itself; the one before may be lost.
	for _, seat := range m.record.Pair {
		c.fellows[seat.Name] = &fellowCopy{incarnation: seat.Incarnation, heardMs: m.nowMs - missMs + m.set.ShowMs}
	}
}

// endCopies gives every write that waits the answer that its end is unknown.
func (m *Machine) endCopies() {
	c := &m.copies
	waiting, line := c.waiting, c.line
	c.waiting, c.line, c.fellows, c.recent = nil, nil, nil, nil
	c.writing = false
	for _, w := range waiting {
		w.then(false)
	}
	for _, b := range line {
		b.then(false)
	}
}

// submit hands commands over; then runs once both disks of the pair have
// them, or with false when that can't be known any more.
func (m *Machine) submit(then func(ok bool), commands ...ledger.Command) {
	m.copies.line = append(m.copies.line, batch{commands, then})
	m.pump()
}

func (m *Machine) pump() {
	c := &m.copies
	if c.writing || len(c.line) == 0 || !m.isPrimary() || m.broken {
		return
	}
	var commands []ledger.Command
	number := m.state.Position.Number + 1
	for _, b := range c.line {
		commands = append(commands, b.commands...)
		c.waiting = append(c.waiting, waiter{number, b.then})
	}
	c.line = nil
	change := wire.Change{Before: m.state.Position, At: wire.Position{Epoch: m.record.Epoch, Number: number}}
	change.Rows = m.state.Do(change.At, commands)
	m.stateChanged(change.Rows)
	c.recent = append(c.recent, change)
	if len(c.recent) > recentMost {
		c.base = c.recent[0].At
		c.recent = c.recent[1:]
	}
	c.writing, c.writeMs = true, m.nowMs
	m.keepRows(disk.Write{Sets: change.Rows}, change.At, func() {
		if m.isPrimary() {
			m.copies.writing = false
			m.advance()
			m.pump()
		}
	})
	for _, place := range m.roster.Part(wire.Controller) {
		m.sendCopy(place)
	}
}

// keepRows saves state rows; saves end in the order they were asked for.
func (m *Machine) keepRows(w disk.Write, at wire.Position, then func()) {
	m.copies.taken = at
	m.save(w, func(ok bool) {
		if ok {
			m.copies.synced = at
			then()
		}
	})
}

// advance answers the writes that both disks of the pair now have.
func (m *Machine) advance() {
	c := &m.copies
	if !m.isPrimary() || m.nowMs >= m.seat.holdUntilMs {
		return
	}
	done := c.synced.Number
	pairs := [][]wire.Seat{m.record.Pair}
	// While a new pair is being recorded, either may turn out to be in force.
	if m.seat.proposal != nil {
		pairs = append(pairs, m.seat.proposal.Pair)
	}
	for _, pair := range pairs {
		for _, seat := range pair {
			if seat.Name == m.set.Self.Name {
				continue
			}
			f := c.fellows[seat.Name]
			if f == nil || f.incarnation != seat.Incarnation {
				return
			}
			done = min(done, f.acked)
		}
	}
	c.committed = max(c.committed, done)
	for len(c.waiting) > 0 && c.waiting[0].number <= c.committed {
		next := c.waiting[0]
		c.waiting = c.waiting[1:]
		next.then(true)
	}
}

func (m *Machine) tickCopies() {
	if !m.isPrimary() || m.nowMs-m.copies.sentMs < followMs {
		return
	}
	// A stalled disk would hold up the whole site; another's will not.
	if m.copies.writing && m.nowMs-m.copies.writeMs > stallMs {
		m.stepDown("the disk stalls")
		return
	}
	m.copies.sentMs = m.nowMs
	if m.set.Tenant == nil {
		m.copies.soft = m.duty.soft(m.nowMs)
	}
	for _, place := range m.roster.Part(wire.Controller) {
		m.sendCopy(place)
	}
}

func (m *Machine) sendCopy(to wire.Place) {
	c := &m.copies
	f := c.fellows[to.Name]
	if f == nil {
		f = &fellowCopy{incarnation: to.Incarnation}
		c.fellows[to.Name] = f
	}
	if f.needsImage {
		// One image is on its way at a time.
		if m.nowMs-f.sentMs >= resendMs {
			f.sentMs, f.sent = m.nowMs, m.state.Position.Number
			m.send(to, wire.Image{Record: m.record, At: m.state.Position, Rows: m.state.Rowset()})
		}
		return
	}
	if f.acked < f.sent && m.nowMs-f.sentMs >= resendMs {
		f.sent = f.acked
	}
	follow := wire.Follow{Record: m.record, Ballot: m.seat.ballot, Last: m.state.Position, Soft: c.soft, FellowsSum: m.roster.Sum()}
	if f.fellowsSum != follow.FellowsSum {
		follow.Fellows = m.roster.Places()
	}
	for _, change := range c.recent {
		if change.At.Number > f.sent {
			follow.Changes = append(follow.Changes, change)
		}
	}
	if len(follow.Changes) > 0 {
		f.sent, f.sentMs = m.state.Position.Number, m.nowMs
	}
	m.send(to, follow)
}

// onChain says whether a position is one this primary's state went through.
func (c *copies) onChain(at wire.Position) bool {
	if at == c.base {
		return true
	}
	for _, change := range c.recent {
		if change.At == at {
			return true
		}
	}
	return false
}

func (m *Machine) followed(from wire.Place, said wire.Followed) {
	c := &m.copies
	if !m.isPrimary() || said.Epoch != m.record.Epoch && said.Epoch != m.record.Epoch-1 {
		return
	}
	f := c.fellows[from.Name]
	if f == nil || f.incarnation != from.Incarnation {
		f = &fellowCopy{incarnation: from.Incarnation}
		c.fellows[from.Name] = f
	}
	f.heardMs, f.fellowsSum = m.nowMs, said.FellowsSum
	if !c.onChain(said.At) {
		f.counted(m.nowMs, 0, m.state.Position.Number)
		if !f.needsImage {
			f.needsImage = true
			f.sentMs = m.nowMs - resendMs
		}
		return
	}
	f.needsImage = false
	f.counted(m.nowMs, said.At.Number, m.state.Position.Number)
	f.sent = max(f.sent, f.acked)
	m.advance()
}

// heedPrimary says whether a message of a primary counts.
func (m *Machine) heedPrimary(from wire.Place, record wire.Record, ballot wire.Ballot) bool {
	if record.Epoch < m.record.Epoch || record.Primary != from.Name || record.Epoch == 0 {
		m.count(defect.LowerEpoch)
		return false
	}
	if record.Epoch > m.record.Epoch && m.isPrimary() {
		m.loseSeat("a higher epoch serves")
	}
	m.adopt(record, ballot)
	m.seat.heardMs = m.nowMs
	// A candidate that hears the primary after all has no more cause.
	if m.seat.role == asking {
		m.retreat(0)
	}
	return true
}

func (m *Machine) follow(e wire.Envelope, said wire.Follow) {
	if m.isPrimary() && said.Record.Epoch == m.record.Epoch || !m.heedPrimary(e.From, said.Record, said.Ballot) {
		return
	}
	if len(said.Fellows) > 0 {
		m.copies.fellowsSum = 0
		if m.roster.Learn(m.nowMs, said.Fellows) {
			m.copies.fellowsSum = said.FellowsSum
		}
	}
	m.copies.soft = said.Soft
	m.table.Forget()
	took := false
	for _, change := range said.Changes {
		if change.Before != m.copies.taken || m.broken {
			continue
		}
		if err := m.takeRows(change.Rows); err != nil {
			m.note("a change can't be read: %v", err)
			m.count(defect.Malformed)
			break
		}
		took = true
		m.keepRows(disk.Write{Sets: change.Rows}, change.At, func() { m.tellFollowed(e.From) })
	}
	if !took {
		m.tellFollowed(e.From)
	}
}

func (m *Machine) image(e wire.Envelope, said wire.Image) {
	if m.isPrimary() || m.broken || !m.heedPrimary(e.From, said.Record, wire.Ballot{}) {
		return
	}
	fresh := ledger.New()
	if err := fresh.Take(said.Rows); err != nil {
		m.note("an image can't be read: %v", err)
		m.count(defect.Malformed)
		return
	}
	m.state = fresh
	m.stateChanged(said.Rows)
	m.note("took an image at change %d", said.At.Number)
	m.keepRows(disk.Write{Clear: ledger.Prefix, Sets: said.Rows}, said.At, func() { m.tellFollowed(e.From) })
}

func (m *Machine) takeRows(rows map[string]string) error {
	if err := m.state.Take(rows); err != nil {
		return err
	}
	m.stateChanged(rows)
	return nil
}

// tellFollowed says how far this disk is. One that takes no writes any more
// says nothing, so that another takes its part.
func (m *Machine) tellFollowed(to wire.Place) {
	if m.broken {
		return
	}
	m.send(to, wire.Followed{Epoch: m.record.Epoch, At: m.copies.synced, WitnessBlank: m.witness.Blank(), FellowsSum: m.copies.fellowsSum})
}

// stateChanged brings what is compiled from the state up to it.
func (m *Machine) stateChanged(rows map[string]string) {
	if m.set.Tenant != nil {
		m.set.Tenant.Changed(host{m})
		return
	}
	m.table.Forget()
	if _, ok := rows[ledger.Prefix+"revision"]; ok {
		if err := m.describe(); err != nil {
			m.note("%v", err)
		}
	}
	m.tellWaiting()
}
