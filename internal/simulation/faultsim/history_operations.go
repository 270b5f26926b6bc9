package faultsim

import (
	"maps"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// operations returns the history as operations on the register. A submission without a definite
// response may take effect at any time after it was sent, or never.
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
	for _, observation := range withoutImpliedObservations(h.observations()) {
		add(observation)
	}
	for _, possible := range h.possibleSubmissions() {
		add(possible)
	}
	return operations
}

// operation returns the operation of a submission according to its first definite response.
// isOperation is false if there is none, or if it counts only as an observation.
func (r *submissionRecord) operation() (in registerOperation, isOperation bool) {
	if len(r.responses) == 0 {
		return registerOperation{}, false
	}
	first := r.responses[0]
	switch {
	case first.outcome == outcomeAccepted:
		return registerOperation{kind: operationAccepted, submission: r, fromMs: r.sentMs, toMs: first.atMs}, true
	case first.outcome == outcomeStale && first.current == r.baseVersion:
		// The response names the base itself as current. So some call with this submission must
		// have been rejected while another version was current.
		return registerOperation{kind: operationStale, submission: r, fromMs: r.sentMs, toMs: first.atMs}, true
	case first.outcome == outcomeInvalid && r.isChange:
		return registerOperation{kind: operationInvalid, submission: r, fromMs: first.sentMs, toMs: first.atMs}, true
	}
	return registerOperation{}, false
}

// observations returns all observations of the current version: the reads, and the rejections,
// which tell what is current.
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

// observations returns the observations of the current version by the rejections of one submission.
func (r *submissionRecord) observations() []registerOperation {
	var observations []registerOperation
	for i, response := range r.responses {
		observation := registerOperation{kind: operationObserve, fromMs: response.sentMs, toMs: response.atMs}
		switch {
		case response.outcome == outcomeStale:
			observation.version = response.current
			observations = append(observations, observation)
		case response.outcome == outcomeInvalid && i == 0 && !r.isChange && !r.hasInvalidText():
			// The only possible reason is that the version of the submission is not above the
			// version of its base, so the base was current.
			observation.version = r.baseVersion
			observations = append(observations, observation)
		}
	}
	return observations
}

// withoutImpliedObservations leaves out observations that others imply. Each configuration is
// current for one period only, because its version never becomes current again. So for each
// configuration only the observation that ended first and the observation that began last matter:
// if both are linearizable, all observations between them are.
func withoutImpliedObservations(observations []registerOperation) []registerOperation {
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
	var kept []registerOperation
	for _, key := range order {
		kept = append(kept, endedFirst[key])
		if beganLast[key] != endedFirst[key] {
			kept = append(kept, beganLast[key])
		}
	}
	return kept
}

// possibleSubmissions returns the submissions without a definite response whose effect may have
// been observed. A submission whose version was not observed is left out: it may be assumed to have
// taken effect after all observations, or never.
func (h *history) possibleSubmissions() []registerOperation {
	unanswered := h.unansweredSubmissions()
	isOnly := func(r *submissionRecord) bool { return len(unanswered[r.version]) == 1 }
	isAny := func(*submissionRecord) bool { return true }
	// If only one submission can have set an observed version, the base of that submission was
	// current some time before.
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
			kind: operationUnanswered, submission: r, mayHaveNoEffect: !certain[r.version] || !isOnly(r),
			fromMs: r.sentMs, toMs: math.MaxInt64,
		})
	}
	return operations
}

// unansweredSubmissions returns, by version, the submissions without a definite response that may
// have taken effect. Those with the version of an accepted submission are left out, because no
// version takes effect twice.
func (h *history) unansweredSubmissions() map[uint64][]*submissionRecord {
	unanswered, accepted := map[uint64][]*submissionRecord{}, map[uint64]bool{}
	for _, r := range h.submissions {
		if len(r.responses) > 0 && r.responses[0].outcome == outcomeAccepted {
			accepted[r.version] = true
		}
	}
	for _, r := range h.submissions {
		if len(r.responses) == 0 && r.version > r.baseVersion && !accepted[r.version] {
			unanswered[r.version] = append(unanswered[r.version], r)
		}
	}
	return unanswered
}

// addBases adds to a set of versions the base versions of the unanswered submissions whose version
// is in the set, repeatedly until the set no longer grows. It considers only submissions for which
// isCounted returns true.
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

// observedVersions returns the versions that were observed to be current: by a read, by a
// rejection, or as the base of an accepted submission.
func (h *history) observedVersions() map[uint64]bool {
	observed := map[uint64]bool{}
	for _, r := range h.reads {
		observed[r.version] = true
	}
	for _, r := range h.submissions {
		for _, response := range r.responses {
			switch {
			case response.outcome == outcomeStale:
				observed[response.current] = true
			case response.outcome == outcomeAccepted, r.isChange, !r.hasInvalidText():
				observed[r.baseVersion] = true
			}
		}
	}
	return observed
}
