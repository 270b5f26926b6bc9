package protocol

// HeldModel is a model whose weights a runner has in memory, with the adapters
// that are loaded on top of it.
type HeldModel struct {
	Name string
	// Version is the version of the weights; 0 where the platform gives none.
	Version  int64
	Adapters []string
}

// RunnerEntry is a runner as the platform lists it. The platform gives every
// start of a runner a new ID, so an ID never names two processes.
type RunnerEntry struct {
	ID, Service, Address, Zone string
	// Slots is how many requests the runner serves at once.
	Slots int
	// Leaving says that the platform is draining the runner: it finishes what
	// it serves, and new requests should go elsewhere.
	Leaving bool
	// LeftMs is the time until the runner is stopped even if it still serves
	// requests, or -1 where the platform gives no such time.
	LeftMs int64
	// SlowMs is the time for which the runner is still warming up after its
	// start; 0 once it is warm.
	SlowMs int64
	Models []HeldModel
}

// RunnerState is what a runner reports about itself. The report may be some
// hundred milliseconds old when it arrives.
type RunnerState struct {
	Models []HeldModel
	// Busy says that the runner is carrying out a load or unload.
	Busy bool
	// Calls is how many load and unload orders the runner has accepted since
	// its start. An order names the count that it expects, so that of two
	// orders that rest on the same report only one is accepted.
	Calls int64
	// Queued and Active count requests that wait and that are being served.
	Queued, Active int
	// CacheUsed and CacheTotal are in tokens.
	CacheUsed, CacheTotal int64
}

// ListRunners is an outbound call that reads the platform's whole list of
// runners. A RunnerList answers it.
type ListRunners struct{}

// RunnerList is the outcome of a ListRunners call.
type RunnerList struct {
	// Ok says that Runners is the complete list; false that the call failed.
	Ok bool
	// Limited says that the platform rejected the call because the site calls
	// it too often.
	Limited bool
	Runners []RunnerEntry
}

// GetRunnerState is an outbound call that asks a runner for its state. A
// RunnerStateResult with the same Number answers it.
type GetRunnerState struct {
	Runner string
	Number uint64
}

// RunnerStateResult is the outcome of a GetRunnerState call. State is valid
// only where Ok is true.
type RunnerStateResult struct {
	Runner string
	Number uint64
	Ok     bool
	State  RunnerState
}

// RunnerOrder is an outbound call that orders a runner to load or unload a
// model or an adapter. A RunnerOrderResult with the same Number answers it.
type RunnerOrder struct {
	Runner string
	Number uint64
	// Holder is the name of the controller that gives the order, Fence its
	// fencing token: the epoch in which it is the primary.
	Holder string
	Fence  uint64
	// Load is true for a load and false for an unload.
	Load  bool
	Model string
	// Adapter is empty where the order concerns the model itself.
	Adapter string
	// Expected is the RunnerState.Calls that the runner must show to accept
	// the order.
	Expected int64
	// UntilMs is when the right to give the order ends, by the sender's clock:
	// from then on no byte of the order may be written to the socket.
	UntilMs int64
}

// RunnerOrderResult is the outcome of a RunnerOrder.
type RunnerOrderResult struct {
	Runner  string
	Number  uint64
	Outcome OrderOutcome
}

// OrderOutcome is what is known about an order once its call has ended.
type OrderOutcome int

// The outcomes of an order.
const (
	// OutcomeUnknown means that the runner may have accepted the order; only a
	// later RunnerState can tell.
	OutcomeUnknown OrderOutcome = iota
	// OutcomeAccepted means that the runner is carrying the order out.
	OutcomeAccepted
	// OutcomeAlreadyInEffect means that there was nothing to do.
	OutcomeAlreadyInEffect
	// OutcomeBusy means that the runner did not accept the order because it is
	// carrying out another, or because its count of calls was not Expected.
	OutcomeBusy
	// OutcomeFenced means that the runner did not accept the order because it
	// has seen a higher fencing token.
	OutcomeFenced
	// OutcomeRejected means that the order was not accepted because it can't be
	// carried out, or because another runner answered at the address.
	OutcomeRejected
	// OutcomeNotSent means that no byte of the order was written.
	OutcomeNotSent
)

// FleetResult is the OutboundResult of a call to the users' platform or to one of
// its runners: RunnerList, RunnerStateResult or RunnerOrderResult.
type FleetResult interface {
	OutboundResult
	isFleetResult()
}

func (RunnerList) isFleetResult()        {}
func (RunnerStateResult) isFleetResult() {}
func (RunnerOrderResult) isFleetResult() {}
