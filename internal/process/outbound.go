package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/protocol"
)

const (
	// outboundTimeout bounds an outbound call.
	outboundTimeout = time.Second
	// maxOutboundCalls bounds the concurrent calls, so that unresponsive back ends cannot
	// cause an unlimited number of goroutines.
	maxOutboundCalls = 256
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 4 << 20
	// noDeadlineMs is a deadline that never passes.
	noDeadlineMs = math.MaxInt64
)

// OutboundCaller makes the outbound calls that do not use the format of the native
// interface.
type OutboundCaller interface {
	// Call makes a call and returns its result, which becomes an input of the machine; ok
	// is false if the type of call is unknown. The request must be written with the check
	// that writeCheck returns: no byte of it may be written once the process's clock has
	// reached untilMs.
	Call(ctx context.Context, client *httpclient.Client, call protocol.OutboundCall, writeCheck func(untilMs int64) func() bool) (result protocol.OutboundResult, ok bool)
}

// outboundClient makes the machine's outbound calls, a bounded number concurrently.
type outboundClient struct {
	client *httpclient.Client
	// customCaller makes the calls whose types it knows; it may be nil.
	customCaller OutboundCaller
	// writeCheck is Runtime.WriteCheck; count is Runtime.Count.
	writeCheck func(allowed func(nowMs int64) bool) func() bool
	count      func(name string)
	inFlight   atomic.Int64
}

// reserve counts a call against maxOutboundCalls. It returns false if that limit is
// reached.
func (o *outboundClient) reserve() bool {
	if o.inFlight.Add(1) > maxOutboundCalls {
		o.inFlight.Add(-1)
		return false
	}
	return true
}

// release ends the reservation of a call.
func (o *outboundClient) release() { o.inFlight.Add(-1) }

// call makes one call and returns its result.
func (o *outboundClient) call(call protocol.OutboundCall) protocol.OutboundResult {
	ctx, cancel := context.WithTimeout(context.Background(), outboundTimeout)
	defer cancel()
	if o.customCaller != nil {
		if result, ok := o.customCaller.Call(ctx, o.client, call, o.writeUntil); ok {
			return result
		}
	}
	switch body := call.Body.(type) {
	case protocol.NativeOrderCall:
		return o.sendOrder(ctx, call.Address, body)
	case protocol.NativeReportCall:
		return o.fetchReport(ctx, call.Address, body)
	case protocol.NativeRunnerListCall:
		return o.fetchRunners(ctx, call.Address)
	}
	return failedResult(call)
}

// writeUntil returns the write check of a request with a deadline.
func (o *outboundClient) writeUntil(untilMs int64) func() bool {
	return o.writeCheck(func(nowMs int64) bool { return nowMs < untilMs })
}

// sendOrder sends an order to a runner, unless the deadline of the order has passed.
func (o *outboundClient) sendOrder(ctx context.Context, address string, call protocol.NativeOrderCall) protocol.NativeReportResult {
	result := protocol.NativeReportResult{Runner: call.Runner, Address: address}
	body, err := json.Marshal(call.Order)
	if err != nil {
		o.count("calls outward failed")
		return result
	}
	request := nativeRequest{method: http.MethodPost, address: address, path: "/orders", body: body, untilMs: call.UntilMs}
	result.Ok = o.fetchJSON(ctx, request, &result.Report)
	return result
}

func (o *outboundClient) fetchReport(ctx context.Context, address string, call protocol.NativeReportCall) protocol.NativeReportResult {
	result := protocol.NativeReportResult{Runner: call.Runner, Address: address, Number: call.Number}
	path := fmt.Sprintf("/report?epoch=%d", call.Epoch)
	request := nativeRequest{method: http.MethodGet, address: address, path: path, untilMs: noDeadlineMs}
	result.Ok = o.fetchJSON(ctx, request, &result.Report)
	return result
}

func (o *outboundClient) fetchRunners(ctx context.Context, address string) protocol.NativeRunnerListResult {
	var result protocol.NativeRunnerListResult
	request := nativeRequest{method: http.MethodGet, address: address, path: "/runners", untilMs: noDeadlineMs}
	result.Ok = o.fetchJSON(ctx, request, &result.Runners)
	return result
}

// nativeRequest is an HTTP request in the format of the native interface.
type nativeRequest struct {
	method, address, path string
	body                  []byte
	// untilMs is the time of the process's clock from which the request must not be
	// written.
	untilMs int64
}

// fetchJSON makes a request and decodes the response into value. It counts a failure and
// then returns false.
func (o *outboundClient) fetchJSON(ctx context.Context, request nativeRequest, value any) bool {
	if err := o.fetch(ctx, request, value); err != nil {
		o.count("calls outward failed")
		return false
	}
	return true
}

func (o *outboundClient) fetch(ctx context.Context, request nativeRequest, value any) error {
	url := "http://" + request.address + request.path
	response, _, err := o.client.Do(ctx, request.method, url, request.body, o.writeUntil(request.untilMs))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("%s responded with status %d", url, response.StatusCode)
	}
	return json.Unmarshal(text, value)
}

// failedResult is the result of a call that was not made.
func failedResult(call protocol.OutboundCall) protocol.OutboundResult {
	switch body := call.Body.(type) {
	case protocol.NativeOrderCall:
		return protocol.NativeReportResult{Runner: body.Runner, Address: call.Address}
	case protocol.NativeReportCall:
		return protocol.NativeReportResult{Runner: body.Runner, Address: call.Address, Number: body.Number}
	case protocol.ListRunners:
		return protocol.RunnerList{}
	case protocol.GetRunnerState:
		return protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number}
	case protocol.RunnerOrder:
		return protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number}
	}
	return protocol.NativeRunnerListResult{}
}
