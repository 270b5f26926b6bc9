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

// interceptor stands between a cluster and a machine and changes what passes.
type interceptor struct {
	machine Stepper
	// input changes an input; nil is swallowed.
	input func(input any) any
	// send changes the body of a message.
	send func(body protocol.Message) protocol.Message
	// write changes a write.
	write func(write storage.Write) storage.Write
}

func (b *interceptor) Step(nowMs int64, input any) protocol.Effects {
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

// losingWrites says that writes of the state are durable, and forgets them.
func losingWrites(member string, machine Stepper) Stepper {
	return &interceptor{machine: machine, write: func(write storage.Write) storage.Write {
		if write.Set["state/position"] != "" {
			return storage.Write{}
		}
		return write
	}}
}

// repeatingWrites makes an early write of a key durable again in place of later ones.
func repeatingWrites(key string) func(string, Stepper) Stepper {
	return func(member string, machine Stepper) Stepper {
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
func acknowledgingEarly(member string, machine Stepper) Stepper {
	return &interceptor{machine: machine, input: func(input any) any {
		if write, ok := input.(Write); ok {
			write.Then(true)
		}
		return input
	}}
}

// longerLeaseMs is how much longer than given a broken primary counts its lease.
const longerLeaseMs = 3000

// countingLongLeases counts the lease from later than when its renewal was sent.
func countingLongLeases(member string, machine Stepper) Stepper {
	return &interceptor{machine: machine, input: func(input any) any {
		if envelope, ok := input.(protocol.Envelope); ok {
			if kept, answers := envelope.Body.(protocol.AcceptReply); answers {
				kept.EchoMs += longerLeaseMs
				envelope.Body = kept
				return envelope
			}
		}
		return input
	}}
}

// hidingRecords doesn't tell candidates what record a witness keeps.
func hidingRecords(member string, machine Stepper) Stepper {
	return &interceptor{machine: machine, send: func(body protocol.Message) protocol.Message {
		if promised, ok := body.(protocol.PrepareReply); ok {
			promised.Record, promised.Kept = protocol.EpochRecord{}, protocol.Ballot{}
			return promised
		}
		return body
	}}
}

// deafToPromises never answers a candidate.
func deafToPromises(member string, machine Stepper) Stepper {
	return &interceptor{machine: machine, input: func(input any) any {
		if envelope, ok := input.(protocol.Envelope); ok {
			if _, asks := envelope.Body.(protocol.Prepare); asks {
				return nil
			}
		}
		return input
	}}
}

// startsUp is the start of all members from the moment when the first epoch
// after it is being recorded.
var startsUp = Scenario{Name: "start, from the record", WindowMs: 59}

// Each check fires on a variant that breaks what it guards, and the same bounds
// without the variant violate nothing.
func TestChecksFire(t *testing.T) {
	crashes, _ := FindScenario("primary crashes")
	steady, _ := FindScenario("steady")
	written := steady
	written.WindowMs = settledMs + 100
	for _, test := range []struct {
		about string
		check Invariant
		wrap  func(string, Stepper) Stepper
		scope Scope
	}{
		{"a disk that loses writes", AcknowledgedStays, losingWrites, Scope{Scenario: crashes, Depth: 1}},
		{"a write acknowledged too early", AcknowledgedStays, acknowledgingEarly, Scope{
			Scenario: written, Deviations: 1, Depth: 6, Faults: []FaultKind{CrashMidSend},
		}},
		{"a witness's writes go back", WitnessForward, repeatingWrites(witness.Key), Scope{Scenario: crashes, Depth: 1}},
		{"a replica's writes go back", PositionForward, repeatingWrites("state/position"), Scope{Scenario: crashes, Depth: 1}},
		{"a lease is counted too long", OnePrimary, countingLongLeases, Scope{
			Scenario: steady, Deviations: 1, Depth: 5, Faults: []FaultKind{CutOff},
		}},
		{"a witness hides its record", OneRecord, hidingRecords, Scope{
			Scenario: startsUp, Deviations: 2, Depth: 12, Faults: []FaultKind{DropMessage, CrashMidSend}, Messages: []string{"Accept"},
		}},
		{"a witness never answers", Recovers, deafToPromises, Scope{Scenario: crashes, Depth: 1}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			scope := test.scope
			scope.ProbeDeviations, scope.Workers = -1, 2
			assertNoViolation(c, scope, Explore(scope))
			scope.Wrap = test.wrap
			var fired []Invariant
			for _, found := range Explore(scope).Found {
				fired = append(fired, found.Violation.Invariant)
			}
			c.Assert(fired, qt.Contains, test.check)
		})
	}
}

// A violation's trace ends with it, and is the same each time.
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

// Two machines with one history have one fingerprint; any input that changes a
// field, also an unexported one, gives another.
func TestFingerprintSeesEveryField(t *testing.T) {
	machine := func(inputs ...any) uint64 {
		scope := Scope{}.withDefaults()
		c := newCluster(scope, nil, true)
		for _, input := range inputs {
			c.members[0].machine.Step(startMs+1, input)
		}
		return hashOf(c.members[0].machine)
	}
	other := protocol.Node{Name: "member-2", Address: "10.0.0.2:7", Part: protocol.RoleController, Incarnation: "member-2-disk"}
	from := func(body protocol.Message) protocol.Envelope {
		return protocol.Envelope{Site: site, From: other, To: "member-1", Body: body}
	}
	qt.Assert(t, machine(), qt.Equals, machine())
	for _, test := range []struct {
		about string
		input any
	}{
		{"a tick", protocol.Tick{}},
		{"a message of another", from(protocol.Heartbeat{})},
		{"a promise", from(protocol.Prepare{Ballot: protocol.Ballot{Round: 1, Name: "member-2"}, Found: true})},
		{"a planned stop", consensus.Leave{}},
	} {
		t.Run(test.about, func(t *testing.T) {
			qt.Check(t, machine(test.input), qt.Not(qt.Equals), machine())
			qt.Check(t, machine(test.input), qt.Equals, machine(test.input))
		})
	}
}

// What a fingerprint leaves out is listed here field by field, so that a new
// field that happens to have such a name does not go unseen.
func TestFingerprintLeavesOutOnlyTheseFields(t *testing.T) {
	left := map[string]bool{}
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
					left[kind.String()+"."+field.Name] = true
					continue
				}
				walk(field.Type)
			}
		}
	}
	walk(reflect.TypeFor[consensus.Machine]())
	qt.Assert(t, slices.Sorted(maps.Keys(left)), qt.DeepEquals, []string{
		"consensus.Machine.local", "consensus.Machine.out", "consensus.Machine.saved", "consensus.Machine.saves",
		"failuredetector.Detector.sorted", "failuredetector.Detector.sum",
	})
}
