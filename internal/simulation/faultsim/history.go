package faultsim

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"myrtlewinch/internal/protocol"
)

// outcome is a clear answer to an order.
type outcome int

const (
	outcomeAccepted outcome = iota
	// outcomeStale: another version is current.
	outcomeStale
	outcomeInvalid
)

var outcomeNames = []string{"accepted", "stale", "faulty"}

func (o outcome) String() string { return outcomeNames[o] }

// submissionKey tells orders apart as the system must: one that is sent again is the
// same order, whoever sends it.
type submissionKey struct {
	builtOn  uint64
	isChange bool
	text     string
}

// submissionRecord is an order over all times that it was sent.
type submissionRecord struct {
	submissionKey
	number  int
	version uint64
	sentMs  int64
	answers []answerRecord
}

// answerRecord is what one call brought: current is the version that a refusal
// named as the current one.
type answerRecord struct {
	sentMs, atMs int64
	outcome      outcome
	current      uint64
}

func (r *submissionRecord) String() string {
	return fmt.Sprintf("order %d (version %d on top of %d, first sent at %d ms)", r.number, r.version, r.builtOn, r.sentMs)
}

// readRecord is a read-back.
type readRecord struct {
	sentMs, atMs int64
	version      uint64
	sum          string
}

// history records what operators sent and were told.
type history struct {
	byKey       map[submissionKey]*submissionRecord
	submissions []*submissionRecord
	reads       []readRecord
}

func newHistory() history { return history{byKey: map[submissionKey]*submissionRecord{}} }

// recordSubmission notes a call with an order.
func (h *history) recordSubmission(nowMs int64, key submissionKey, version uint64) *submissionRecord {
	if known := h.byKey[key]; known != nil {
		return known
	}
	r := &submissionRecord{submissionKey: key, number: len(h.submissions) + 1, version: version, sentMs: nowMs}
	h.byKey[key] = r
	h.submissions = append(h.submissions, r)
	return r
}

func (h *history) recordRead(sentMs, atMs int64, version uint64, text string) {
	h.reads = append(h.reads, readRecord{sentMs, atMs, version, protocol.Digest(text)})
}

// check lists what does not fit one register with compare-and-set.
func (h *history) check() []string {
	var wrong []string
	for _, r := range h.submissions {
		for _, holds := range []func() (string, bool){r.hasConflictingAnswers, r.isWronglyInvalid} {
			if what, isWrong := holds(); isWrong {
				wrong = append(wrong, what)
			}
		}
	}
	if what, fits := h.linearizable(); !fits {
		wrong = append(wrong, what)
	}
	return wrong
}

// hasConflictingAnswers says whether an order was accepted and refused.
func (r *submissionRecord) hasConflictingAnswers() (string, bool) {
	for _, a := range r.answers {
		first := r.answers[0]
		if (a.outcome == outcomeAccepted) != (first.outcome == outcomeAccepted) {
			return fmt.Sprintf("%s: %s at %d ms and %s at %d ms", r, first.outcome, first.atMs, a.outcome, a.atMs), true
		}
	}
	return "", false
}

// isWronglyInvalid says whether a whole configuration was called faulty that
// has no fault.
func (r *submissionRecord) isWronglyInvalid() (string, bool) {
	if len(r.answers) == 0 || r.answers[0].outcome != outcomeInvalid || r.isChange || r.isUnreadable() || r.version <= r.builtOn {
		return "", false
	}
	return fmt.Sprintf("%s: faulty at %d ms, although it can be read and its version is above its base", r, r.answers[0].atMs), true
}

// isUnreadable says whether a whole configuration has faults of its own.
func (r *submissionRecord) isUnreadable() bool {
	_, faults := format{}.Parse([]byte(r.text))
	return len(faults) > 0
}

// noTimeLimit lets the search end by itself: its verdict must not depend on how
// fast the machine is.
const noTimeLimit = 0

func (h *history) linearizable() (string, bool) {
	operations := h.operations()
	result, info := porcupine.CheckOperationsVerbose(registerModel(operations), operations, noTimeLimit)
	if result == porcupine.Ok {
		return "", true
	}
	var longest []porcupine.Operation
	for _, partial := range info.PartialLinearizationsOperations()[0] {
		if len(partial) > len(longest) {
			longest = partial
		}
	}
	return fmt.Sprintf("the history of %d operations fits no register (%s); %d can be put in order, and not then: %s",
		len(operations), result, len(longest), strings.Join(unordered(operations, longest), "; ")), false
}

// maxUnordered bounds the operations that a report lists.
const maxUnordered = 6

// unordered lists the first operations that a partial order lacks.
func unordered(all, ordered []porcupine.Operation) []string {
	var left []string
	slices.SortStableFunc(all, func(a, b porcupine.Operation) int { return int(a.Return>>1 - b.Return>>1) })
	for _, operation := range all {
		in := operation.Input.(registerOperation)
		isOrdered := slices.ContainsFunc(ordered, func(o porcupine.Operation) bool { return o.Input.(registerOperation) == in })
		if !isOrdered && len(left) < maxUnordered {
			left = append(left, in.String())
		}
	}
	return left
}

// operations are the history as the register sees it. An order without a clear
// answer may take effect at any later time, or never.
func (h *history) operations() []porcupine.Operation {
	var out []porcupine.Operation
	add := func(in registerOperation) {
		out = append(out, porcupine.Operation{ClientId: len(out), Input: in, Call: in.fromMs, Return: in.toMs})
	}
	for _, r := range h.submissions {
		if len(r.answers) == 0 {
			continue
		}
		first := r.answers[0]
		switch {
		case first.outcome == outcomeAccepted:
			add(registerOperation{kind: operationAccepted, submission: r, fromMs: r.sentMs, toMs: first.atMs})
		case first.outcome == outcomeStale && first.current == r.builtOn:
			// Another version was current when some copy of the order was judged.
			add(registerOperation{kind: operationStale, submission: r, fromMs: r.sentMs, toMs: first.atMs})
		case first.outcome == outcomeInvalid && r.isChange:
			add(registerOperation{kind: operationInvalid, submission: r, fromMs: first.sentMs, toMs: first.atMs})
		}
	}
	for _, look := range bindingObservations(h.observations()) {
		add(look)
	}
	for _, possible := range h.possibleSubmissions() {
		add(possible)
	}
	return out
}

// observations are all looks at the current version: read-backs, and refusals, each of
// which says what is current.
func (h *history) observations() []registerOperation {
	var out []registerOperation
	for _, r := range h.submissions {
		for i, a := range r.answers {
			look := registerOperation{kind: operationObserve, fromMs: a.sentMs, toMs: a.atMs}
			switch {
			case a.outcome == outcomeStale:
				look.version = a.current
				out = append(out, look)
			case a.outcome == outcomeInvalid && i == 0 && !r.isChange && !r.isUnreadable():
				// Its number is not above that of the version it builds on.
				look.version = r.builtOn
				out = append(out, look)
			}
		}
	}
	for _, r := range h.reads {
		out = append(out, registerOperation{kind: operationRead, version: r.version, sum: r.sum, fromMs: r.sentMs, toMs: r.atMs})
	}
	return out
}

// bindingObservations leaves out looks that the others imply. A configuration is in force
// for one span of time, as its version never comes back. All looks at it fit
// where the one that ended first and the one that began last do.
func bindingObservations(looks []registerOperation) []registerOperation {
	endedFirst, beganLast := map[observationKey]registerOperation{}, map[observationKey]registerOperation{}
	var order []observationKey
	for _, look := range looks {
		key := look.observationKey()
		known, found := endedFirst[key]
		if !found {
			order = append(order, key)
		}
		if !found || look.toMs < known.toMs {
			endedFirst[key] = look
		}
		if known, found := beganLast[key]; !found || look.fromMs > known.fromMs {
			beganLast[key] = look
		}
	}
	var out []registerOperation
	for _, key := range order {
		out = append(out, endedFirst[key])
		if beganLast[key] != endedFirst[key] {
			out = append(out, beganLast[key])
		}
	}
	return out
}

// possibleSubmissions lists the orders without a clear answer that somebody may have seen
// the effect of. One whose version nobody saw is left out: it took effect after
// all that anybody saw, or never.
func (h *history) possibleSubmissions() []registerOperation {
	open := h.unansweredSubmissions()
	isOnly := func(r *submissionRecord) bool { return len(open[r.version]) == 1 }
	// What was seen for certain comes from the only order that can have brought
	// it; so the base of that order was in force too.
	certain := h.observedVersions()
	h.addBases(certain, open, isOnly)
	maybe := maps.Clone(certain)
	h.addBases(maybe, open, func(*submissionRecord) bool { return true })
	var out []registerOperation
	for _, r := range h.submissions {
		if maybe[r.version] && slices.Contains(open[r.version], r) {
			out = append(out, registerOperation{
				kind: operationPossible, submission: r, mayHaveNoEffect: !certain[r.version] || !isOnly(r), fromMs: r.sentMs, toMs: math.MaxInt64,
			})
		}
	}
	return out
}

// unansweredSubmissions are, by version, the orders that may have taken effect and got no
// clear answer. A version that an accepted order has is no other's.
func (h *history) unansweredSubmissions() map[uint64][]*submissionRecord {
	open, accepted := map[uint64][]*submissionRecord{}, map[uint64]bool{}
	for _, r := range h.submissions {
		if len(r.answers) > 0 && r.answers[0].outcome == outcomeAccepted {
			accepted[r.version] = true
		}
	}
	for _, r := range h.submissions {
		if len(r.answers) == 0 && r.version > r.builtOn && !accepted[r.version] {
			open[r.version] = append(open[r.version], r)
		}
	}
	return open
}

// addBases adds the bases of open orders whose version is in the set.
func (h *history) addBases(seen map[uint64]bool, open map[uint64][]*submissionRecord, counts func(r *submissionRecord) bool) {
	for grown := true; grown; {
		grown = false
		for version, orders := range open {
			for _, r := range orders {
				if seen[version] && counts(r) && !seen[r.builtOn] {
					seen[r.builtOn], grown = true, true
				}
			}
		}
	}
}

// observedVersions are the versions that somebody saw: in a read-back, in a refusal,
// or as the base of an order that took effect.
func (h *history) observedVersions() map[uint64]bool {
	seen := map[uint64]bool{}
	for _, r := range h.reads {
		seen[r.version] = true
	}
	for _, r := range h.submissions {
		for _, a := range r.answers {
			switch {
			case a.outcome == outcomeStale:
				seen[a.current] = true
			case a.outcome == outcomeAccepted, r.isChange, !r.isUnreadable():
				seen[r.builtOn] = true
			}
		}
	}
	return seen
}
