package protocol

// OutboundRequest is the body of an OutboundCall, an HTTP call to the platform or to a
// runner.
type OutboundRequest interface{ outboundRequest() }

func (ListRunners) outboundRequest()          {}
func (GetRunnerState) outboundRequest()       {}
func (RunnerOrder) outboundRequest()          {}
func (NativeOrderCall) outboundRequest()      {}
func (NativeReportCall) outboundRequest()     {}
func (NativeRunnerListCall) outboundRequest() {}

// OutboundResult is the result of an OutboundCall, whether it succeeded or failed. The
// state machine receives exactly one as an input for each call.
type OutboundResult interface {
	Input
	outboundResult()
}

func (RunnerList) outboundResult()             {}
func (RunnerStateResult) outboundResult()      {}
func (RunnerOrderResult) outboundResult()      {}
func (NativeReportResult) outboundResult()     {}
func (NativeRunnerListResult) outboundResult() {}

// MachineInput marks RunnerList as an Input.
func (RunnerList) MachineInput() {}

// MachineInput marks RunnerStateResult as an Input.
func (RunnerStateResult) MachineInput() {}

// MachineInput marks RunnerOrderResult as an Input.
func (RunnerOrderResult) MachineInput() {}

// MachineInput marks NativeReportResult as an Input.
func (NativeReportResult) MachineInput() {}

// MachineInput marks NativeRunnerListResult as an Input.
func (NativeRunnerListResult) MachineInput() {}
