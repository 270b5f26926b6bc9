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
	// operationPossible is an order without a clear answer.
	operationPossible
	// operationObserve saw the current version, operationRead its text too.
	operationObserve
	operationRead
)

var operationNames = []string{"accepted", "refused as stale", "refused as faulty", "without a clear answer", "a refusal names version", "read back"}

// registerOperation is one operation on the register.
type registerOperation struct {
	kind operationKind
	// submission is set for orders, version and sum for what was seen.
	submission *submissionRecord
	version    uint64
	sum        string
	// mayHaveNoEffect: the order may have had no effect, since nothing that was seen
	// must come from it.
	mayHaveNoEffect bool
	fromMs, toMs    int64
}

func (o registerOperation) String() string {
	if o.submission != nil {
		return fmt.Sprintf("%s %s, until %d ms", o.submission, operationNames[o.kind], o.toMs)
	}
	return fmt.Sprintf("%s %d from %d to %d ms", operationNames[o.kind], o.version, o.fromMs, o.toMs)
}

// observationKey tells looks at different configurations apart.
type observationKey struct {
	kind    operationKind
	version uint64
	sum     string
}

func (o registerOperation) observationKey() observationKey {
	return observationKey{o.kind, o.version, o.sum}
}

// configuration is what the register holds; sum names its text.
type configuration struct {
	version uint64
	sum     string
}

// registerState is the configuration in force, and how many looks at it have
// been put in order.
type registerState struct {
	configuration
	observations int
}

// register applies orders as the system should, and remembers what came of them.
type register struct {
	texts   map[string]string
	applied map[appliedKey]appliedSubmission
	// observations counts the looks at each configuration.
	observations map[observationKey]int
}

type appliedKey struct {
	on         configuration
	submission *submissionRecord
}

type appliedSubmission struct {
	configuration
	valid bool
}

// registerModel is one register with compare-and-set. As a configuration never
// comes back, it may be replaced only once all looks at it are in order: this
// keeps the search short and rules nothing out.
func registerModel(operations []porcupine.Operation) porcupine.Model {
	r := &register{texts: map[string]string{}, applied: map[appliedKey]appliedSubmission{}, observations: map[observationKey]int{}}
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

func (r *register) step(state registerState, in registerOperation) (bool, any) {
	switch in.kind {
	case operationAccepted:
		next, valid := r.apply(state, in.submission)
		return valid, next
	case operationStale:
		return state.version != in.submission.builtOn, state
	case operationInvalid:
		return r.isInvalid(state, in.submission), state
	case operationPossible:
		if next, valid := r.apply(state, in.submission); valid {
			return true, next
		}
		return in.mayHaveNoEffect, state
	case operationObserve:
		return state.version == in.version, state.observed()
	case operationRead:
		return state.configuration == configuration{in.version, in.sum}, state.observed()
	}
	panic(fmt.Sprintf("drill: unknown operation %d", in.kind))
}

// observed is the state after one more look.
func (s registerState) observed() registerState {
	return registerState{s.configuration, s.observations + 1}
}

// observationsOf is how many looks at a configuration there are.
func (r *register) observationsOf(c configuration) int {
	return r.observations[observationKey{kind: operationObserve, version: c.version}] + r.observations[observationKey{operationRead, c.version, c.sum}]
}

// apply gives the configuration that an order leads to; false says that it has
// no effect yet.
func (r *register) apply(state registerState, order *submissionRecord) (registerState, bool) {
	if state.version != order.builtOn || state.observations < r.observationsOf(state.configuration) {
		return state, false
	}
	next := r.result(state.configuration, order)
	return registerState{configuration: next.configuration}, next.valid
}

// result is what an order makes of the configuration that it builds on.
func (r *register) result(on configuration, order *submissionRecord) appliedSubmission {
	key := appliedKey{on, order}
	known, found := r.applied[key]
	if !found {
		known = r.compute(on, order)
		r.applied[key] = known
	}
	return known
}

func (r *register) compute(on configuration, order *submissionRecord) appliedSubmission {
	text := []byte(order.text)
	if order.isChange {
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

// isInvalid says whether a change may be called faulty: it can't be applied to
// what it builds on.
func (r *register) isInvalid(state registerState, order *submissionRecord) bool {
	return state.version == order.builtOn && !r.result(state.configuration, order).valid
}
