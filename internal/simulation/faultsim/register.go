package faultsim

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"myrtlewinch/internal/protocol"
)

// operationKind is what an operation does to the register.
type operationKind int

const (
	operationAccepted operationKind = iota
	operationStale
	operationInvalid
	// operationPossible is a submission without a clear answer.
	operationPossible
	// operationObserve saw the current version, operationRead its text too.
	operationObserve
	operationRead
)

var operationNames = []string{
	"accepted", "refused as stale", "refused as invalid", "without a clear answer", "a refusal names version", "read back",
}

// registerOperation is one operation on the register.
type registerOperation struct {
	kind operationKind
	// submission is set for submissions, version and sum for observations.
	submission *submissionRecord
	version    uint64
	sum        string
	// mayHaveNoEffect: nothing that was observed must come from the submission.
	mayHaveNoEffect bool
	fromMs, toMs    int64
}

func (o registerOperation) String() string {
	if o.submission != nil {
		return fmt.Sprintf("%s %s, until %d ms", o.submission, operationNames[o.kind], o.toMs)
	}
	return fmt.Sprintf("%s %d from %d to %d ms", operationNames[o.kind], o.version, o.fromMs, o.toMs)
}

// observationKey tells observations of different configurations apart.
type observationKey struct {
	kind    operationKind
	version uint64
	sum     string
}

func (o registerOperation) observationKey() observationKey {
	return observationKey{o.kind, o.version, o.sum}
}

// configuration is what the register holds; sum identifies its text.
type configuration struct {
	version uint64
	sum     string
}

// registerState is the current configuration, and how many observations of it
// have been put in order.
type registerState struct {
	configuration
	observations int
}

// register applies submissions as the system should, and remembers the results.
type register struct {
	// texts holds texts by their sums.
	texts   map[string]string
	applied map[appliedKey]appliedSubmission
	// observations counts the observations of each configuration.
	observations map[observationKey]int
}

type appliedKey struct {
	on         configuration
	submission *submissionRecord
}

// appliedSubmission is the configuration that a submission leads to.
type appliedSubmission struct {
	configuration
	isValid bool
}

func newRegister() *register {
	return &register{
		texts: map[string]string{}, applied: map[appliedKey]appliedSubmission{}, observations: map[observationKey]int{},
	}
}

// registerModel is one register with compare-and-set. As a configuration never
// comes back, it may be replaced only once all observations of it are in order:
// this keeps the search short and rules nothing out.
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

// step says whether an operation is possible in a state, and gives the next.
func (r *register) step(state registerState, in registerOperation) (isPossible bool, next registerState) {
	switch in.kind {
	case operationAccepted:
		next, isValid := r.apply(state, in.submission)
		return isValid, next
	case operationStale:
		return state.version != in.submission.baseVersion, state
	case operationInvalid:
		return r.isInvalid(state, in.submission), state
	case operationPossible:
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

// observed is the state after one more observation.
func (s registerState) observed() registerState {
	return registerState{s.configuration, s.observations + 1}
}

// observationsOf is how many observations of a configuration there are.
func (r *register) observationsOf(c configuration) int {
	return r.observations[observationKey{kind: operationObserve, version: c.version}] +
		r.observations[observationKey{operationRead, c.version, c.sum}]
}

// apply gives the state that a submission leads to; isValid is false if it has
// no effect in this state.
func (r *register) apply(state registerState, submission *submissionRecord) (next registerState, isValid bool) {
	if state.version != submission.baseVersion || state.observations < r.observationsOf(state.configuration) {
		return state, false
	}
	result := r.result(state.configuration, submission)
	return registerState{configuration: result.configuration}, result.isValid
}

// result is what a submission makes of the configuration that it is based on.
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
		changed, faults := format{}.ApplyChange([]byte(r.texts[on.sum]), text)
		if len(faults) > 0 {
			return appliedSubmission{on, false}
		}
		text = changed
	}
	read, faults := format{}.Parse(text)
	if len(faults) > 0 || read.Version <= on.version {
		return appliedSubmission{on, false}
	}
	next := configuration{read.Version, protocol.Digest(string(text))}
	r.texts[next.sum] = string(text)
	return appliedSubmission{next, true}
}

// isInvalid says whether a change may be called invalid: it can't be applied to
// its base.
func (r *register) isInvalid(state registerState, submission *submissionRecord) bool {
	return state.version == submission.baseVersion && !r.result(state.configuration, submission).isValid
}
