package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// served is a core that serves, with its members' catch-up behind it.
func served(c *qt.C, losses, count int) *core {
	w := newCore(c, losses, count)
	w.until(10_000, "bootstrap", w.serves)
	w.run(5000)
	return w
}

// write hands a row over and waits until it is acknowledged.
func (w *core) write(row string) {
	answered := w.put(row)
	w.until(3000, "an acknowledgement", func() bool { return *answered })
}

func diskOf(name, incarnation string) protocol.MemberID {
	return protocol.MemberID{Name: name, Incarnation: incarnation}
}

// alonePrimary makes a primary, at 100 s of its clock, whose peers b and c are
// played by the test.
func alonePrimary(t *testing.T) (*Machine, *rowApplication) {
	t.Helper()
	self := protocol.Node{Name: "a", Address: "a:1", Zone: "z", Part: protocol.RoleController, Incarnation: "1"}
	application := &rowApplication{}
	m, err := New(Settings{Site: "s", Self: self, Application: application}, map[string]string{}, 100_000)
	qt.Assert(t, err, qt.IsNil)
	a, b, c := diskOf("a", "1"), diskOf("b", "1"), diskOf("c", "1")
	peer := protocol.Node{Name: "b", Address: "b:1", Zone: "y", Part: protocol.RoleController, Incarnation: "1"}
	m.roster.Observe(100_000, peer)
	m.roster.Observe(100_000, protocol.Node{Name: "c", Address: "c:1", Zone: "y", Part: protocol.RoleController, Incarnation: "1"})
	set := []protocol.MemberID{a, b, c}
	m.election.grants = map[protocol.MemberID]int64{a: 1 << 40, b: 1 << 40}
	m.becomePrimary(protocol.EpochRecord{Epoch: 1, Primary: "a", Replicas: []protocol.MemberID{a, b}, Witnesses: set, Before: set})
	for number := range m.saves {
		m.Step(100_000, protocol.DiskWriteDone{Number: number, Ok: true})
	}
	m.Step(100_000, protocol.Envelope{Site: "s", To: "a", From: peer, Body: protocol.AppendReply{Epoch: 1, At: m.state.Position}})
	qt.Assert(t, m.active(), qt.IsTrue)
	return m, application
}
