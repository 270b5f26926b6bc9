package faultsim

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"myrtlewinch/internal/protocol"
)

// operationKind is the kind of an operation on the register.
type operationKind int

const (
	// The first three are submissions with a definite response: accepted, rejected as stale, or
	// rejected as invalid.
	operationAccepted operationKind = iota
	operationStale
	operationInvalid
	// operationUnanswered is a submission without a definite response.
	operationUnanswered
	// operationObserve is an observation of the current version. operationRead is an observation
	// of the current version and its text.
	operationObserve
	operationRead
)

var operationNames = []string{
	"accepted", "rejected as stale", "rejected as invalid", "without a definite response", "a rejection names version", "read back",
}

// registerOperation is one operation on the register.
type registerOperation struct {
	kind operationKind
	// submission is set for submissions, version and sum for observations.
	submission *submissionRecord
	version    uint64
	sum        string
	// mayHaveNoEffect is true if no observation proves that the submission took effect.
	mayHaveNoEffect bool
	fromMs, toMs    int64
}

func (o registerOperation) String() string {
	if o.submission != nil {
		return fmt.Sprintf("%s %s, until %d ms", o.submission, operationNames[o.kind], o.toMs)
	}
	return fmt.Sprintf("%s %d from %d to %d ms", operationNames[o.kind], o.version, o.fromMs, o.toMs)
}

// observationKey identifies the configuration that was observed, and the kind of observation.
type observationKey struct {
	kind    operationKind
	version uint64
	sum     string
}

func (o registerOperation) observationKey() observationKey {
	return observationKey{o.kind, o.version, o.sum}
}

// configuration is the value of the register. sum is the digest of the text.
type configuration struct {
	version uint64
	sum     string
}

// registerState is the current configuration. observationCount is the number of its observations
// that the linearization contains so far.
type registerState struct {
	configuration
	observationCount int
}

// register applies submissions as the system should, and caches the results.
type register struct {
	// texts holds the texts of configurations by their digests.
	texts   map[string]string
	applied map[appliedKey]appliedSubmission
	// observations counts the observations of each configuration.
	observations map[observationKey]int
}

type appliedKey struct {
	on         configuration
	submission *submissionRecord
}

// appliedSubmission is the configuration that results from a submission, if that is valid.
type appliedSubmission struct {
	configuration
	isValid bool
}

func newRegister() *register {
	return &register{
		texts: map[string]string{}, applied: map[appliedKey]appliedSubmission{}, observations: map[observationKey]int{},
	}
}

// registerModel returns the model of one register with compare-and-set. Because a replaced
// configuration never becomes current again, the model allows its replacement only once all its
// observations are in the linearization. This keeps the search short and excludes no valid history.
func registerModel(operations []porcupine.Operation) porcupine.Model {
	r := newRegister()
	for _, operation := range operations {
		if in := operation.Input.(registerOperation); in.submission == nil {
			r.observations[in.observationKey()]++
		}
	}
	return porcupine.Model{
		Init: func() any { return registerState{} },
		Step: func(state, input, _ any) (bool, any) {
			return r.step(state.(registerState), input.(registerOperation))
		},
	}
}

// step returns whether an operation is possible in a state, and the state after it.
func (r *register) step(state registerState, in registerOperation) (isPossible bool, next registerState) {
	switch in.kind {
	case operationAccepted:
		next, isValid := r.apply(state, in.submission)
		return isValid, next
	case operationStale:
		return state.version != in.submission.baseVersion, state
	case operationInvalid:
		return r.isInvalid(state, in.submission), state
	case operationUnanswered:
		if next, isValid := r.apply(state, in.submission); isValid {
			return true, next
		}
		return in.mayHaveNoEffect, state
	case operationObserve:
		return state.version == in.version, state.observed()
	case operationRead:
		return state.configuration == configuration{in.version, in.sum}, state.observed()
	}
	panic(fmt.Sprintf("faultsim: unknown operation %d", in.kind))
}

// observed returns the state after one more observation.
func (s registerState) observed() registerState {
	return registerState{s.configuration, s.observationCount + 1}
}

// observationsOf returns how many observations of a configuration the history has.
func (r *register) observationsOf(c configuration) int {
	return r.observations[observationKey{kind: operationObserve, version: c.version}] +
		r.observations[observationKey{operationRead, c.version, c.sum}]
}

// apply returns the state after a submission. isValid is false if the submission has no effect in
// this state.
func (r *register) apply(state registerState, submission *submissionRecord) (next registerState, isValid bool) {
	if state.version != submission.baseVersion || state.observationCount < r.observationsOf(state.configuration) {
		return state, false
	}
	result := r.result(state.configuration, submission)
	return registerState{configuration: result.configuration}, result.isValid
}

// result returns the result of applying a submission to the configuration that it is based on.
func (r *register) result(on configuration, submission *submissionRecord) appliedSubmission {
	key := appliedKey{on, submission}
	known, isKnown := r.applied[key]
	if !isKnown {
		known = r.compute(on, submission)
		r.applied[key] = known
	}
	return known
}

func (r *register) compute(on configuration, submission *submissionRecord) appliedSubmission {
	text := []byte(submission.text)
	if submission.isChange {
		changed, faults := jsonFormat{}.ApplyChange([]byte(r.texts[on.sum]), text)
		if len(faults) > 0 {
			return appliedSubmission{on, false}
		}
		text = changed
	}
	read, faults := jsonFormat{}.Parse(text)
	if len(faults) > 0 || read.Version <= on.version {
		return appliedSubmission{on, false}
	}
	next := configuration{read.Version, protocol.Digest(string(text))}
	r.texts[next.sum] = string(text)
	return appliedSubmission{next, true}
}

// isInvalid reports whether a submission may be rejected as invalid in a state: its base is
// current, and applying it to the base gives no valid newer version.
func (r *register) isInvalid(state registerState, submission *submissionRecord) bool {
	return state.version == submission.baseVersion && !r.result(state.configuration, submission).isValid
}
