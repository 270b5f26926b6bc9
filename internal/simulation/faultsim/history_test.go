package faultsim

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// configText is the text of a complete configuration; the variant distinguishes
// texts of one version.
func configText(version uint64, variant int64) string {
	m := New(1, InjectedBugs{}).newConfig(version)
	m.Routes[0].LatencyTargetMs += variant
	return string(encode(m))
}

// Which histories one register with compare-and-set can show and which it
// can't.
func TestHistoryAsRegister(t *testing.T) {
	const none = outcome(-1)
	type submissionStep struct {
		sentMs, endMs        int64
		baseVersion, version uint64
		variant              int64
		outcome              outcome
		current              uint64
	}
	type readStep struct {
		sentMs, endMs int64
		version       uint64
		variant       int64
	}
	for _, test := range []struct {
		name        string
		submissions []submissionStep
		reads       []readStep
		isValid     bool
	}{
		{"one after the other", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 1, 3, 0, outcomeAccepted, 0}}, []readStep{{40, 50, 3, 0}}, true},
		{"read back as it was before the last submission", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 1, 3, 0, outcomeAccepted, 0}}, []readStep{{40, 50, 1, 0}}, false},
		{"read back during a submission", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 60, 1, 3, 0, outcomeAccepted, 0}}, []readStep{{40, 50, 1, 0}, {45, 55, 3, 0}}, true},
		{"read back, and then as it was before", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 60, 1, 3, 0, outcomeAccepted, 0}}, []readStep{{30, 35, 3, 0}, {40, 50, 1, 0}}, false},
		{"read back with another text", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}}, []readStep{{20, 30, 1, 5}}, false},
		{"one of two with the same base", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {0, 10, 0, 2, 0, outcomeStale, 1}}, nil, true},
		{"both of two with the same base", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {0, 10, 0, 2, 0, outcomeAccepted, 0}}, nil, false},
		{"refused though its base is current", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 1, 2, 0, outcomeStale, 1}}, nil, false},
		{"refused by a version that was not current", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 0, 2, 0, outcomeStale, 2}}, nil, false},
		{"refused by its base, which was accepted meanwhile", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 60, 2, 3, 0, outcomeStale, 2}, {30, 40, 1, 2, 0, outcomeAccepted, 0}}, nil, true},
		{"refused and in force all the same", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 30, 7, 9, 0, outcomeStale, 1}, {40, 50, 1, 7, 0, outcomeAccepted, 0}}, []readStep{{60, 70, 9, 0}}, false},
		{"without an answer, and in force", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}, {50, 60, 2, 4, 0, outcomeAccepted, 0}}, nil, true},
		{"without an answer, and in force much later", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}}, []readStep{{30, 40, 1, 0}, {900, 910, 2, 0}}, true},
		{"without an answer, in force and then not", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}}, []readStep{{30, 40, 2, 0}, {900, 910, 1, 0}}, false},
		{"without an answer, and never in force", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}, {50, 60, 1, 4, 0, outcomeAccepted, 0}}, nil, true},
		{"in force before it was sent", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {50, 0, 1, 2, 0, none, 0}}, []readStep{{30, 40, 2, 0}}, false},
		{"two of one version without an answer, one in force", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}, {20, 0, 1, 2, 7, none, 0}}, []readStep{{50, 60, 2, 7}}, true},
		{"two of one version without an answer, both in force", []submissionStep{{0, 10, 0, 1, 0, outcomeAccepted, 0}, {20, 0, 1, 2, 0, none, 0}, {20, 0, 1, 2, 7, none, 0}}, []readStep{{50, 60, 2, 0}, {70, 80, 2, 7}}, false},
		{"a version not above its base", []submissionStep{{0, 10, 0, 3, 0, outcomeAccepted, 0}, {20, 30, 3, 2, 0, outcomeInvalid, 0}}, nil, true},
		{"a version not above its base, accepted", []submissionStep{{0, 10, 0, 3, 0, outcomeAccepted, 0}, {20, 30, 3, 2, 0, outcomeAccepted, 0}}, nil, false},
		{"a valid one called invalid", []submissionStep{{0, 10, 0, 3, 0, outcomeInvalid, 0}}, nil, false},
		{"in force although never submitted", nil, []readStep{{0, 10, 2, 0}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory()
			for _, s := range test.submissions {
				r := h.recordSubmission(s.sentMs, submissionKey{baseVersion: s.baseVersion, text: configText(s.version, s.variant)}, s.version)
				if s.outcome != none {
					r.answers = append(r.answers, answerRecord{s.sentMs, s.endMs, s.outcome, s.current})
				}
			}
			for _, r := range test.reads {
				h.recordRead(r.sentMs, r.endMs, r.version, configText(r.version, r.variant))
			}
			messages := h.check()
			qt.Assert(t, len(messages) == 0, qt.Equals, test.isValid, qt.Commentf("%v", messages))
		})
	}
}

// A submission that is sent again is the same submission: it has one outcome.
func TestHistoryOfOneSubmission(t *testing.T) {
	for _, test := range []struct {
		answers []outcome
		isValid bool
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
			qt.Assert(t, len(h.check()) == 0, qt.Equals, test.isValid)
		})
	}
}

// A change is applied to the text of its base.
func TestHistoryOfAChange(t *testing.T) {
	h := newHistory()
	complete, change := configText(1, 0), string(encode(newChange(1, 2)))
	after, faults := format{}.ApplyChange([]byte(complete), []byte(change))
	qt.Assert(t, faults, qt.HasLen, 0)
	first := h.recordSubmission(0, submissionKey{text: complete}, 1)
	first.answers = append(first.answers, answerRecord{0, 10, outcomeAccepted, 0})
	second := h.recordSubmission(20, submissionKey{baseVersion: 1, isChange: true, text: change}, 2)
	second.answers = append(second.answers, answerRecord{20, 30, outcomeAccepted, 0})
	h.reads = append(h.reads, readRecord{40, 50, 2, protocol.Digest(string(after))})
	qt.Assert(t, h.check(), qt.HasLen, 0)
	h.reads = append(h.reads, readRecord{60, 70, 2, protocol.Digest(complete)})
	qt.Assert(t, h.check(), qt.HasLen, 1)
}
