package modelcheck

import (
	"fmt"
	"maps"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

const (
	siteName = "checked"
	// startMs is the virtual time at which a cluster starts.
	startMs = 1_000_000_000
	tickMs  = 50
	// messageMs and writeMs are how long a message and a write take without a fault.
	messageMs = 1
	writeMs   = 2
	seedCount = 3
	zoneCount = 3
)

// member is one controller: a machine, its disk and its links.
type member struct {
	node        protocol.Node
	machine     StateMachine
	application *rowApplication
	// disk holds the durable keys.
	disk map[string]string
	// cachedHash and cachedDiskHash are the hashes of the machine and the disk, or
	// 0 after a change.
	cachedHash, cachedDiskHash uint64
	// incarnation counts the starts of the process. wipes counts its restarts with an
	// empty disk.
	incarnation, wipes int
	isDown             bool
	// isStopping is true during a planned stop; plannedStop is the fault that started
	// it.
	isStopping    bool
	plannedStop   Fault
	frozenUntilMs int64
	// inboundLostUntilMs and outboundLostUntilMs are the times until which messages to
	// it and from it are lost.
	inboundLostUntilMs, outboundLostUntilMs int64
	// lostUntilMs is the time until which it counts as lost.
	lostUntilMs int64
	// writesDoneMs is when its last requested write completes.
	writesDoneMs int64
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
	// processed counts the events processed so far.
	processed int
	// faultsEndMs is the latest end of a fault so far, rounded up.
	faultsEndMs int64
	// writes counts the writes that were submitted.
	writes   int
	recovery recovery
	// log receives each line of the trace; it is nil if no trace is wanted.
	log func(format string, args ...any)
}

// newCluster starts all members from their disks, or from empty disks if disks is
// nil.
func newCluster(scope Scope, disks []map[string]string, isFirstStart bool) *cluster {
	c := &cluster{scope: scope, nowMs: startMs, faultsEndMs: startMs, checks: newInvariants()}
	for i := range scope.Members {
		c.members = append(c.members, &member{node: newNode(i)})
		if i < seedCount {
			c.seeds = append(c.seeds, c.members[i].node.Address)
		}
	}
	for i := range c.members {
		disk := map[string]string{}
		switch {
		case disks != nil:
			disk = maps.Clone(disks[i])
		case isFirstStart:
			disk = consensus.InitialRows()
		}
		c.startMember(i, disk, isFirstStart)
		c.push(&event{atMs: c.nowMs + tickMs, member: i, body: tick{}})
	}
	return c
}

func newNode(i int) protocol.Node {
	name := fmt.Sprintf("member-%d", i+1)
	return protocol.Node{
		Name: name, Address: fmt.Sprintf("10.0.0.%d:7", i+1), Zone: fmt.Sprintf("zone-%d", i%zoneCount),
		Part: protocol.RoleController, Incarnation: name + "-disk",
	}
}

func (c *cluster) logf(format string, args ...any) {
	if c.log != nil {
		c.log(format, args...)
	}
}

// startMember starts a member's process from a disk.
func (c *cluster) startMember(i int, disk map[string]string, isFirstStart bool) {
	m, catchUpMs := c.members[i], c.scope.CatchUpMs
	m.application = &rowApplication{}
	machine, err := consensus.New(consensus.Settings{
		Site: siteName, Self: m.node, Seeds: c.seeds, Application: m.application, MaxLosses: c.scope.Losses,
		FirstStart: isFirstStart, LeaveTimeoutMs: c.scope.LeaveMs, Timing: consensus.TimingFor(catchUpMs),
		WitnessTimeoutMs: consensus.WitnessTimeoutFor(catchUpMs), ReplicaGraceMs: consensus.ReplicaGraceFor(catchUpMs),
	}, disk, c.nowMs)
	if err != nil {
		panic(fmt.Sprintf("modelcheck: creating the state machine from a member's disk failed: %v", err))
	}
	m.incarnation++
	m.machine, m.isDown, m.isStopping, m.disk = machine, false, false, disk
	m.writesDoneMs = 0
	if c.scope.Wrap != nil {
		m.machine = c.scope.Wrap(m.node.Name, machine)
	}
	m.cachedHash, m.cachedDiskHash = 0, 0
	c.checks.recordStart(m)
}

// completeWrite makes a write durable.
func (c *cluster) completeWrite(i int, write protocol.DiskWrite) {
	m := c.members[i]
	m.disk = maps.Clone(m.disk)
	write.Write.Apply(m.disk)
	m.cachedDiskHash = 0
	c.checks.checkDurable(m, write.Write, c.nowMs)
}

// step passes one input to a machine and schedules its effects. cause is the event
// of the message that is the input, or nil.
func (c *cluster) step(i int, input protocol.Input, cause *event) {
	m := c.members[i]
	effects := m.machine.Step(c.nowMs, input)
	m.cachedHash = 0
	for _, line := range effects.LogLines {
		c.logf("%s: %s", m.node.Name, line)
	}
	for _, write := range effects.DiskWrites {
		m.writesDoneMs = max(m.writesDoneMs, c.nowMs+writeMs)
		completion := &writeCompletion{incarnation: m.incarnation, write: write, cause: cause}
		c.push(&event{atMs: m.writesDoneMs, member: i, body: completion})
	}
	for _, send := range effects.Sends {
		c.send(i, send)
	}
	for _, response := range effects.Responses {
		if _, hasLeft := response.Body.(consensus.LeaveResult); hasLeft && m.isStopping {
			c.scheduleExit(i)
		}
	}
	c.checks.checkPrimaries(c)
}

// send schedules the arrival of a message.
func (c *cluster) send(from int, send protocol.Send) {
	sender := c.members[from]
	if prepare, isPrepare := send.Body.(protocol.Prepare); isPrepare && c.scope.CheckBallots {
		c.checks.checkBallot(sender, prepare.Ballot, c.nowMs)
	}
	to := slices.IndexFunc(c.members, func(m *member) bool { return m.node.Address == send.Address })
	if to < 0 || c.nowMs < sender.outboundLostUntilMs {
		return
	}
	envelope := protocol.Envelope{Site: siteName, From: sender.node, To: send.To, Body: send.Body}
	c.push(&event{atMs: c.nowMs + messageMs, member: to, body: &message{from: from, envelope: envelope}})
}

// isPrimary reports whether a member may act as the primary at this moment.
func (c *cluster) isPrimary(m *member) bool {
	host := m.application.host
	return !m.isDown && host != nil && host.Serves() && c.nowMs < host.LeaseUntilMs()
}

// primary returns the index of the first member that is primary, or -1.
func (c *cluster) primary() int {
	return slices.IndexFunc(c.members, c.isPrimary)
}

// submitWrite submits a row at the primary and returns the number of the write, or
// 0 if no primary can take it.
func (c *cluster) submitWrite() int {
	i := c.primary()
	if i < 0 || c.nowMs < c.members[i].frozenUntilMs {
		return 0
	}
	c.writes++
	number := c.writes
	c.logf("write %d is submitted at %s", number, c.members[i].node.Name)
	done := func(ok bool) {
		if ok {
			c.logf("write %d is acknowledged", number)
			c.checks.recordAcknowledged(number)
		}
	}
	c.step(i, Write{Key: rowKey(number), Done: done}, nil)
	return number
}

func rowKey(number int) string { return fmt.Sprintf("write-%d", number) }

// id identifies the member's disk.
func (m *member) id() protocol.MemberID {
	return protocol.MemberID{Name: m.node.Name, Incarnation: m.node.Incarnation}
}
