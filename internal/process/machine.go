package process

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

// runMachine is the machine's goroutine. It handles one input at a time until the queue of
// inputs is closed and empty.
func (r *Runtime) runMachine() error {
	defer close(r.ended)
	defer r.sender.Close()
	defer r.caller.client.Close()
	for {
		input, ok := r.inputs.Pop()
		if !ok {
			return nil
		}
		r.pause.wait()
		r.handleInput(input)
	}
}

// handleInput passes an input to the machine, or replaces the machine.
func (r *Runtime) handleInput(input protocol.Input) {
	switch in := input.(type) {
	case machineReopened:
		r.machine, r.store = in.machine, in.store
		r.options.Log.Info("the disk accepts writes again; restarted the state machine from the stored state")
	case diskWriteDone:
		// This machine does not need the result of a write that an earlier machine
		// requested.
		if in.store == r.store {
			r.step(in.DiskWriteDone)
		}
	case inputWithBody:
		r.step(in.Input)
		in.body.Close()
	default:
		r.step(input)
	}
}

func (r *Runtime) step(input protocol.Input) {
	r.apply(r.machine.Step(r.options.Clock.NowMs(), input))
}

// apply carries out the effects of a step, one kind after the other. The effects of each
// kind are carried out in the order of their list.
func (r *Runtime) apply(effects protocol.Effects) {
	for _, line := range effects.LogLines {
		r.options.Log.Info(line)
	}
	for _, name := range effects.Counts {
		r.Count(name)
	}
	for _, write := range effects.DiskWrites {
		r.queueWrite(write)
	}
	for _, send := range effects.Sends {
		r.Count("messages sent")
		r.sender.Send(send.Address, protocol.Envelope{Site: r.options.Site, From: r.options.Self, To: send.To, Body: send.Body})
	}
	for _, response := range effects.Responses {
		r.replies.deliver(response)
	}
	for _, call := range effects.Calls {
		r.startCall(call)
	}
}

// startCall makes an outbound call on its own goroutine. The result becomes an input.
func (r *Runtime) startCall(call protocol.OutboundCall) {
	if !r.caller.reserve() {
		r.Count("calls outward too many")
		r.Submit(failedResult(call))
		return
	}
	threads.Go(func() {
		defer r.caller.release()
		r.Submit(r.caller.call(call))
	})
}
