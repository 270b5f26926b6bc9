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

// submissionStep is a submission with its answer.
type submissionStep struct {
	sentMs, endMs        int64
	baseVersion, version uint64
	// variant distinguishes texts of one version.
	variant int64
	outcome outcome
	// current is the version that a stale submission's answer names.
	current uint64
}

// noAnswer is the outcome of a submission without a clear answer.
const noAnswer = outcome(-1)

func accepted(sentMs, endMs int64, baseVersion, version uint64) submissionStep {
	return submissionStep{sentMs: sentMs, endMs: endMs, baseVersion: baseVersion, version: version, outcome: outcomeAccepted}
}

func stale(sentMs, endMs int64, baseVersion, version, current uint64) submissionStep {
	return submissionStep{
		sentMs: sentMs, endMs: endMs, baseVersion: baseVersion, version: version, outcome: outcomeStale, current: current,
	}
}

func invalid(sentMs, endMs int64, baseVersion, version uint64) submissionStep {
	return submissionStep{sentMs: sentMs, endMs: endMs, baseVersion: baseVersion, version: version, outcome: outcomeInvalid}
}

func unanswered(sentMs int64, baseVersion, version uint64, variant int64) submissionStep {
	return submissionStep{sentMs: sentMs, baseVersion: baseVersion, version: version, variant: variant, outcome: noAnswer}
}

// readStep is a read with its result.
type readStep struct {
	sentMs, endMs int64
	version       uint64
	variant       int64
}

// historyCase is a history, and whether one register with compare-and-set can
// show it.
type historyCase struct {
	name        string
	isValid     bool
	submissions []submissionStep
	reads       []readStep
}

var historyCases = []historyCase{
	{
		name: "one after the other", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 1), accepted(20, 30, 1, 3)},
		reads:       []readStep{{40, 50, 3, 0}},
	},
	{
		name: "read back as it was before the last submission", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), accepted(20, 30, 1, 3)},
		reads:       []readStep{{40, 50, 1, 0}},
	},
	{
		name: "read back during a submission", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 1), accepted(20, 60, 1, 3)},
		reads:       []readStep{{40, 50, 1, 0}, {45, 55, 3, 0}},
	},
	{
		name: "read back, and then as it was before", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), accepted(20, 60, 1, 3)},
		reads:       []readStep{{30, 35, 3, 0}, {40, 50, 1, 0}},
	},
	{
		name: "read back with another text", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1)},
		reads:       []readStep{{20, 30, 1, 5}},
	},
	{
		name: "one of two with the same base", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 1), stale(0, 10, 0, 2, 1)},
	},
	{
		name: "both of two with the same base", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), accepted(0, 10, 0, 2)},
	},
	{
		name: "refused though its base is current", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), stale(20, 30, 1, 2, 1)},
	},
	{
		name: "refused by a version that was not current", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), stale(20, 30, 0, 2, 2)},
	},
	{
		name: "refused by its base, which was accepted meanwhile", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 1), stale(20, 60, 2, 3, 2), accepted(30, 40, 1, 2)},
	},
	{
		name: "refused and in force all the same", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), stale(20, 30, 7, 9, 1), accepted(40, 50, 1, 7)},
		reads:       []readStep{{60, 70, 9, 0}},
	},
	{
		name: "without an answer, and in force", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 1), unanswered(20, 1, 2, 0), accepted(50, 60, 2, 4)},
	},
	{
		name: "without an answer, and in force much later", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 1), unanswered(20, 1, 2, 0)},
		reads:       []readStep{{30, 40, 1, 0}, {900, 910, 2, 0}},
	},
	{
		name: "without an answer, in force and then not", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), unanswered(20, 1, 2, 0)},
		reads:       []readStep{{30, 40, 2, 0}, {900, 910, 1, 0}},
	},
	{
		name: "without an answer, and never in force", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 1), unanswered(20, 1, 2, 0), accepted(50, 60, 1, 4)},
	},
	{
		name: "in force before it was sent", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), unanswered(50, 1, 2, 0)},
		reads:       []readStep{{30, 40, 2, 0}},
	},
	{
		name: "two of one version without an answer, one in force", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 1), unanswered(20, 1, 2, 0), unanswered(20, 1, 2, 7)},
		reads:       []readStep{{50, 60, 2, 7}},
	},
	{
		name: "two of one version without an answer, both in force", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 1), unanswered(20, 1, 2, 0), unanswered(20, 1, 2, 7)},
		reads:       []readStep{{50, 60, 2, 0}, {70, 80, 2, 7}},
	},
	{
		name: "a version not above its base", isValid: true,
		submissions: []submissionStep{accepted(0, 10, 0, 3), invalid(20, 30, 3, 2)},
	},
	{
		name: "a version not above its base, accepted", isValid: false,
		submissions: []submissionStep{accepted(0, 10, 0, 3), accepted(20, 30, 3, 2)},
	},
	{
		name: "a valid one called invalid", isValid: false,
		submissions: []submissionStep{invalid(0, 10, 0, 3)},
	},
	{
		name: "in force although never submitted", isValid: false,
		reads: []readStep{{0, 10, 2, 0}},
	},
}

// history records what a case lists.
func (c historyCase) history() history {
	h := newHistory()
	for _, s := range c.submissions {
		r := h.recordSubmission(s.sentMs, submissionKey{baseVersion: s.baseVersion, text: configText(s.version, s.variant)}, s.version)
		if s.outcome != noAnswer {
			r.answers = append(r.answers, answerRecord{s.sentMs, s.endMs, s.outcome, s.current})
		}
	}
	for _, r := range c.reads {
		h.recordRead(r.sentMs, r.endMs, r.version, configText(r.version, r.variant))
	}
	return h
}

// The check accepts the histories that one register with compare-and-set can
// show, and no other.
func TestHistoryAsRegister(t *testing.T) {
	for _, test := range historyCases {
		t.Run(test.name, func(t *testing.T) {
			h := test.history()
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
