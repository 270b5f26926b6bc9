package protocol

// HeldModel is a model whose weights a runner has in memory, with the loaded adapters of
// the model.
type HeldModel struct {
	Name string
	// Version is the version of the weights, or 0 if the platform does not state it.
	Version  int64
	Adapters []string
}

// RunnerEntry is a runner as the platform lists it. The platform assigns a new ID at
// every start of a runner, so an ID never names two processes.
type RunnerEntry struct {
	ID, Service, Address, Zone string
	// Slots is how many requests the runner serves at once.
	Slots int
	// Leaving is true if the platform is draining the runner: it finishes the requests it
	// is serving, and new ones should go to other runners.
	Leaving bool
	// LeftMs is the time until the runner is stopped even if it still serves requests, or -1
	// if the platform does not state this time.
	LeftMs int64
	// SlowMs is the remaining warm-up time after the runner's start; 0 once it is warm.
	SlowMs int64
	Models []HeldModel
}

// RunnerState is the state that a runner reports. The report may be some hundred
// milliseconds old when it arrives.
type RunnerState struct {
	Models []HeldModel
	// Busy is true if the runner is carrying out a load or unload.
	Busy bool
	// Calls is how many load and unload orders the runner has accepted since its start.
	// An order names the count that it expects, so that only one of two orders based on
	// the same report is accepted.
	Calls int64
	// Queued is the number of waiting requests. Active is the number of requests that are
	// being served.
	Queued, Active int
	// CacheUsed and CacheTotal are in tokens.
	CacheUsed, CacheTotal int64
}

// ListRunners is an outbound call that reads the platform's whole runner list. A
// RunnerList is its result.
type ListRunners struct{}

// RunnerList is the result of a ListRunners call.
type RunnerList struct {
	// Ok is true if Runners is the complete list, false if the call failed.
	Ok bool
	// Limited is true if the platform rejected the call by its rate limit for the site.
	Limited bool
	Runners []RunnerEntry
}

// GetRunnerState is an outbound call that asks a runner for its state. A
// RunnerStateResult with the same Number is its result.
type GetRunnerState struct {
	Runner string
	Number uint64
}

// RunnerStateResult is the result of a GetRunnerState call. State is valid only if Ok is
// true.
type RunnerStateResult struct {
	Runner string
	Number uint64
	Ok     bool
	State  RunnerState
}

// RunnerOrder is an outbound call that orders a runner to load or unload a model or an
// adapter. A RunnerOrderResult with the same Number is its result.
type RunnerOrder struct {
	Runner string
	Number uint64
	// Holder is the name of the controller that sends the order, and Fence its fencing
	// token: the epoch in which it is the primary.
	Holder string
	Fence  uint64
	// Load is true for a load and false for an unload.
	Load  bool
	Model string
	// Adapter is empty if the order is for the model itself.
	Adapter string
	// Expected is the value of RunnerState.Calls at which the runner accepts the order.
	Expected int64
	// UntilMs is the deadline by the sender's clock, no later than the end of its lease.
	// From then on no byte of the order may be written to the socket.
	UntilMs int64
}

// RunnerOrderResult is the result of a RunnerOrder.
type RunnerOrderResult struct {
	Runner  string
	Number  uint64
	Outcome OrderOutcome
}

// OrderOutcome is what is known about an order once its call has ended.
type OrderOutcome int

// The outcomes of an order.
const (
	// OutcomeUnknown means that the runner may have accepted the order; only a later
	// RunnerState shows whether it did.
	OutcomeUnknown OrderOutcome = iota
	// OutcomeAccepted means that the runner is carrying out the order.
	OutcomeAccepted
	// OutcomeAlreadyInEffect means that there was nothing to do.
	OutcomeAlreadyInEffect
	// OutcomeBusy means that the runner did not accept the order because it is carrying out
	// another order, or because its count of calls was not Expected.
	OutcomeBusy
	// OutcomeFenced means that the runner did not accept the order because it
	// has seen a higher fencing token.
	OutcomeFenced
	// OutcomeRejected means that the order was not accepted because it cannot be carried
	// out, or because another runner responded at the address.
	OutcomeRejected
	// OutcomeNotSent means that no byte of the order was written.
	OutcomeNotSent
)

// FleetResult is the OutboundResult of a call to the operators' platform or to one of its
// runners: RunnerList, RunnerStateResult or RunnerOrderResult.
type FleetResult interface {
	OutboundResult
	isFleetResult()
}

func (RunnerList) isFleetResult()        {}
func (RunnerStateResult) isFleetResult() {}
func (RunnerOrderResult) isFleetResult() {}
