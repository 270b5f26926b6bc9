package protocol

// Order is what the holder of the duty tells a runner. A runner carries its
// orders out one after another and remembers the last.
type Order struct {
	Holder      string `json:"holder"`
	Epoch       uint64 `json:"epoch"`
	Number      uint64 `json:"number"`
	Incarnation string `json:"incarnation"`
	Action      string `json:"action"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Size        int64  `json:"size"`
}

// The two actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

// OrderCall sends an order; it may not be written to the socket once the
// sender's clock shows more than UntilMs.
type OrderCall struct {
	Runner  string
	Order   Order
	UntilMs int64
}

// ReportCall reads a runner's report. The runner heeds no order of a lower
// epoch from then on. The number comes back, so that an answer is not taken
// for that of another call.
type ReportCall struct {
	Runner string
	Number uint64
	Epoch  uint64
}

// PlatformCall reads the platform's list.
type PlatformCall struct{}

// The states of an order at its runner.
const (
	OrderUnderWay = "under way"
	OrderDone     = "done"
	OrderFailed   = "failed"
)

// HeldItem is a model or adapter that a runner holds.
type HeldItem struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Size    int64  `json:"size"`
}

// RunnerReport is a runner's own word on itself; it answers orders too.
type RunnerReport struct {
	Runner      string     `json:"runner"`
	Incarnation string     `json:"incarnation"`
	Room        int64      `json:"room"`
	Burden      int64      `json:"burden"`
	Epoch       uint64     `json:"epoch"`
	LastOrder   uint64     `json:"lastOrder"`
	LastState   string     `json:"lastState"`
	Held        []HeldItem `json:"held"`
}

// RunnerReportResult brings a report, or that none came, back to the machine. The
// number is that of the call; an order's answer has none.
type RunnerReportResult struct {
	Runner  string
	Address string
	Number  uint64
	Ok      bool
	Report  RunnerReport
}

// ListedRunner is a runner in the platform's list.
type ListedRunner struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
}

// RunnerListResult brings the platform's list, or that none came, to the machine.
type RunnerListResult struct {
	Ok      bool
	Runners []ListedRunner
}

// Tick tells a machine only that time has gone on.
type Tick struct{}
