// Package consensus is a controller without its application. It combines election,
// replication, membership, the witness of this disk and the failure detector in one
// state machine, and stores their durable state on the disk. Applications, such as the
// platform's controller, run on top of it: they read and change the replicated state
// through Host.
package consensus

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/election"
	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/failuredetector"
	"myrtlewinch/internal/membership"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/replication"
	"myrtlewinch/internal/statetable"
)

// Machine is one controller. It reads no clock, no socket and no disk.
type Machine struct {
	settings Settings
	startMs  int64
	nowMs    int64
	// out collects the effects of the current step. local collects the messages of this
	// daemon to itself.
	out   protocol.Effects
	local []protocol.Envelope
	disk  disk
	// witness is the witness of this disk.
	witness witnessState
	// election, primary, follower and planner are the state of election, replication and
	// membership.
	election election.Machine
	primary  replication.Primary
	follower replication.Follower
	planner  membership.Planner
	// state is the replicated state. At a primary it may contain changes that are not
	// committed yet.
	state *statetable.Table
	// hints is what the primary sends its followers without storing it. At a follower it
	// holds the hints that were received last.
	hints protocol.Hints
	// minReplicas is how many disks must hold a change before it is committed.
	minReplicas int
	detector    *failuredetector.Detector
	savedNodes  savedNodes
	leaving     plannedShutdown
	// retired is true if this disk is superseded, that is, if its name permanently belongs
	// to another disk.
	retired bool
}

// New returns a controller with the state of the rows that its disk holds.
func New(settings Settings, rows map[string]string, nowMs int64) (*Machine, error) {
	m := &Machine{
		settings: settings.withDefaults(), minReplicas: settings.MaxLosses + 1, startMs: nowMs, nowMs: nowMs,
		state: settings.newState(), disk: newDisk(), retired: rows[retiredKey] != "",
	}
	acceptor, err := witness.New(m.self(), rows[witness.Key], nowMs, m.settings.Timing.LeaseMs)
	if err != nil {
		return nil, errors.Wrap(err, "decoding the witness's row on the disk failed")
	}
	m.witness.acceptor = acceptor
	if err := m.state.Load(rows); err != nil {
		return nil, errors.Wrap(err, "decoding the replicated state on the disk failed")
	}
	saved, err := savedElection(rows, acceptor)
	if err != nil {
		return nil, err
	}
	m.election = election.New(m.settings.electionConfig(nowMs), saved)
	var nodes []protocol.Node
	if text := rows[nodesKey]; text != "" {
		if err := json.Unmarshal([]byte(text), &nodes); err != nil {
			return nil, errors.Wrap(err, "decoding the known nodes on the disk failed")
		}
	}
	m.detector = failuredetector.New(settings.Self, settings.Seeds, nodes)
	m.savedNodes.savedMs = nowMs - saveNodesMs
	m.primary = replication.NewPrimary(m.settings.Timing.replicationTiming())
	m.follower = replication.NewFollower(m.state.Position)
	if settings.Hooks != nil {
		settings.Hooks.Attach(host{m})
	}
	settings.Application.StateChanged(host{m})
	return m, nil
}

// savedElection reads the state of earlier elections from the rows of the disk.
func savedElection(rows map[string]string, acceptor *witness.Acceptor) (election.Saved, error) {
	var known savedRecord
	if text := rows[recordKey]; text != "" {
		if err := json.Unmarshal([]byte(text), &known); err != nil {
			return election.Saved{}, errors.Wrap(err, "decoding the epoch record on the disk failed")
		}
	}
	// The record that the witness accepted may not have been chosen, so only its lists
	// of witnesses are used.
	if acceptor.Record.Epoch > 0 && known.Record.Epoch == 0 {
		known.Record.Witnesses, known.Record.Before = acceptor.Record.Witnesses, acceptor.Record.Before
	}
	return election.Saved{Record: known.Record, Ballot: known.Ballot, InitialDisk: rows[initialDiskKey] != ""}, nil
}

func (m *Machine) self() protocol.MemberID { return memberID(m.settings.Self) }

func memberID(node protocol.Node) protocol.MemberID {
	return protocol.MemberID{Name: node.Name, Incarnation: node.Incarnation}
}

// record returns the active record, as far as this daemon knows.
func (m *Machine) record() protocol.EpochRecord { return m.election.Record }

func (m *Machine) isPrimary() bool { return m.election.IsPrimary() }

// serves reports whether this daemon may answer on behalf of the site.
func (m *Machine) serves() bool { return m.election.Serves(m.nowMs) }

// Inputs in addition to those of package protocol and of the application.
type (
	// Bootstrap is an operator's request to bootstrap or recover a site. The reply is a
	// BootstrapResult or a protocol.Rejection.
	Bootstrap = election.Bootstrap
	// Leave begins a planned shutdown. It is answered with a LeaveResult once other
	// daemons have this daemon's replica and vote, or after Settings.LeaveTimeoutMs.
	Leave struct{ ID uint64 }
	// SetSeeds replaces the seeds after the settings have changed.
	SetSeeds struct{ Seeds []string }
)

// MachineInput marks Leave as a protocol.Input.
func (Leave) MachineInput() {}

// MachineInput marks SetSeeds as a protocol.Input.
func (SetSeeds) MachineInput() {}

// Step handles one input and returns its effects. The input is an Envelope, DiskWriteDone
// or Tick of package protocol, a Bootstrap, Leave or SetSeeds, or one of the application.
func (m *Machine) Step(nowMs int64, input protocol.Input) protocol.Effects {
	m.nowMs = nowMs
	m.out = protocol.Effects{}
	if m.retired {
		m.stepRetired(input)
		return m.out
	}
	// A lease that expired since the last step ends the primacy before the input
	// is handled.
	m.runElection((*election.Machine).CheckLease)
	m.handleInput(input)
	for len(m.local) > 0 {
		next := m.local[0]
		m.local = m.local[1:]
		m.handleEnvelope(next)
	}
	return m.out
}

func (m *Machine) handleInput(input protocol.Input) {
	switch in := input.(type) {
	case protocol.Envelope:
		m.handleEnvelope(in)
	case protocol.DiskWriteDone:
		m.handleWriteDone(in)
	case Bootstrap:
		m.runElection(func(e *election.Machine, env *election.Environment) { e.HandleBootstrap(env, in) })
	case Leave:
		m.beginLeave(in)
	case SetSeeds:
		m.settings.Seeds = in.Seeds
		m.detector.SetSeeds(in.Seeds)
	case protocol.Tick:
		m.tick()
	default:
		if !m.settings.Application.HandleInput(host{m}, input) {
			panic(fmt.Sprintf("consensus: unknown input %T", input))
		}
	}
}

func (m *Machine) tick() {
	record := m.record()
	m.out.Sends = append(m.out.Sends, m.detector.Tick(m.nowMs, record.Epoch, record.Primary, m.serves())...)
	m.tickElection()
	m.tickLeave()
	m.tickReplication()
	m.runElection((*election.Machine).TickBootstrap)
	m.settings.Application.Tick(host{m})
	m.saveNodes()
}

// send sends a message. A message to this daemon itself, such as to its own witness,
// is handled at the end of the step.
func (m *Machine) send(to protocol.Node, body protocol.Message) {
	if to.Name == m.settings.Self.Name {
		m.local = append(m.local, protocol.Envelope{Site: m.settings.Site, From: m.settings.Self, To: to.Name, Body: body})
		return
	}
	m.out.Sends = append(m.out.Sends, protocol.Send{To: to.Name, Address: to.Address, Body: body})
}

func (m *Machine) logf(format string, args ...any) {
	m.out.LogLines = append(m.out.LogLines, fmt.Sprintf(format, args...))
}

func (m *Machine) count(kind errkind.Kind) { m.out.Counts = append(m.out.Counts, string(kind)) }

func (m *Machine) respond(id uint64, body protocol.Reply) {
	m.out.Responses = append(m.out.Responses, protocol.Response{ID: id, Body: body})
}
