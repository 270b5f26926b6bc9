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
	operationFaulty
	// operationPossible is an order without a clear answer.
	operationPossible
	// operationLook saw the current version, operationRead its text too.
	operationLook
	operationRead
)

var operationNames = []string{"accepted", "refused as stale", "refused as faulty", "without a clear answer", "a refusal names version", "read back"}

// registerOperation is one operation on the register.
type registerOperation struct {
	kind operationKind
	// order is set for orders, version and sum for what was seen.
	order   *orderRecord
	version uint64
	sum     string
	// mayLapse: the order may have had no effect, since nothing that was seen
	// must come from it.
	mayLapse     bool
	fromMs, toMs int64
}

func (o registerOperation) String() string {
	if o.order != nil {
		return fmt.Sprintf("%s %s, until %d ms", o.order, operationNames[o.kind], o.toMs)
	}
	return fmt.Sprintf("%s %d from %d to %d ms", operationNames[o.kind], o.version, o.fromMs, o.toMs)
}

// lookKey tells looks at different configurations apart.
type lookKey struct {
	kind    operationKind
	version uint64
	sum     string
}

func (o registerOperation) lookKey() lookKey { return lookKey{o.kind, o.version, o.sum} }

// configuration is what the register holds; sum names its text.
type configuration struct {
	version uint64
	sum     string
}

// registerState is the configuration in force, and how many looks at it have
// been put in order.
type registerState struct {
	configuration
	looks int
}

// register applies orders as the system should, and remembers what came of them.
type register struct {
	texts   map[string]string
	applied map[appliedKey]appliedOrder
	// looks counts the looks at each configuration.
	looks map[lookKey]int
}

type appliedKey struct {
	on    configuration
	order *orderRecord
}

type appliedOrder struct {
	configuration
	valid bool
}

// registerModel is one register with compare-and-set. As a configuration never
// comes back, it may be replaced only once all looks at it are in order: this
// keeps the search short and rules nothing out.
func registerModel(operations []porcupine.Operation) porcupine.Model {
	r := &register{texts: map[string]string{}, applied: map[appliedKey]appliedOrder{}, looks: map[lookKey]int{}}
	for _, operation := range operations {
		if in := operation.Input.(registerOperation); in.order == nil {
			r.looks[in.lookKey()]++
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
		next, valid := r.apply(state, in.order)
		return valid, next
	case operationStale:
		return state.version != in.order.builtOn, state
	case operationFaulty:
		return r.isFaulty(state, in.order), state
	case operationPossible:
		if next, valid := r.apply(state, in.order); valid {
			return true, next
		}
		return in.mayLapse, state
	case operationLook:
		return state.version == in.version, state.seen()
	case operationRead:
		return state.configuration == configuration{in.version, in.sum}, state.seen()
	}
	panic(fmt.Sprintf("drill: unknown operation %d", in.kind))
}

// seen is the state after one more look.
func (s registerState) seen() registerState { return registerState{s.configuration, s.looks + 1} }

// looksAt is how many looks at a configuration there are.
func (r *register) looksAt(c configuration) int {
	return r.looks[lookKey{kind: operationLook, version: c.version}] + r.looks[lookKey{operationRead, c.version, c.sum}]
}

// apply gives the configuration that an order leads to; false says that it has
// no effect yet.
func (r *register) apply(state registerState, order *orderRecord) (registerState, bool) {
	if state.version != order.builtOn || state.looks < r.looksAt(state.configuration) {
		return state, false
	}
	next := r.result(state.configuration, order)
	return registerState{configuration: next.configuration}, next.valid
}

// result is what an order makes of the configuration that it builds on.
func (r *register) result(on configuration, order *orderRecord) appliedOrder {
	key := appliedKey{on, order}
	known, found := r.applied[key]
	if !found {
		known = r.compute(on, order)
		r.applied[key] = known
	}
	return known
}

func (r *register) compute(on configuration, order *orderRecord) appliedOrder {
	text := []byte(order.text)
	if order.part {
		changed, faults := format{}.Change([]byte(r.texts[on.sum]), text)
		if len(faults) > 0 {
			return appliedOrder{on, false}
		}
		text = changed
	}
	read, faults := format{}.Read(text)
	if len(faults) > 0 || read.Version <= on.version {
		return appliedOrder{on, false}
	}
	next := configuration{read.Version, protocol.Sum(string(text))}
	r.texts[next.sum] = string(text)
	return appliedOrder{next, true}
}

// isFaulty says whether a change may be called faulty: it can't be applied to
// what it builds on.
func (r *register) isFaulty(state registerState, order *orderRecord) bool {
	return state.version == order.builtOn && !r.result(state.configuration, order).valid
}
