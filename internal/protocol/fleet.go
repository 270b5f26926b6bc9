package protocol

// HeldModel is a model that a runner holds, with its adapters.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// RunnerEntry is a runner as the platform lists it. Every start of a runner is
// a new Id.
type RunnerEntry struct {
	ID, Service, Address, Zone string
	Slots                      int
	Leaving                    bool
	// LeftMs is the time until it is gone whatever it runs, or -1.
	LeftMs int64
	// SlowMs is for how long it is still slow from its start.
	SlowMs int64
	Models []HeldModel
}

// RunnerState is a runner's own word on itself, some hundred ms old.
type RunnerState struct {
	Models []HeldModel
	// Busy says that an order is under way; Calls how many it has taken.
	Busy  bool
	Calls int64
	// Queued and Active count requests; CacheUsed and CacheTotal tokens.
	Queued, Active        int
	CacheUsed, CacheTotal int64
}

// Calls outward, and what they bring back to the machine.
type (
	// ListRunners reads the platform's whole list.
	ListRunners struct{}
	// RunnerList is the list, or that none came.
	RunnerList struct {
		Ok bool
		// Limited says that the platform wants fewer calls.
		Limited bool
		Runners []RunnerEntry
	}
	// GetRunnerState asks a runner for its state. Number comes back.
	GetRunnerState struct {
		Runner string
		Number uint64
	}
	// RunnerStateResult answers a GetRunnerState.
	RunnerStateResult struct {
		Runner string
		Number uint64
		Ok     bool
		State  RunnerState
	}
	// RunnerOrder orders a runner to load or unload. It may not be written to
	// the socket once the sender's clock shows UntilMs or more.
	RunnerOrder struct {
		Runner  string
		Number  uint64
		Holder  string
		Fence   uint64
		Load    bool
		Model   string
		Adapter string
		// Expected is how many orders the runner must have taken before.
		Expected int64
		UntilMs  int64
	}
	// RunnerOrderResult answers a RunnerOrder.
	RunnerOrderResult struct {
		Runner  string
		Number  uint64
		Outcome OrderOutcome
	}
)

// OrderOutcome is what is known of an order once its call ended.
type OrderOutcome int

// The outcomes of an order.
const (
	// OutcomeUnknown: it may have been taken; only a later state can tell.
	OutcomeUnknown OrderOutcome = iota
	// OutcomeAccepted: it is under way.
	OutcomeAccepted
	// OutcomeAlreadyInEffect: it was in effect already.
	OutcomeAlreadyInEffect
	// OutcomeBusy: another is under way, or the count did not match. Not taken.
	OutcomeBusy
	// OutcomeFenced: the runner has seen a higher fence. Not taken.
	OutcomeFenced
	// OutcomeRefused: it does not exist, or another runner answered. Not taken.
	OutcomeRefused
	// OutcomeNotSent: no byte was written.
	OutcomeNotSent
)

// Messages between routers and controllers where the service map is in use.
type (
	// ConfigPoll is a router's constant question to the primary.
	ConfigPoll struct {
		EchoMs int64
		// Version and Sum name the map that the router uses; nought is none.
		Version uint64
		Sum     string
		// LeavingSum and ControllersSum name the lists that it took.
		LeavingSum, ControllersSum uint64
	}
	// ConfigUpdate answers a ConfigPoll; unasked it is sent to all routers at once when
	// a map came into force or a runner was seen to leave (EchoMs is nought).
	ConfigUpdate struct {
		EchoMs int64
		Epoch  uint64
		// Version and Sum name the map in force; Packed is the map itself, as the
		// operator wrote it, where the router lacks it; Text is it unpacked.
		Version uint64
		Sum     string
		Text    string
		Packed  []byte
		// Leaving lists the ids of the runners that are leaving; it is left out
		// where the router told LeavingSum itself.
		Leaving    []string
		LeavingSum uint64
		// AgeMs is how old the platform's list was that this rests on, or -1.
		AgeMs int64
		// Routers is how many routers share the budget of second tries.
		Routers int
		// Controllers are where look-ups and questions may go; left out where the
		// router told ControllersSum itself.
		Controllers    []Node
		ControllersSum uint64
	}
	// IndexLookUp is the one look-up that each request sends. Model and Adapter
	// are empty where the service holds none.
	IndexLookUp struct {
		ID                      uint64
		Service, Model, Adapter string
		// Tokens is the work that the request asks for.
		Tokens int64
		// Waits says that the request can't go on without a holder.
		Waits bool
		// Prompt is the part of the work that is reading the prompt, in tokens.
		Prompt int64
		// ReadMs is about how long a runner that had little else to do lately
		// took to read 1,000 tokens of a prompt for the model; 0 is unknown.
		ReadMs float64
	}
	// IndexHolder is a runner that a choice table offers.
	IndexHolder struct {
		ID, Address, Zone string
		// Adapter says that it holds the adapter too.
		Adapter bool
		Slots   int
		// Active, Queued and the token memory as it last told, AgeMs ago.
		Active, Queued        int
		CacheUsed, CacheTotal int64
		AgeMs                 int64
	}
	// IndexReply answers a IndexLookUp, or tells a router that asked lately of a
	// change (Id is nought).
	IndexReply struct {
		ID                      uint64
		Service, Model, Adapter string
		Epoch, Change           uint64
		// Known says that the controller has a state to answer from.
		Known   bool
		Holders []IndexHolder
		// TurnMs is in how many ms it may be held where it is not, or -1 where
		// that can't be told; Loading that a load of it is under way.
		TurnMs  int64
		Loading bool
	}
)

func init() {
	register(map[string]any{
		"MapAsk":    ConfigPoll{},
		"MapWord":   ConfigUpdate{},
		"MapLookUp": IndexLookUp{},
		"MapIndex":  IndexReply{},
	})
}
