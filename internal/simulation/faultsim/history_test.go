package faultsim

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// configText is the text of a whole map; the variant tells two of one version
// apart.
func configText(version uint64, variant int64) string {
	m := New(1, InjectedBugs{}).newConfig(version)
	m.Routes[0].LatencyTargetMs += variant
	return string(encodeConfig(m))
}

// What fits one register with compare-and-set, and what does not.
func TestHistoryAsRegister(t *testing.T) {
	const none = outcome(-1)
	type orderStep struct {
		sentMs, endMs    int64
		builtOn, version uint64
		variant          int64
		outcome          outcome
		current          uint64
	}
	type readStep struct {
		sentMs, endMs int64
		version       uint64
		variant       int64
	}
	for _, test := range []struct {
		name   string
		orders []orderStep
		reads  []readStep
		fits   bool
	}{
		{"one after the other", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 1, 3, 0, outcomeAccepted, 0}}, []readStep{{40, 50, 3, 0}}, true},
		{"read back as it was before", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 1, 3, 0, outcomeAccepted, 0}}, []readStep{{40, 50, 1, 0}}, false},
		{"read back while it is written", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 60, 1, 3, 0, outcomeAccepted, 0}}, []readStep{{40, 50, 1, 0}, {45, 55, 3, 0}}, true},
		{"read back, and then as it was before", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 60, 1, 3, 0, outcomeAccepted, 0}}, []readStep{{30, 35, 3, 0}, {40, 50, 1, 0}}, false},
		{"read back with another text", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}}, []readStep{{20, 30, 1, 5}}, false},
		{"one of two on one version", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {0, 10, 0, 2, 0, outcomeStale, 1}}, nil, true},
		{"both of two on one version", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {0, 10, 0, 2, 0, outcomeAccepted, 0}}, nil, false},
		{"refused though its base is current", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 1, 2, 0, outcomeStale, 1}}, nil, false},
		{"refused by a version that was not current", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 0, 2, 0, outcomeStale, 2}}, nil, false},
		{"refused by the version that it builds on, which came meanwhile", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 60, 2, 3, 0, outcomeStale, 2}, {30, 40, 1, 2, 0, outcomeAccepted, 0}}, nil, true},
		{"refused, and in force", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 7, 9, 0, outcomeStale, 1}, {40, 50, 1, 7, 0, outcomeAccepted, 0}}, []readStep{{60, 70, 9, 0}}, false},
		{"without an answer, and in force", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}, {50, 60, 2, 4, 0, outcomeAccepted, 0}}, nil, true},
		{"without an answer, and in force much later", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}}, []readStep{{30, 40, 1, 0}, {900, 910, 2, 0}}, true},
		{"without an answer, in force and then not", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}}, []readStep{{30, 40, 2, 0}, {900, 910, 1, 0}}, false},
		{"without an answer, and never in force", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}, {50, 60, 1, 4, 0, outcomeAccepted, 0}}, nil, true},
		{"in force before it was sent", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {50, 0, 1, 2, 0, none, 0}}, []readStep{{30, 40, 2, 0}}, false},
		{"two of one version without an answer, one in force", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}, {20, 0, 1, 2, 7, none, 0}}, []readStep{{50, 60, 2, 7}}, true},
		{"two of one version without an answer, both in force", []orderStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}, {20, 0, 1, 2, 7, none, 0}}, []readStep{{50, 60, 2, 0}, {70, 80, 2, 7}}, false},
		{"a number not above", []orderStep{{0, 10, 0, 3, 0, outcomeAccepted, 0}, {20, 30, 3, 2, 0, outcomeInvalid, 0}}, nil, true},
		{"a number not above, accepted", []orderStep{{0, 10, 0, 3, 0, outcomeAccepted, 0}, {20, 30, 3, 2, 0, outcomeAccepted, 0}}, nil, false},
		{"a proper one called faulty", []orderStep{{0, 10, 0, 3, 0, outcomeInvalid, 0}}, nil, false},
		{"in force that nobody sent", nil, []readStep{{0, 10, 2, 0}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory()
			for _, o := range test.orders {
				r := h.recordSubmission(o.sentMs, submissionKey{builtOn: o.builtOn, text: configText(o.version, o.variant)}, o.version)
				if o.outcome != none {
					r.answers = append(r.answers, answerRecord{o.sentMs, o.endMs, o.outcome, o.current})
				}
			}
			for _, r := range test.reads {
				h.recordRead(r.sentMs, r.endMs, r.version, configText(r.version, r.variant))
			}
			wrong := h.check()
			qt.Assert(t, len(wrong) == 0, qt.Equals, test.fits, qt.Commentf("%v", wrong))
		})
	}
}

// An order that is sent again is one order: it has one outcome.
func TestHistoryOfOneOrder(t *testing.T) {
	for _, test := range []struct {
		answers []outcome
		fits    bool
	}{
		{[]outcome{outcomeAccepted, outcomeAccepted}, true},
		{[]outcome{outcomeAccepted, outcomeStale}, false},
		{[]outcome{outcomeStale, outcomeAccepted}, false},
		{[]outcome{outcomeAccepted, outcomeInvalid}, false},
	} {
		t.Run(fmt.Sprint(test.answers), func(t *testing.T) {
			h := newHistory()
			for i, answer := range test.answers {
				r := h.recordSubmission(0, submissionKey{text: configText(1, 0)}, 1)
				r.answers = append(r.answers, answerRecord{int64(100 * i), int64(100*i + 10), answer, 1})
			}
			qt.Assert(t, len(h.check()) == 0, qt.Equals, test.fits)
		})
	}
}

// A change of named items is applied to the text that it builds on.
func TestHistoryOfAChange(t *testing.T) {
	h := newHistory()
	whole, part := configText(1, 0), string(newChange(1, 2))
	after, faults := format{}.ApplyChange([]byte(whole), []byte(part))
	qt.Assert(t, faults, qt.HasLen, 0)
	first := h.recordSubmission(0, submissionKey{text: whole}, 1)
	first.answers = append(first.answers, answerRecord{0, 10, outcomeAccepted, 0})
	second := h.recordSubmission(20, submissionKey{builtOn: 1, isChange: true, text: part}, 2)
	second.answers = append(second.answers, answerRecord{20, 30, outcomeAccepted, 0})
	h.reads = append(h.reads, readRecord{40, 50, 2, protocol.Digest(string(after))})
	qt.Assert(t, h.check(), qt.HasLen, 0)
	h.reads = append(h.reads, readRecord{60, 70, 2, protocol.Digest(whole)})
	qt.Assert(t, h.check(), qt.HasLen, 1)
}
