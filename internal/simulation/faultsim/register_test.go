package faultsim

import (
	"fmt"
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"myrtlewinch/internal/protocol"
)

// plainOperation is an operation of the plain model: a submission with its
// answer, a read, or the version that a refusal names as current.
type plainOperation struct {
	submission   *submissionRecord
	answer       *answerRecord
	read         *readRecord
	namedVersion *uint64
}

// plainModel is the register without any of the steps that keep the search
// short: each submission and each read is one operation.
func plainModel() porcupine.Model {
	r := newRegister()
	return porcupine.Model{
		Init: func() any { return configuration{} },
		Step: func(state, input, _ any) (bool, any) {
			return r.plainStep(state.(configuration), input.(plainOperation))
		},
	}
}

func (r *register) plainStep(state configuration, in plainOperation) (bool, any) {
	if in.read != nil {
		return state == configuration{in.read.version, in.read.sum}, state
	}
	if in.namedVersion != nil {
		return state.version == *in.namedVersion, state
	}
	applies, next := false, state
	if state.version == in.submission.baseVersion {
		result := r.result(state, in.submission)
		applies, next = result.isValid, result.configuration
	}
	switch {
	case in.answer == nil:
		return true, next
	case in.answer.outcome == outcomeAccepted:
		return applies, next
	case in.answer.outcome == outcomeStale:
		return state.version != in.submission.baseVersion, state
	}
	return in.submission.isUnreadable() || state.version == in.submission.baseVersion && !applies, state
}

func (h *history) plainOperations() []porcupine.Operation {
	var out []porcupine.Operation
	add := func(fromMs, toMs int64, in plainOperation) {
		out = append(out, porcupine.Operation{ClientId: len(out), Input: in, Call: fromMs, Return: toMs})
	}
	for _, r := range h.submissions {
		switch {
		case len(r.answers) == 0:
			add(r.sentMs, math.MaxInt64, plainOperation{submission: r})
		default:
			add(r.sentMs, r.answers[0].atMs, plainOperation{submission: r, answer: &r.answers[0]})
			// A refusal also observes the current version.
			if r.answers[0].outcome == outcomeStale {
				add(r.answers[0].sentMs, r.answers[0].atMs, plainOperation{namedVersion: &r.answers[0].current})
			}
		}
	}
	for i := range h.reads {
		add(h.reads[i].sentMs, h.reads[i].atMs, plainOperation{read: &h.reads[i]})
	}
	return out
}

// randomHistory draws a history that a register can show.
func randomHistory(t *rapid.T) history {
	h := newHistory()
	current, variants := configuration{}, map[uint64]int64{}
	for i := range rapid.IntRange(1, 9).Draw(t, "operations") {
		atMs := int64(10 * (i + 1))
		fromMs := atMs - rapid.Int64Range(0, 35).Draw(t, "before")
		toMs := atMs + rapid.Int64Range(0, 35).Draw(t, "after")
		if rapid.IntRange(0, 2).Draw(t, "read") == 0 && current.version > 0 {
			h.recordRead(fromMs, toMs, current.version, configText(current.version, variants[current.version]))
			continue
		}
		base := current.version
		if rapid.IntRange(0, 2).Draw(t, "other base") == 0 {
			base = rapid.Uint64Range(0, 4).Draw(t, "base")
		}
		version := rapid.Uint64Range(1, 6).Draw(t, "version")
		variant := rapid.Int64Range(0, 3).Draw(t, "variant")
		key := submissionKey{baseVersion: base, text: configText(version, variant)}
		if h.byKey[key] != nil {
			continue
		}
		r := h.recordSubmission(fromMs, key, version)
		answer := answerRecord{fromMs, toMs, outcomeStale, current.version}
		takesEffect := base == current.version && version > base
		if base == current.version {
			answer = answerRecord{fromMs, toMs, outcomeInvalid, 0}
		}
		isAnswered := rapid.IntRange(0, 3).Draw(t, "answered") > 0
		if takesEffect && (isAnswered || rapid.Bool().Draw(t, "in force")) {
			answer = answerRecord{fromMs, toMs, outcomeAccepted, 0}
			current, variants[version] = configuration{version: version}, variant
		}
		if isAnswered {
			r.answers = append(r.answers, answer)
		}
	}
	return h
}

// corrupt changes one observation.
func corrupt(t *rapid.T, h *history) {
	var answered []*submissionRecord
	for _, r := range h.submissions {
		if len(r.answers) > 0 {
			answered = append(answered, r)
		}
	}
	if len(answered) > 0 && rapid.Bool().Draw(t, "corrupt an answer") {
		a := &rapid.SampledFrom(answered).Draw(t, "corrupted").answers[0]
		a.outcome = outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
		a.current = rapid.Uint64Range(0, 6).Draw(t, "current")
	} else if len(h.reads) > 0 {
		r := &h.reads[rapid.IntRange(0, len(h.reads)-1).Draw(t, "corrupted")]
		r.version = rapid.Uint64Range(1, 6).Draw(t, "version")
		r.sum = protocol.Digest(configText(r.version, rapid.Int64Range(0, 3).Draw(t, "variant")))
	}
}

// The check, which uses binding observations only and leaves out submissions
// that were not observed, gives the verdict of the plain register.
func TestCheckAgreesWithThePlainRegister(t *testing.T) {
	fixRapidSeed(t, "1000")
	fits, fitsNot := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := randomHistory(t)
		if rapid.Bool().Draw(t, "corrupt") {
			corrupt(t, &h)
		}
		want := porcupine.CheckOperations(plainModel(), h.plainOperations())
		wrong := h.check()
		if want {
			fits++
		} else {
			fitsNot++
		}
		if (len(wrong) == 0) != want {
			t.Fatalf("the plain register: %v; the check: %v\n%s", want, wrong, describe(h))
		}
	})
	t.Logf("%d histories fit, %d do not", fits, fitsNot)
	qt.Assert(t, fits > 100 && fitsNot > 100, qt.IsTrue)
}

func describe(h history) string {
	text := ""
	for _, r := range h.submissions {
		text += fmt.Sprintf("%s %v\n", r, r.answers)
	}
	return text + fmt.Sprintf("%v\n", h.reads)
}
