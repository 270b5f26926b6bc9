package faultsim

import (
	"maps"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// operations gives the history as operations on the register. A submission
// without a clear answer may take effect at any later time, or never.
func (h *history) operations() []porcupine.Operation {
	var operations []porcupine.Operation
	add := func(in registerOperation) {
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: in, Call: in.fromMs, Return: in.toMs})
	}
	for _, r := range h.submissions {
		if in, isOperation := r.operation(); isOperation {
			add(in)
		}
	}
	for _, observation := range bindingObservations(h.observations()) {
		add(observation)
	}
	for _, possible := range h.possibleSubmissions() {
		add(possible)
	}
	return operations
}

// operation gives the operation of a submission with a clear answer.
func (r *submissionRecord) operation() (in registerOperation, isOperation bool) {
	if len(r.answers) == 0 {
		return registerOperation{}, false
	}
	first := r.answers[0]
	switch {
	case first.outcome == outcomeAccepted:
		return registerOperation{kind: operationAccepted, submission: r, fromMs: r.sentMs, toMs: first.atMs}, true
	case first.outcome == outcomeStale && first.current == r.baseVersion:
		// Another version was current when some call with it was decided on.
		return registerOperation{kind: operationStale, submission: r, fromMs: r.sentMs, toMs: first.atMs}, true
	case first.outcome == outcomeInvalid && r.isChange:
		return registerOperation{kind: operationInvalid, submission: r, fromMs: first.sentMs, toMs: first.atMs}, true
	}
	return registerOperation{}, false
}

// observations are all observations of the current version: reads, and
// refusals, which say what is current.
func (h *history) observations() []registerOperation {
	var observations []registerOperation
	for _, r := range h.submissions {
		observations = append(observations, r.observations()...)
	}
	for _, r := range h.reads {
		observations = append(observations, registerOperation{kind: operationRead, version: r.version, sum: r.sum, fromMs: r.sentMs, toMs: r.atMs})
	}
	return observations
}

// observations are those of one submission's refusals.
func (r *submissionRecord) observations() []registerOperation {
	var observations []registerOperation
	for i, a := range r.answers {
		observation := registerOperation{kind: operationObserve, fromMs: a.sentMs, toMs: a.atMs}
		switch {
		case a.outcome == outcomeStale:
			observation.version = a.current
			observations = append(observations, observation)
		case a.outcome == outcomeInvalid && i == 0 && !r.isChange && !r.isUnreadable():
			// Its version is not above that of its base.
			observation.version = r.baseVersion
			observations = append(observations, observation)
		}
	}
	return observations
}

// bindingObservations leaves out observations that others imply. A
// configuration is in force for one span of time, as its version never comes
// back: all observations of it fit where the one that ended first and the one
// that began last do.
func bindingObservations(observations []registerOperation) []registerOperation {
	endedFirst, beganLast := map[observationKey]registerOperation{}, map[observationKey]registerOperation{}
	var order []observationKey
	for _, observation := range observations {
		key := observation.observationKey()
		known, isKnown := endedFirst[key]
		if !isKnown {
			order = append(order, key)
		}
		if !isKnown || observation.toMs < known.toMs {
			endedFirst[key] = observation
		}
		if known, isKnown := beganLast[key]; !isKnown || observation.fromMs > known.fromMs {
			beganLast[key] = observation
		}
	}
	var binding []registerOperation
	for _, key := range order {
		binding = append(binding, endedFirst[key])
		if beganLast[key] != endedFirst[key] {
			binding = append(binding, beganLast[key])
		}
	}
	return binding
}

// possibleSubmissions lists the submissions without a clear answer whose effect
// may have been observed. One whose version was not observed is left out: it
// took effect after all observations, or never.
func (h *history) possibleSubmissions() []registerOperation {
	unanswered := h.unansweredSubmissions()
	isOnly := func(r *submissionRecord) bool { return len(unanswered[r.version]) == 1 }
	isAny := func(*submissionRecord) bool { return true }
	// An observed version with only one possible submission comes from that, so
	// the base of that submission was in force too.
	certain := h.observedVersions()
	addBases(certain, unanswered, isOnly)
	possible := maps.Clone(certain)
	addBases(possible, unanswered, isAny)
	var operations []registerOperation
	for _, r := range h.submissions {
		if !possible[r.version] || !slices.Contains(unanswered[r.version], r) {
			continue
		}
		operations = append(operations, registerOperation{
			kind: operationPossible, submission: r, mayHaveNoEffect: !certain[r.version] || !isOnly(r),
			fromMs: r.sentMs, toMs: math.MaxInt64,
		})
	}
	return operations
}

// unansweredSubmissions are, by version, the submissions that may have taken
// effect and got no clear answer. The version of an accepted submission is no
// other's.
func (h *history) unansweredSubmissions() map[uint64][]*submissionRecord {
	unanswered, accepted := map[uint64][]*submissionRecord{}, map[uint64]bool{}
	for _, r := range h.submissions {
		if len(r.answers) > 0 && r.answers[0].outcome == outcomeAccepted {
			accepted[r.version] = true
		}
	}
	for _, r := range h.submissions {
		if len(r.answers) == 0 && r.version > r.baseVersion && !accepted[r.version] {
			unanswered[r.version] = append(unanswered[r.version], r)
		}
	}
	return unanswered
}

// addBases adds to a set of versions the bases of unanswered submissions whose
// version is in it, until there are no more. Only submissions that isCounted
// accepts are considered.
func addBases(versions map[uint64]bool, unanswered map[uint64][]*submissionRecord, isCounted func(r *submissionRecord) bool) {
	for hasGrown := true; hasGrown; {
		hasGrown = false
		for version, submissions := range unanswered {
			for _, r := range submissions {
				if versions[version] && isCounted(r) && !versions[r.baseVersion] {
					versions[r.baseVersion], hasGrown = true, true
				}
			}
		}
	}
}

// observedVersions are the versions that were observed: in a read, in a
// refusal, or as the base of a submission that took effect.
func (h *history) observedVersions() map[uint64]bool {
	observed := map[uint64]bool{}
	for _, r := range h.reads {
		observed[r.version] = true
	}
	for _, r := range h.submissions {
		for _, a := range r.answers {
			switch {
			case a.outcome == outcomeStale:
				observed[a.current] = true
			case a.outcome == outcomeAccepted, r.isChange, !r.isUnreadable():
				observed[r.baseVersion] = true
			}
		}
	}
	return observed
}
