package protocol

// OutboundRequest is the body of an OutboundCall: a call over HTTP to the
// platform or to a runner.
type OutboundRequest interface{ outboundRequest() }

func (ListRunners) outboundRequest()    {}
func (GetRunnerState) outboundRequest() {}
func (RunnerOrder) outboundRequest()    {}
func (OrderCall) outboundRequest()      {}
func (ReportCall) outboundRequest()     {}
func (PlatformCall) outboundRequest()   {}

// OutboundResult is the result of an OutboundCall, also of one that failed. It
// reaches the machine as an input, exactly once for each call.
type OutboundResult interface {
	Input
	outboundResult()
}

func (RunnerList) outboundResult()         {}
func (RunnerStateResult) outboundResult()  {}
func (RunnerOrderResult) outboundResult()  {}
func (RunnerReportResult) outboundResult() {}
func (RunnerListResult) outboundResult()   {}

// MachineInput marks the results of outbound calls as Inputs.
func (RunnerList) MachineInput() {}

// MachineInput marks RunnerStateResult as an Input.
func (RunnerStateResult) MachineInput() {}

// MachineInput marks RunnerOrderResult as an Input.
func (RunnerOrderResult) MachineInput() {}

// MachineInput marks RunnerReportResult as an Input.
func (RunnerReportResult) MachineInput() {}

// MachineInput marks RunnerListResult as an Input.
func (RunnerListResult) MachineInput() {}
