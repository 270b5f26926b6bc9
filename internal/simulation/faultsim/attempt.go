package faultsim

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/proxy"
)

const (
	// chunksPerStream is how many chunks a complete stream has.
	chunksPerStream = 6
	// maxQueued bounds the queue of a runner.
	maxQueued = 3
	// A plain request runs for plainRunMs to plainRunMs+plainRunSpreadMs. A chunk of a stream
	// takes chunkMs to chunkMs+chunkSpreadMs, multiplied by fleet.chunkTimeFactor.
	plainRunMs       = 20
	plainRunSpreadMs = 100
	chunkMs          = 20
	chunkSpreadMs    = 60
)

// attempt is one attempt to run a request at a runner.
type attempt struct {
	request *proxiedRequest
	// spec is what the router's state machine requested, as changed by injected bugs.
	spec proxy.StartAttempt
	// runner is the runner at the address. It may differ from the runner that spec names.
	runner *runner
	// isCancelled is true if the router closed the connection, so that the runner stops the run.
	// isFinished is true if the router ignores all further results.
	isCancelled, isFinished bool
}

// handleArrival handles the arrival of the request at the runner: the runner ignores, rejects,
// queues or starts it.
func (a *attempt) handleArrival() {
	sim, r, request := a.request.sim, a.runner, a.request
	sim.Checker.recordArrival(request, a.spec, r)
	if r.isUnresponsive {
		return
	}
	if r.entry.ID != a.spec.Params.Runner {
		a.sendOutcome(proxy.AttemptEnded{Outcome: proxy.Misdirected, OtherRunner: true})
		return
	}
	isFull := len(r.running) >= runnerSlots
	isQueueFull := isFull && len(r.queue) >= maxQueued
	readiness := r.readinessFor(request.params.Model, request.params.Adapter)
	switch {
	case readiness == isLoadingOrUnloading || readiness == isReady && isQueueFull:
		a.sendOutcome(proxy.AttemptEnded{Outcome: proxy.Rejected})
	case readiness == isMissing:
		a.sendOutcome(proxy.AttemptEnded{Outcome: proxy.Misdirected})
	case isFull:
		r.queue = append(r.queue, a)
	default:
		a.start()
	}
}

// sendToRouter calls arrive once a transmission from the runner arrives at the router, unless the
// attempt is finished by then. If the link is blocked, the router notices nothing until its
// timeout.
func (a *attempt) sendToRouter(arrive func()) {
	request := a.request
	request.sim.transmit(a.spec.Address, request.router.name, func() {
		request.runInRouter(func() {
			if !a.isFinished {
				arrive()
			}
		})
	}, nil)
}

func (a *attempt) sendOutcome(ended proxy.AttemptEnded) {
	a.sendToRouter(func() { a.request.reportOutcome(ended) })
}

// breakConnection breaks the connection to the router before the response is complete.
func (a *attempt) breakConnection() {
	a.sendToRouter(func() {
		a.isFinished = true
		a.request.handleLostConnection(a)
	})
}

// start begins to run the request at the runner.
func (a *attempt) start() {
	sim := a.request.sim
	a.runner.running = append(a.runner.running, a)
	sim.Checker.recordStart(a.request, a.spec, a.runner)
	if a.spec.Route.Kind != config.Stream {
		sim.after(plainRunMs+sim.random.Int63n(plainRunSpreadMs), a.finishPlainRequest)
		return
	}
	first := 1
	if a.spec.Params.LastEventID != "" {
		first = parseChunk(a.spec.Params.LastEventID) + 1
	}
	a.produceChunk(first)
}

// stopIfAborted reports whether the run produces nothing more, because the runner has ended or is
// unresponsive or the router cancelled the attempt. It frees the slot unless the runner has ended.
func (a *attempt) stopIfAborted() bool {
	if a.runner.hasEnded {
		return true
	}
	if a.isCancelled || a.runner.isUnresponsive {
		a.runner.release(a)
		return true
	}
	return false
}

// finishPlainRequest ends the run of a plain request, with a response, an error response, a broken
// connection or nothing at all.
func (a *attempt) finishPlainRequest() {
	if a.stopIfAborted() {
		return
	}
	sim, fleet := a.request.sim, &a.request.sim.fleet
	a.runner.release(a)
	switch draw := sim.random.Float64(); {
	case draw < fleet.lostResponseRate:
	case draw < fleet.lostResponseRate+fleet.resetRate:
		a.breakConnection()
	case draw < fleet.lostResponseRate+fleet.resetRate+fleet.errorRate:
		a.sendToRouter(a.request.handleServerError)
	default:
		a.sendToRouter(a.request.handleCompleteResponse)
	}
}

// produceChunk produces a chunk of a stream, and then all chunks after it.
func (a *attempt) produceChunk(chunk int) {
	sim := a.request.sim
	takesMs := (chunkMs + sim.random.Int63n(chunkSpreadMs)) * sim.fleet.chunkTimeFactor
	sim.after(takesMs, func() {
		if a.stopIfAborted() {
			return
		}
		if draw := sim.random.Float64(); draw < sim.fleet.resetRate/chunksPerStream {
			a.runner.release(a)
			a.breakConnection()
			return
		}
		isLast := chunk >= chunksPerStream
		if isLast {
			a.runner.release(a)
		}
		// A connection preserves the order of its data, but transmissions may arrive in another
		// order. So each arrival takes the next chunk from this queue.
		a.request.pendingChunks = append(a.request.pendingChunks, chunk)
		a.sendToRouter(func() { a.request.forwardChunk(a) })
		if !isLast {
			a.produceChunk(chunk + 1)
		}
	})
}
