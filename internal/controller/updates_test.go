package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/protocol"
)

// versionFormat reads a map that is only its version.
type versionFormat struct{}

func (versionFormat) Parse(text []byte) (*config.Configuration, []string) {
	var d config.Configuration
	if _, err := fmt.Sscanf(string(text), "version %d", &d.Version); err != nil {
		return nil, []string{err.Error()}
	}
	return &d, nil
}

func (versionFormat) ApplyChange(_, change []byte) ([]byte, []string) { return change, nil }

// stubHost is a machine whose copies are always safe at once.
type stubHost struct {
	nowMs                int64
	rows                 map[string]string
	controllers, routers []protocol.Node
	sent                 []protocol.Send
	answers              []any
	// outOfContact says that no majority is known to stand behind this daemon.
	outOfContact bool
}

var testSelf = protocol.Node{Name: "core-1", Address: "c:1", Part: protocol.RoleController}

func (h *stubHost) NowMs() int64           { return h.nowMs }
func (h *stubHost) Active() bool           { return true }
func (h *stubHost) QuorumContact() bool    { return !h.outOfContact }
func (h *stubHost) LeaseUntilMs() int64    { return h.nowMs + 2000 }
func (h *stubHost) OrdersFromMs() int64    { return h.nowMs }
func (h *stubHost) Self() protocol.Node    { return testSelf }
func (h *stubHost) Epoch() uint64          { return 1 }
func (h *stubHost) Primary() protocol.Node { return testSelf }
func (h *stubHost) Controllers() []protocol.Node {
	return append([]protocol.Node{}, h.controllers...)
}
func (h *stubHost) Routers() []protocol.Node              { return h.routers }
func (h *stubHost) Row(key string) string                 { return h.rows[key] }
func (h *stubHost) Call(string, protocol.OutboundRequest) {}
func (h *stubHost) Answer(_ uint64, body any)             { h.answers = append(h.answers, body) }
func (h *stubHost) Logf(string, ...any)                   {}
func (h *stubHost) Count(string)                          {}

func (h *stubHost) Send(to protocol.Node, body protocol.Message) {
	h.sent = append(h.sent, protocol.Send{To: to.Name, Address: to.Address, Body: body})
}

func (h *stubHost) Submit(rows map[string]string, then func(ok bool)) {
	for key, text := range rows {
		h.rows[key] = text
	}
	then(true)
}

// said gives the words that were sent since the last time.
func (h *stubHost) said() []protocol.ConfigUpdate {
	var out []protocol.ConfigUpdate
	for _, send := range h.sent {
		if word, ok := send.Body.(protocol.ConfigUpdate); ok {
			out = append(out, word)
		}
	}
	h.sent = nil
	return out
}

func placed(part string, count int) []protocol.Node {
	var out []protocol.Node
	for i := range count {
		out = append(out, protocol.Node{Name: fmt.Sprintf("%s-%d", part, i+10), Address: fmt.Sprintf("%s:%d", part, i), Part: part})
	}
	return out
}

func newPrimary(routers int) (*stubHost, *Controller) {
	h := &stubHost{nowMs: 10_000, rows: map[string]string{}, controllers: placed(protocol.RoleController, 4), routers: placed(protocol.RoleRouter, routers)}
	s := New(Settings{Self: testSelf, Bounds: bounds.Bounds{}}, versionFormat{})
	s.BecamePrimary(h)
	s.HandleInput(h, SubmitConfig{ID: 1, Text: "version 1" + strings.Repeat(" model", 10_000)})
	return h, s
}

func ask(h *stubHost, s *Controller, in protocol.ConfigPoll) protocol.ConfigUpdate {
	h.said()
	s.HandleMessage(h, protocol.Envelope{From: protocol.Node{Name: "router-x", Address: "x:1", Part: protocol.RoleRouter}, Body: in})
	return h.said()[0]
}

// What a router has already is not told again, whatever part of it that is.
func TestWordsLeaveOutWhatIsThere(t *testing.T) {
	h, s := newPrimary(2)
	s.HandleInput(h, protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{{ID: "p1", Service: "pages", LeftMs: 500, Leaving: true}}})
	full := ask(h, s, protocol.ConfigPoll{EchoMs: 9})
	qt.Assert(t, full.EchoMs, qt.Equals, int64(9))
	qt.Assert(t, full.Leaving, qt.DeepEquals, []string{"p1"})
	qt.Assert(t, full.Controllers, qt.HasLen, 5)
	text, err := protocol.Decompress(full.Packed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, protocol.Digest(text), qt.Equals, full.Sum)
	cases := []struct {
		about                    string
		ask                      protocol.ConfigPoll
		text, leaving, companion bool
	}{
		{"all", protocol.ConfigPoll{Version: 1, LeavingSum: full.LeavingSum, ControllersSum: full.ControllersSum}, false, false, false},
		{"no map", protocol.ConfigPoll{LeavingSum: full.LeavingSum, ControllersSum: full.ControllersSum}, true, false, false},
		{"other leavers", protocol.ConfigPoll{Version: 1, LeavingSum: 7, ControllersSum: full.ControllersSum}, false, true, false},
		{"other controllers", protocol.ConfigPoll{Version: 1, LeavingSum: full.LeavingSum, ControllersSum: 7}, false, false, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h.nowMs += resendIntervalMs
			word := ask(h, s, test.ask)
			qt.Assert(t, len(word.Packed) > 0, qt.Equals, test.text)
			qt.Assert(t, len(word.Leaving) > 0, qt.Equals, test.leaving)
			qt.Assert(t, len(word.Controllers) > 0, qt.Equals, test.companion)
			qt.Assert(t, word.LeavingSum, qt.Equals, full.LeavingSum)
			qt.Assert(t, word.ControllersSum, qt.Equals, full.ControllersSum)
		})
	}
}

// A new map and a new leaver go to every router at once, the map only where
// it is new.
func TestChangesAreTold(t *testing.T) {
	h, s := newPrimary(3)
	words := h.said()
	qt.Assert(t, words, qt.HasLen, 6)
	for _, word := range words[3:] {
		qt.Assert(t, len(word.Packed) > 0, qt.IsTrue)
		qt.Assert(t, word.Version, qt.Equals, uint64(1))
	}
	s.HandleInput(h, protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{{ID: "p1", Service: "pages", LeftMs: 500, Leaving: true}}})
	words = h.said()
	qt.Assert(t, words, qt.HasLen, 3)
	for _, word := range words {
		qt.Assert(t, word.Leaving, qt.DeepEquals, []string{"p1"})
		qt.Assert(t, word.Packed, qt.IsNil)
	}
}

// A map that is on its way to a router is not sent again, but to another life
// of it, or where it seems lost, or where a newer one is in force.
func TestAMapOnItsWay(t *testing.T) {
	cases := []struct {
		about   string
		laterMs int64
		life    string
		newer   bool
		want    bool
	}{
		{"at once", 10, "1", false, false},
		{"long after", resendIntervalMs, "1", false, true},
		{"another life", 10, "2", false, true},
		{"a newer map", 10, "1", true, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h, s := newPrimary(0)
			from := protocol.Node{Name: "router-x", Address: "x:1", Part: protocol.RoleRouter, Incarnation: "1"}
			sent := func() bool {
				h.said()
				s.HandleMessage(h, protocol.Envelope{From: from, Body: protocol.ConfigPoll{EchoMs: h.nowMs}})
				return len(h.said()[0].Packed) > 0
			}
			qt.Assert(t, sent(), qt.IsTrue)
			h.nowMs += test.laterMs
			from.Incarnation = test.life
			if test.newer {
				s.HandleInput(h, SubmitConfig{ID: 2, BaseVersion: 1, Text: "version 2"})
			}
			qt.Assert(t, sent(), qt.Equals, test.want)
		})
	}
}

// A map lies packed in the copied state, and a follower reads it from there.
func TestFollowerReadsTheRow(t *testing.T) {
	h, _ := newPrimary(1)
	var kept storedConfig
	qt.Assert(t, json.Unmarshal([]byte(h.rows[configRow]), &kept), qt.IsNil)
	qt.Assert(t, len(h.rows[configRow]) < 2_000, qt.IsTrue)
	follower := New(Settings{Self: testSelf, Bounds: bounds.Bounds{}}, versionFormat{})
	follower.StateChanged(h)
	qt.Assert(t, follower.config.active.version, qt.Equals, uint64(1))
	qt.Assert(t, len(follower.config.active.text), qt.Equals, len("version 1")+60_000)
}

// The constant question costs the same however many routers there are.
func BenchmarkAsked(b *testing.B) {
	for _, routers := range []int{89, 330} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			h, s := newPrimary(routers)
			from := h.routers[0]
			in := protocol.ConfigPoll{Version: 1, LeavingSum: s.routers.leaving.sum, ControllersSum: s.routers.summary.controllersSum}
			for i := range b.N {
				// As many ask in each ms as the routers there are would.
				h.nowMs = 10_000 + int64(i)*300/int64(routers)
				s.HandleMessage(h, protocol.Envelope{From: from, Body: in})
				h.sent = h.sent[:0]
			}
		})
	}
}
