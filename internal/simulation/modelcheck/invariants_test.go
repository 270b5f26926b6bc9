package modelcheck

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// interceptor wraps a machine and changes its inputs and effects.
type interceptor struct {
	machine StateMachine
	// input changes an input; an input that it changes to nil is dropped.
	input func(input protocol.Input) protocol.Input
	// send changes a message that the machine sends.
	send func(body protocol.Message) protocol.Message
	// write changes a write that the machine requests.
	write func(write storage.Write) storage.Write
}

func (b *interceptor) Step(nowMs int64, input protocol.Input) protocol.Effects {
	if b.input != nil {
		if input = b.input(input); input == nil {
			return protocol.Effects{}
		}
	}
	effects := b.machine.Step(nowMs, input)
	for i := range effects.Sends {
		if b.send != nil {
			effects.Sends[i].Body = b.send(effects.Sends[i].Body)
		}
	}
	for i := range effects.DiskWrites {
		if b.write != nil {
			effects.DiskWrites[i].Write = b.write(effects.DiskWrites[i].Write)
		}
	}
	return effects
}

// losingWrites confirms writes of the replicated state without storing them.
func losingWrites(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, write: func(write storage.Write) storage.Write {
		if write.Set[positionKey] != "" {
			return storage.Write{}
		}
		return write
	}}
}

// repeatingOldWrites repeats the first write of a key in place of the fourth and
// all later ones.
func repeatingOldWrites(key string) func(string, StateMachine) StateMachine {
	return func(member string, machine StateMachine) StateMachine {
		var first *storage.Write
		written := 0
		return &interceptor{machine: machine, write: func(write storage.Write) storage.Write {
			if write.Set[key] == "" {
				return write
			}
			if written++; first == nil {
				first = &write
			}
			if written > 3 {
				return *first
			}
			return write
		}}
	}
}

// acknowledgingEarly acknowledges a write before it is on any disk.
func acknowledgingEarly(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, input: func(input protocol.Input) protocol.Input {
		if write, ok := input.(Write); ok {
			write.Done(true)
		}
		return input
	}}
}

// leaseErrorMs is by how much a faulty primary overestimates its lease.
const leaseErrorMs = 3000

// overestimatingLease starts the lease later than its renewal was sent.
func overestimatingLease(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, input: func(input protocol.Input) protocol.Input {
		if envelope, ok := input.(protocol.Envelope); ok {
			if reply, isReply := envelope.Body.(protocol.AcceptReply); isReply {
				reply.EchoMs += leaseErrorMs
				envelope.Body = reply
				return envelope
			}
		}
		return input
	}}
}

// hidingRecords removes the record that a witness accepted from its promises.
func hidingRecords(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, send: func(body protocol.Message) protocol.Message {
		if reply, isReply := body.(protocol.PrepareReply); isReply {
			reply.Record, reply.Kept = protocol.EpochRecord{}, protocol.Ballot{}
			return reply
		}
		return body
	}}
}

// ignoringPrepare drops all prepare messages of candidates.
func ignoringPrepare(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, input: func(input protocol.Input) protocol.Input {
		if envelope, ok := input.(protocol.Envelope); ok {
			if _, isPrepare := envelope.Body.(protocol.Prepare); isPrepare {
				return nil
			}
		}
		return input
	}}
}

// startDuringRecord starts all members. Its window starts while the record of the
// first epoch after the start is being accepted.
var startDuringRecord = Scenario{Name: "start, from the record", WindowMs: 59}

// Each invariant is violated by a machine with a deliberate fault, and the same
// bounds with the real machine violate none.
func TestBrokenMachinesViolateInvariants(t *testing.T) {
	crashes, _ := FindScenario("primary crashes")
	steady, _ := FindScenario("steady")
	written := steady
	written.WindowMs = settledMs + 100
	for _, test := range []struct {
		name      string
		invariant Invariant
		wrap      func(string, StateMachine) StateMachine
		scope     Scope
	}{
		{"a disk that loses writes", AcknowledgedWritesKept, losingWrites, Scope{Scenario: crashes, Depth: 1}},
		{"a write acknowledged too early", AcknowledgedWritesKept, acknowledgingEarly, Scope{
			Scenario: written, Deviations: 1, Depth: 6, Faults: []FaultKind{CrashMidSend},
		}},
		{"a witness repeats an old write", WitnessMonotonic, repeatingOldWrites(witness.Key), Scope{Scenario: crashes, Depth: 1}},
		{"a replica repeats an old write", PositionMonotonic, repeatingOldWrites(positionKey), Scope{Scenario: crashes, Depth: 1}},
		{"a primary overestimates its lease", OnePrimary, overestimatingLease, Scope{
			Scenario: steady, Deviations: 1, Depth: 5, Faults: []FaultKind{Partition},
		}},
		{"a witness hides its record", OneRecordPerEpoch, hidingRecords, Scope{
			Scenario: startDuringRecord, Deviations: 2, Depth: 12, Faults: []FaultKind{DropMessage, CrashMidSend}, Messages: []string{"Accept"},
		}},
		{"a witness never replies to a candidate", Recovers, ignoringPrepare, Scope{Scenario: crashes, Depth: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			scope := test.scope
			scope.ProbeDeviations, scope.Workers = -1, 2
			assertNoViolation(c, scope, Explore(scope))
			scope.Wrap = test.wrap
			var violated []Invariant
			for _, found := range Explore(scope).Found {
				violated = append(violated, found.Violation.Invariant)
			}
			c.Assert(violated, qt.Contains, test.invariant)
		})
	}
}

// The trace of a violation ends with the violation, and is the same each time.
func TestTraceIsDeterministic(t *testing.T) {
	c := qt.New(t)
	scope := Scope{Depth: 1, ProbeDeviations: -1, Scenario: findScenario(c, "primary crashes"), Wrap: losingWrites}
	found := Explore(scope).Found
	c.Assert(found, qt.HasLen, 1)
	lines := Trace(scope, found[0].Schedule)
	c.Assert(lines[len(lines)-1], qt.Equals, found[0].Violation.String())
	c.Assert(Trace(scope, found[0].Schedule), qt.DeepEquals, lines)
	c.Assert(strings.Join(lines, "\n"), qt.Contains, "SCENARIO crash")
}

// Machines with the same history have the same hash. An input that changes any
// field, including unexported ones, changes the hash.
func TestHashCoversEveryField(t *testing.T) {
	machine := func(inputs ...protocol.Input) uint64 {
		scope := Scope{}.withDefaults()
		c := newCluster(scope, nil, true)
		for _, input := range inputs {
			c.members[0].machine.Step(startMs+1, input)
		}
		return hashOf(c.members[0].machine)
	}
	other := protocol.Node{Name: "member-2", Address: "10.0.0.2:7", Part: protocol.RoleController, Incarnation: "member-2-disk"}
	from := func(body protocol.Message) protocol.Envelope {
		return protocol.Envelope{Site: siteName, From: other, To: "member-1", Body: body}
	}
	qt.Assert(t, machine(), qt.Equals, machine())
	for _, test := range []struct {
		name  string
		input protocol.Input
	}{
		{"a tick", protocol.Tick{}},
		{"a heartbeat from a peer", from(protocol.Heartbeat{})},
		{"a prepare message", from(protocol.Prepare{Ballot: protocol.Ballot{Round: 1, Name: "member-2"}, Found: true})},
		{"a planned stop", consensus.Leave{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, machine(test.input), qt.Not(qt.Equals), machine())
			qt.Check(t, machine(test.input), qt.Equals, machine(test.input))
		})
	}
}

// The fields that a hash skips are listed here one by one. A new field that has such
// a name by accident makes the test fail.
func TestHashSkipsOnlyTheseFields(t *testing.T) {
	skipped := map[string]bool{}
	seen := map[reflect.Type]bool{}
	var walk func(kind reflect.Type)
	walk = func(kind reflect.Type) {
		if seen[kind] || skippedTypes[kind] {
			return
		}
		seen[kind] = true
		switch kind.Kind() {
		case reflect.Map:
			walk(kind.Key())
			walk(kind.Elem())
		case reflect.Pointer, reflect.Slice, reflect.Array:
			walk(kind.Elem())
		case reflect.Struct:
			for i := range kind.NumField() {
				field := kind.Field(i)
				if skippedFields[field.Name] || lengthOnlyFields[field.Name] {
					skipped[kind.String()+"."+field.Name] = true
					continue
				}
				walk(field.Type)
			}
		}
	}
	walk(reflect.TypeFor[consensus.Machine]())
	qt.Assert(t, slices.Sorted(maps.Keys(skipped)), qt.DeepEquals, []string{
		"consensus.Machine.local", "consensus.Machine.out", "consensus.disk.saved", "consensus.disk.saves",
		"failuredetector.Detector.sorted", "failuredetector.Detector.sum",
	})
}
