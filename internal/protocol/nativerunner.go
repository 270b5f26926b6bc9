package protocol

// Order is an instruction of the controller to a runner of the native interface. A
// runner carries out its orders one after another and remembers the last.
type Order struct {
	// Holder is the controller that sends the order, and Epoch the fencing token: a
	// runner rejects orders with an epoch lower than the highest it has seen.
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Number is the sequence number among the orders to the runner.
	Number uint64 `json:"number"`
	// Incarnation is the incarnation of the runner for which the order is meant.
	Incarnation string `json:"incarnation"`
	// Action is ActionLoad or ActionUnload.
	Action  string `json:"action"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Size    int64  `json:"size"`
}

// The values of Order.Action.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

// NativeOrderCall sends an order. NativeReportResult is its result.
type NativeOrderCall struct {
	Runner string
	Order  Order
	// UntilMs is the deadline by the sender's clock. From then on the order must not be
	// written to the connection.
	UntilMs int64
}

// NativeReportCall reads a runner's report. It also tells the runner the epoch, so that the
// runner rejects later orders with a lower one. NativeReportResult is its result.
type NativeReportCall struct {
	Runner string
	// Number is repeated in the result, to match it with its call.
	Number uint64
	Epoch  uint64
}

// NativeRunnerListCall reads the runner list of the platform, in the format of the native
// interface. NativeRunnerListResult is its result.
type NativeRunnerListCall struct{}

// The values of RunnerReport.LastState.
const (
	OrderInProgress = "under way"
	OrderDone       = "done"
	OrderFailed     = "failed"
)

// HeldItem is a model or adapter that is loaded. Size is the part of RunnerReport.Room that it
// takes.
type HeldItem struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Size    int64  `json:"size"`
}

// RunnerReport is a runner's report of its state. It is also the response to an order.
type RunnerReport struct {
	Runner      string `json:"runner"`
	Incarnation string `json:"incarnation"`
	// Room is its total capacity, used or not, in the unit of HeldItem.Size.
	Room int64 `json:"room"`
	// Burden is its load.
	Burden int64 `json:"burden"`
	// Epoch is the highest epoch that the runner has seen.
	Epoch uint64 `json:"epoch"`
	// LastOrder is the number of its last order, and LastState the state of that order.
	LastOrder uint64     `json:"lastOrder"`
	LastState string     `json:"lastState"`
	Held      []HeldItem `json:"held"`
}

// NativeReportResult is the result of a NativeOrderCall or a NativeReportCall.
type NativeReportResult struct {
	Runner  string
	Address string
	// Number is the number of the NativeReportCall, 0 in the result of an order.
	Number uint64
	// Ok is true if the runner responded with a report.
	Ok     bool
	Report RunnerReport
}

// ListedRunner is a runner in the platform's list.
type ListedRunner struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
}

// NativeRunnerListResult is the result of a NativeRunnerListCall. Ok is true if the platform
// responded with a list.
type NativeRunnerListResult struct {
	Ok      bool
	Runners []ListedRunner
}
