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

// interceptor stands between a cluster and a machine, and changes inputs and
// effects.
type interceptor struct {
	machine StateMachine
	// input changes an input; the machine does not get one that becomes nil.
	input func(input protocol.Input) protocol.Input
	// send changes a message that the machine sends.
	send func(body protocol.Message) protocol.Message
	// write changes a write.
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

// losingWrites confirms writes of the state, and loses them.
func losingWrites(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, write: func(write storage.Write) storage.Write {
		if write.Set[positionKey] != "" {
			return storage.Write{}
		}
		return write
	}}
}

// repeatingWrites repeats an early write of a key in place of later ones.
func repeatingWrites(key string) func(string, StateMachine) StateMachine {
	return func(member string, machine StateMachine) StateMachine {
		var early *storage.Write
		written := 0
		return &interceptor{machine: machine, write: func(write storage.Write) storage.Write {
			if write.Set[key] == "" {
				return write
			}
			if written++; early == nil {
				early = &write
			}
			if written > 3 {
				return *early
			}
			return write
		}}
	}
}

// acknowledgingEarly acknowledges a write before any disk has it.
func acknowledgingEarly(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, input: func(input protocol.Input) protocol.Input {
		if write, ok := input.(Write); ok {
			write.Done(true)
		}
		return input
	}}
}

// longerLeaseMs is by how much a broken primary overestimates its lease.
const longerLeaseMs = 3000

// countingLongLeases counts the lease from a time after its renewal was sent.
func countingLongLeases(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, input: func(input protocol.Input) protocol.Input {
		if envelope, ok := input.(protocol.Envelope); ok {
			if reply, isReply := envelope.Body.(protocol.AcceptReply); isReply {
				reply.EchoMs += longerLeaseMs
				envelope.Body = reply
				return envelope
			}
		}
		return input
	}}
}

// hidingRecords hides from candidates what record a witness accepted.
func hidingRecords(member string, machine StateMachine) StateMachine {
	return &interceptor{machine: machine, send: func(body protocol.Message) protocol.Message {
		if reply, isReply := body.(protocol.PrepareReply); isReply {
			reply.Record, reply.Kept = protocol.EpochRecord{}, protocol.Ballot{}
			return reply
		}
		return body
	}}
}

// ignoringPrepare never answers a candidate.
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

// startFromRecord is the start of all members, with a window from the moment
// when the first epoch after it is being recorded.
var startFromRecord = Scenario{Name: "start, from the record", WindowMs: 59}

// Each invariant is violated by a variant that breaks it, and the same bounds
// without the variant violate none.
func TestInvariantsFire(t *testing.T) {
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
		{"a disk that loses writes", AcknowledgedStays, losingWrites, Scope{Scenario: crashes, Depth: 1}},
		{"a write acknowledged too early", AcknowledgedStays, acknowledgingEarly, Scope{
			Scenario: written, Deviations: 1, Depth: 6, Faults: []FaultKind{CrashMidSend},
		}},
		{"a witness's writes go back", WitnessForward, repeatingWrites(witness.Key), Scope{Scenario: crashes, Depth: 1}},
		{"a replica's writes go back", PositionForward, repeatingWrites(positionKey), Scope{Scenario: crashes, Depth: 1}},
		{"a lease is counted too long", OnePrimary, countingLongLeases, Scope{
			Scenario: steady, Deviations: 1, Depth: 5, Faults: []FaultKind{CutOff},
		}},
		{"a witness hides its record", OneRecord, hidingRecords, Scope{
			Scenario: startFromRecord, Deviations: 2, Depth: 12, Faults: []FaultKind{DropMessage, CrashMidSend}, Messages: []string{"Accept"},
		}},
		{"a witness never answers a candidate", Recovers, ignoringPrepare, Scope{Scenario: crashes, Depth: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			scope := test.scope
			scope.ProbeDeviations, scope.Workers = -1, 2
			assertNoViolation(c, scope, Explore(scope))
			scope.Wrap = test.wrap
			var fired []Invariant
			for _, found := range Explore(scope).Found {
				fired = append(fired, found.Violation.Invariant)
			}
			c.Assert(fired, qt.Contains, test.invariant)
		})
	}
}

// The trace of a violation ends with it, and is the same each time.
func TestTraceRepeats(t *testing.T) {
	c := qt.New(t)
	scope := Scope{Depth: 1, ProbeDeviations: -1, Scenario: scenarioNamed(c, "primary crashes"), Wrap: losingWrites}
	found := Explore(scope).Found
	c.Assert(found, qt.HasLen, 1)
	lines := Trace(scope, found[0].Schedule)
	c.Assert(lines[len(lines)-1], qt.Equals, found[0].Violation.String())
	c.Assert(Trace(scope, found[0].Schedule), qt.DeepEquals, lines)
	c.Assert(strings.Join(lines, "\n"), qt.Contains, "SCENARIO crash")
}

// Machines with the same history have the same hash; any input that changes a
// field, also an unexported one, changes it.
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
		{"a message of another", from(protocol.Heartbeat{})},
		{"a request to promise", from(protocol.Prepare{Ballot: protocol.Ballot{Round: 1, Name: "member-2"}, Found: true})},
		{"a planned stop", consensus.Leave{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, machine(test.input), qt.Not(qt.Equals), machine())
			qt.Check(t, machine(test.input), qt.Equals, machine(test.input))
		})
	}
}

// The fields that a hash skips are listed here one by one, so that a new field
// that happens to have such a name is noticed.
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
