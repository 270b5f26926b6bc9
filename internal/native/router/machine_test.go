package router

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// bench drives one router by hand.
type bench struct {
	c     *qt.C
	m     *Machine
	nowMs int64
	out   protocol.Effects
	ids   uint64
}

var coreNode = protocol.Node{Name: "core-1", Address: "c1", Part: protocol.RoleController}

func newBench(c *qt.C) *bench {
	c.Helper()
	text, err := os.ReadFile("../../../examples/zagreb.json")
	c.Assert(err, qt.IsNil)
	b := &bench{c: c, nowMs: 10_000}
	b.m = New(Settings{Site: "zagreb", Self: protocol.Node{Name: "edge-1", Incarnation: "i", Zone: "trnje"}, Platform: "p"}, b.nowMs)
	b.receive(protocol.PollRequest{Epoch: 1})
	b.update(protocol.RouterUpdate{Revision: 1, Text: string(text), Sum: "one"})
	return b
}

func (b *bench) step(input protocol.Input) protocol.Effects {
	b.out = b.m.Step(b.nowMs, input)
	return b.out
}

func (b *bench) receive(body protocol.Message) protocol.Effects {
	return b.step(protocol.Envelope{Site: "zagreb", From: coreNode, Body: body})
}

// update answers the latest question with the primary's word, renewed.
func (b *bench) update(w protocol.RouterUpdate) {
	b.nowMs++
	b.m.pollPrimary()
	b.nowMs++
	w.EchoMs, w.For, w.Renew = b.nowMs-1, "i", true
	if w.Epoch == 0 {
		w.Epoch = 1
	}
	b.receive(w)
}

func (b *bench) request(service, model, name string) protocol.Effects {
	b.ids++
	return b.step(Request{ID: b.ids, Service: service, Model: model, RequestID: name, ClientChoseID: true})
}

func (b *bench) index(key string, number uint64, runners ...string) protocol.Effects {
	index := protocol.LookUpReply{ID: b.m.lookUpCount, Key: key, At: protocol.Position{Epoch: 1, Number: number}}
	for _, name := range runners {
		index.Holders = append(index.Holders, protocol.Holder{Runner: name, Incarnation: name + "-1", Address: name})
	}
	return b.receive(index)
}

func (b *bench) lookUps() int {
	count := 0
	for _, send := range b.out.Sends {
		if _, ok := send.Body.(protocol.LookUp); ok {
			count++
		}
	}
	return count
}

// attempts gives the runners that the last step sent requests to.
func (b *bench) attempts() []string {
	var runners []string
	for _, answer := range b.out.Responses {
		if to, ok := answer.Body.(StartAttempt); ok {
			runners = append(runners, to.Runner)
		}
	}
	return runners
}

func (b *bench) kind() errkind.Kind {
	for _, answer := range b.out.Responses {
		if said, ok := answer.Body.(Reject); ok {
			return said.Kind
		}
	}
	return ""
}

const moveKey = "move//"

func TestMissWaitsAndHitDoesNot(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.request("move", "", "a")
	c.Assert(b.lookUps(), qt.Equals, 1)
	c.Assert(b.attempts(), qt.HasLen, 0, qt.Commentf("a miss waits"))
	b.index(moveKey, 1, "table-1")
	c.Assert(b.attempts(), qt.DeepEquals, []string{"table-1"})
	b.request("move", "", "b")
	c.Assert(b.lookUps(), qt.Equals, 1, qt.Commentf("a hit asks too"))
	c.Assert(b.attempts(), qt.DeepEquals, []string{"table-1"}, qt.Commentf("and goes without waiting"))
	// Newer replaces older, never the reverse.
	b.index(moveKey, 3, "table-2")
	b.index(moveKey, 2, "table-3")
	b.request("move", "", "c")
	c.Assert(b.attempts(), qt.DeepEquals, []string{"table-2"})
	// Past its bound an entry is a miss.
	b.update(protocol.RouterUpdate{Revision: 1, Sum: "one"})
	b.nowMs += entryMaxAgeMs + 1
	b.update(protocol.RouterUpdate{Revision: 1, Sum: "one"})
	b.request("move", "", "d")
	c.Assert(b.attempts(), qt.HasLen, 0)
	c.Assert(b.m.Counters.Hits, qt.Equals, uint64(2))
	c.Assert(b.m.Counters.LookUps, qt.Equals, b.m.Counters.Requests)
	c.Assert(len(b.m.cache), qt.Equals, 1, qt.Commentf("only what was named is kept"))
	b.receive(protocol.LookUpReply{Key: "narration/narrator-1/", Holders: []protocol.Holder{{Runner: "language-1"}}})
	c.Assert(len(b.m.cache), qt.Equals, 1)
}

// Look-ups that a hit did not wait for must still show a dead controller.
func TestUnansweredLookUpsMoveToAnotherController(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	other := coreNode
	other.Name, other.Address = "core-2", "c2"
	b.m.detector.Observe(b.nowMs, other)
	b.request("move", "", "a")
	b.index(moveKey, 1, "table-1")
	b.request("move", "", "b")
	b.step(AttemptEnded{ID: b.ids, Outcome: Completed})
	before := b.m.lookUpTarget
	b.nowMs += lookUpTimeoutMs
	b.step(protocol.Tick{})
	c.Assert(b.m.lookUpTarget, qt.Equals, before+1)
	// A request that waits for a look-up that died asks the next controller.
	b.request("narration", "narrator-1", "c")
	c.Assert(b.lookUps(), qt.Equals, 1)
	b.nowMs += lookUpTimeoutMs
	b.step(protocol.Tick{})
	c.Assert(b.lookUps(), qt.Equals, 1)
	b.index("narration/narrator-1/", 1)
	b.nowMs += lookUpTimeoutMs
	b.step(protocol.Tick{})
	c.Assert(b.lookUps(), qt.Equals, 0, qt.Commentf("an answered one does not"))
}

func TestOutcomesOfAttempts(t *testing.T) {
	const plain, repeatable = "commentary", "move"
	cases := []struct {
		about   string
		service string
		outcome Outcome
		holders int
		again   bool
		kind    errkind.Kind
	}{
		{"answered", plain, Completed, 2, false, ""},
		{"lost, may not be repeated", plain, ResponseLost, 2, false, errkind.OutcomeUnknown},
		{"nonsense, may not be repeated", plain, InvalidResponse, 2, false, errkind.BrokenResponse},
		{"lost, repeatable", repeatable, ResponseLost, 2, true, ""},
		{"lost, repeatable, no other", repeatable, ResponseLost, 1, false, errkind.OutcomeUnknown},
		{"not sent", plain, NotSent, 2, true, ""},
		{"not sent, no other", plain, NotSent, 1, false, errkind.NoRunner},
		{"not held", plain, NotLoaded, 2, true, ""},
		{"not held, no other", plain, NotLoaded, 1, false, errkind.NoRunner},
		{"another incarnation", plain, OtherRunner, 2, true, ""},
		{"busy", plain, RunnerBusy, 2, true, ""},
		{"busy, no other", plain, RunnerBusy, 1, false, errkind.RunnerRejected},
		{"repeated", plain, Duplicate, 2, false, errkind.DuplicateRequest},
		{"too late", plain, Expired, 1, true, ""},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c)
			key, model, runners := moveKey, "", []string{"table-1", "table-2"}
			if test.service == plain {
				key, model, runners = "commentary/commentator-1/", "commentator-1", []string{"language-1", "language-2"}
			}
			b.request(test.service, model, "q")
			b.index(key, 1, runners[:test.holders]...)
			c.Assert(b.attempts(), qt.HasLen, 1)
			first := b.attempts()[0]
			b.step(AttemptEnded{ID: b.ids, Outcome: test.outcome})
			c.Assert(len(b.attempts()) == 1, qt.Equals, test.again)
			c.Assert(b.kind(), qt.Equals, test.kind)
			if test.again && test.outcome != Expired {
				c.Assert(b.attempts()[0], qt.Not(qt.Equals), first)
			}
		})
	}
}

// Once a go may have run, nothing that follows is called a drop.
func TestNotRunIsNeverStatedAfterALostResponse(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.request("move", "", "q")
	b.index(moveKey, 1, "table-1", "table-2")
	b.step(AttemptEnded{ID: 1, Outcome: ResponseLost})
	c.Assert(b.attempts(), qt.HasLen, 1)
	b.step(AttemptEnded{ID: 1, Outcome: RunnerBusy})
	c.Assert(b.kind(), qt.Equals, errkind.OutcomeUnknown)
}

func TestDuplicateRequestIDs(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	ask := func() { b.request("commentary", "commentator-1", "mine") }
	ask()
	ask()
	c.Assert(b.kind(), qt.Equals, errkind.DuplicateRequest, qt.Commentf("while the first waits"))
	b.index("commentary/commentator-1/", 1, "language-1")
	b.step(AttemptEnded{ID: 1, Outcome: RunnerBusy})
	c.Assert(b.kind(), qt.Equals, errkind.RunnerRejected)
	ask()
	c.Assert(b.kind(), qt.Equals, errkind.Kind(""), qt.Commentf("a drop frees the id"))
	b.step(AttemptEnded{ID: b.ids, Outcome: ResponseLost})
	c.Assert(b.kind(), qt.Equals, errkind.OutcomeUnknown)
	ask()
	c.Assert(b.kind(), qt.Equals, errkind.DuplicateRequest, qt.Commentf("what may have run does not"))
}

func TestRetriesAreLimited(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.request("move", "", "first")
	b.index(moveKey, 1, "table-1", "table-2")
	second := 0
	for range 100 {
		b.step(AttemptEnded{ID: b.ids, Outcome: RunnerBusy})
		if len(b.attempts()) == 1 {
			second++
			b.step(AttemptEnded{ID: b.ids, Outcome: RunnerBusy})
		}
		b.request("move", "", "")
	}
	// A fifth of ninety-nine that were earned on top of this router's share
	// of the allowance, which is a little above one.
	c.Assert(second, qt.Equals, 20)
}

func TestWhenARouterMaySend(t *testing.T) {
	text, err := os.ReadFile("../../../examples/zagreb.json")
	qt.Assert(t, err, qt.IsNil)
	next := string(text) + " "
	cases := []struct {
		about  string
		do     func(b *bench)
		goes   bool
		number uint64
	}{
		{"renewed", func(b *bench) {}, true, 1},
		{"hold out", func(b *bench) {
			b.nowMs += leaseMs + 1
			b.m.drainingAsOfMs = b.nowMs
		}, false, 1},
		{"no word on leavers", func(b *bench) { b.nowMs += drainingMaxAgeMs + 1 }, false, 1},
		{"the platform read instead", func(b *bench) {
			b.nowMs += drainingMaxAgeMs
			b.step(protocol.Tick{})
			b.nowMs++
			b.step(protocol.RunnerListResult{Ok: true})
		}, true, 1},
		{"acknowledged and still pending", func(b *bench) {
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Pending: "two", PendingText: next})
			b.nowMs += pendingLeaseMs - 2
			b.m.drainingAsOfMs = b.nowMs
		}, true, 1},
		{"acknowledged and no word since", func(b *bench) {
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Pending: "two", PendingText: next})
			b.nowMs += pendingLeaseMs + 1
			b.m.drainingAsOfMs = b.nowMs
		}, false, 1},
		{"accepted", func(b *bench) {
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Pending: "two", PendingText: next})
			b.update(protocol.RouterUpdate{Revision: 2, Sum: "two"})
		}, true, 2},
		{"another text was accepted", func(b *bench) {
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Pending: "two", PendingText: next})
			b.update(protocol.RouterUpdate{Revision: 2, Sum: "three"})
		}, true, 1},
		{"given up by the next primary", func(b *bench) {
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Pending: "two", PendingText: next})
			b.update(protocol.RouterUpdate{Epoch: 2, Revision: 1, Sum: "one"})
			b.nowMs += pendingLeaseMs + 1
			b.m.drainingAsOfMs = b.nowMs
		}, true, 1},
		{"an older word", func(b *bench) {
			b.update(protocol.RouterUpdate{Revision: 2, Sum: "two", Text: next})
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one"})
		}, true, 2},
		{"a lower epoch", func(b *bench) {
			b.update(protocol.RouterUpdate{Epoch: 3, Revision: 1, Sum: "one"})
			b.update(protocol.RouterUpdate{Epoch: 2, Revision: 2, Sum: "two", Text: next})
		}, true, 1},
		{"a runner knows a higher one", func(b *bench) { b.m.highestSeenRevision = 2 }, false, 1},
		{"a word for the process before", func(b *bench) {
			b.nowMs += leaseMs + 1
			b.receive(protocol.RouterUpdate{EchoMs: b.nowMs, For: "old", Epoch: 1, Revision: 1, Renew: true})
		}, false, 1},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c)
			b.request("move", "", "")
			b.index(moveKey, 1, "table-1")
			test.do(b)
			b.request("move", "", "")
			c.Assert(len(b.attempts()) == 1, qt.Equals, test.goes)
			c.Assert(b.m.revision, qt.Equals, test.number)
		})
	}
}

func TestDrainingRunnersAndStalls(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.request("move", "", "a")
	b.index(moveKey, 1, "table-1")
	to := b.out.Responses[0].Body.(StartAttempt)
	c.Assert(b.m.MaySend(b.nowMs, to), qt.IsTrue)
	c.Assert(b.m.MaySend(b.nowMs+drainingMaxAgeMs, to), qt.IsFalse, qt.Commentf("a frozen router wakes with an old word"))
	b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Leaving: []protocol.LeavingRunner{{Runner: "table-1", Incarnation: "table-1-1"}}})
	b.request("move", "", "b")
	c.Assert(b.attempts(), qt.HasLen, 0)
	// Marks only grow: a later word without it changes nothing.
	b.update(protocol.RouterUpdate{Revision: 1, Sum: "one"})
	b.request("move", "", "c")
	c.Assert(b.attempts(), qt.HasLen, 0)
}

// A stale entry names the incarnation before the one that is leaving; what is
// sent to it would reach the leaver.
func TestDrainingRunnerUnderAStaleEntry(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.request("move", "", "a")
	b.index(moveKey, 1, "table-1")
	b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Leaving: []protocol.LeavingRunner{{Runner: "table-1", Incarnation: "table-1-2"}}})
	b.request("move", "", "b")
	c.Assert(b.attempts(), qt.HasLen, 0)
	b.update(protocol.RouterUpdate{Revision: 1, Sum: "one"})
	c.Assert(b.attempts(), qt.DeepEquals, []string{"table-1"}, qt.Commentf("it was replaced and is no leaver any more"))
}

func TestFinalErrorsComeAtOnce(t *testing.T) {
	cases := []struct {
		about string
		do    func(b *bench)
		kind  errkind.Kind
	}{
		{"no description", func(b *bench) {
			b.m = New(Settings{Site: "zagreb", Self: protocol.Node{Name: "e", Incarnation: "i"}}, b.nowMs)
			b.request("move", "", "a")
		}, errkind.NoConfig},
		{"unknown service", func(b *bench) { b.request("tea", "", "a") }, errkind.UnknownService},
		{"unknown model", func(b *bench) { b.request("narration", "m", "a") }, errkind.UnknownModel},
		{"model of another service", func(b *bench) { b.request("narration", "referee-1", "a") }, errkind.ModelNotAllowed},
		{"model where there is none", func(b *bench) { b.request("move", "referee-1", "a") }, errkind.ModelNotAllowed},
		{"too large", func(b *bench) { b.step(Request{ID: 9, Service: "move", BodyBytes: 1 << 20}) }, errkind.TooLarge},
		{"stopping", func(b *bench) { b.step(Drain{}); b.request("move", "", "a") }, errkind.ShuttingDown},
		{"no answer of the index", func(b *bench) {
			b.request("move", "", "a")
			b.nowMs += maxWaitMs
			b.m.drainingAsOfMs = b.nowMs
			b.step(protocol.Tick{})
		}, errkind.NoConfig},
		{"holding full", func(b *bench) {
			for n := range 65 {
				b.request("narration", "narrator-1", fmt.Sprint(n))
			}
		}, errkind.QueueFull},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			b := newBench(qt.New(t))
			test.do(b)
			qt.Assert(t, b.kind(), qt.Equals, test.kind)
		})
	}
}

// A stopping router gives back at once what waits, so that another takes it,
// and lets what is under way end.
func TestDrainRejectsQueuedRequestsAtOnce(t *testing.T) {
	b := newBench(qt.New(t))
	b.request("narration", "narrator-1", "under way")
	b.index("narration/narrator-1/", 1, "language-1")
	b.c.Assert(b.attempts(), qt.DeepEquals, []string{"language-1"})
	b.request("narration", "narrator-7", "waits")
	b.step(Drain{})
	b.c.Assert(b.kind(), qt.Equals, errkind.ShuttingDown)
	b.c.Assert(b.out.Responses, qt.HasLen, 1)
	b.request("narration", "narrator-1", "new")
	b.c.Assert(b.kind(), qt.Equals, errkind.ShuttingDown)
	b.step(AttemptEnded{ID: 1, Outcome: Completed})
	b.c.Assert(b.m.requests, qt.HasLen, 0)
}

// A sender that goes away leaves nothing behind, whatever became of its go.
func TestDisconnectedClientLeavesNothing(t *testing.T) {
	for _, away := range []bool{false, true} {
		b := newBench(qt.New(t))
		b.request("narration", "narrator-1", "q")
		if away {
			b.index("narration/narrator-1/", 1, "language-1")
			b.c.Assert(b.m.inFlight["language-1"], qt.Equals, int64(1))
		}
		b.step(ClientDisconnected{ID: 1})
		b.c.Assert(b.m.requests, qt.HasLen, 0)
		b.c.Assert(b.m.inFlight["language-1"], qt.Equals, int64(0))
		b.c.Assert(b.m.queued["narration"], qt.Equals, 0)
		// One that only waited may come back with its id; of one that had left
		// for a runner that can't be known here.
		b.c.Assert(b.m.recentIDs.has("narration/q"), qt.Equals, away)
	}
}

// What can't be held in time is dropped at once, with when to come back; what
// can be waits for it, and a later word may still end the wait.
func TestExpectedLoads(t *testing.T) {
	cases := []struct {
		about  string
		turnMs int64
		kind   errkind.Kind
	}{
		{"no turn is known", 0, ""},
		{"the turn comes in time", 2000, ""},
		{"the turn comes too late", 60_000, errkind.PlacementTimeout},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			b := newBench(qt.New(t))
			b.request("narration", "narrator-7", "q")
			b.receive(protocol.LookUpReply{ID: b.m.lookUpCount, Key: "narration/narrator-7/", At: protocol.Position{Epoch: 1, Number: 1}, TurnMs: test.turnMs})
			if test.kind == "" {
				b.c.Assert(b.out.Responses, qt.HasLen, 0)
				b.receive(protocol.LookUpReply{Key: "narration/narrator-7/", At: protocol.Position{Epoch: 1, Number: 1}, TurnMs: 90_000})
			}
			b.c.Assert(b.kind(), qt.Equals, errkind.PlacementTimeout)
			said := b.out.Responses[0].Body.(Reject)
			b.c.Assert(said.RetryMs > 50_000, qt.IsTrue)
			// It has not run, so the same id may come back at its turn.
			b.index("narration/narrator-7/", 2, "language-1")
			b.request("narration", "narrator-7", "q")
			b.c.Assert(b.attempts(), qt.DeepEquals, []string{"language-1"})
		})
	}
}
