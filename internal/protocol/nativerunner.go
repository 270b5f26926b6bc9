package protocol

// Order is an instruction of the controller to a runner of the own interface. A
// runner carries its orders out one after another and remembers the last.
type Order struct {
	// Holder is the controller that sends it, Epoch the fencing token: a runner
	// rejects orders of a lower epoch than it has seen.
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Number counts the orders to the runner.
	Number uint64 `json:"number"`
	// Incarnation is that of the runner that it is meant for.
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

// OrderCall sends an order. RunnerReportResult is its result.
type OrderCall struct {
	Runner string
	Order  Order
	// UntilMs is the time of the sender's clock from which the order may not be
	// written to the connection.
	UntilMs int64
}

// ReportCall reads a runner's report. From then on the runner rejects orders of a
// lower epoch. RunnerReportResult is its result.
type ReportCall struct {
	Runner string
	// Number returns in the result, so that it is not taken for that of another
	// call.
	Number uint64
	Epoch  uint64
}

// PlatformCall reads the platform's list of runners. RunnerListResult is its
// result.
type PlatformCall struct{}

// The values of RunnerReport.LastState.
const (
	OrderUnderWay = "under way"
	OrderDone     = "done"
	OrderFailed   = "failed"
)

// HeldItem is a model or adapter that is loaded.
type HeldItem struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Size    int64  `json:"size"`
}

// RunnerReport is a runner's report of itself. It answers orders as well.
type RunnerReport struct {
	Runner      string `json:"runner"`
	Incarnation string `json:"incarnation"`
	// Room is its free capacity, in the unit of HeldItem.Size.
	Room int64 `json:"room"`
	// Burden is its load.
	Burden int64 `json:"burden"`
	// Epoch is the highest that it has seen.
	Epoch uint64 `json:"epoch"`
	// LastOrder is the number of its last order, LastState what became of that.
	LastOrder uint64     `json:"lastOrder"`
	LastState string     `json:"lastState"`
	Held      []HeldItem `json:"held"`
}

// RunnerReportResult is the result of an OrderCall or a ReportCall.
type RunnerReportResult struct {
	Runner  string
	Address string
	// Number is that of the ReportCall; an order's result has none.
	Number uint64
	// Ok says that a report came.
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

// RunnerListResult is the result of a PlatformCall; Ok says that a list came.
type RunnerListResult struct {
	Ok      bool
	Runners []ListedRunner
}
