package faultsim

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/proxy"
)

const (
	// chunksPerStream is how many chunks a complete stream has.
	chunksPerStream = 6
	// maxQueued bounds the requests that wait at a runner.
	maxQueued = 3
	// A plain request runs plainRunMs and up to plainRunSpreadMs more, a chunk of a
	// stream takes chunkMs and up to chunkSpreadMs more.
	plainRunMs       = 20
	plainRunSpreadMs = 100
	chunkMs          = 20
	chunkSpreadMs    = 60
)

// attempt is one send of a request to a runner.
type attempt struct {
	request *proxiedRequest
	send    proxy.StartAttempt
	runner  *runner
	// isCancelled says that the router no longer wants the result, isFinished that
	// it ignores what still comes.
	isCancelled, isFinished bool
}

// receive is the request arriving at whoever runs at the address.
func (a *attempt) receive() {
	sim, r, request := a.request.sim, a.runner, a.request
	sim.Checker.recordArrival(request, a.send, r)
	if r.isSilent {
		return
	}
	if r.entry.ID != a.send.Params.Runner {
		a.replyOutcome(proxy.AttemptEnded{Outcome: proxy.Misdirected, OtherRunner: true})
		return
	}
	isFull := len(r.running) >= slots
	isQueueFull := isFull && len(r.queue) >= maxQueued
	readiness := r.readinessFor(request.attributes.Model, request.attributes.Adapter)
	switch {
	case readiness == isLoading || readiness == isReady && isQueueFull:
		a.replyOutcome(proxy.AttemptEnded{Outcome: proxy.Rejected})
	case readiness == isMissing:
		a.replyOutcome(proxy.AttemptEnded{Outcome: proxy.Misdirected})
	case isFull:
		r.queue = append(r.queue, a)
	default:
		a.start()
	}
}

// reply carries something back to the router. If the link is cut, the router
// learns nothing until its timeout.
func (a *attempt) reply(arrive func()) {
	request := a.request
	request.sim.transmit(a.send.Address, request.router.name, func() {
		request.whenRouterRuns(func() {
			if !a.isFinished {
				arrive()
			}
		})
	}, nil)
}

func (a *attempt) replyOutcome(ended proxy.AttemptEnded) {
	a.reply(func() { a.request.reportOutcome(ended) })
}

// connectionBroken is the connection breaking before the answer is complete.
func (a *attempt) connectionBroken() {
	a.reply(func() {
		a.isFinished = true
		a.request.connectionLost(a)
	})
}

// start begins to run the request.
func (a *attempt) start() {
	sim := a.request.sim
	a.runner.running = append(a.runner.running, a)
	sim.Checker.recordStart(a.request, a.send, a.runner)
	if a.send.Route.Kind != config.Stream {
		sim.after(plainRunMs+sim.random.Int63n(plainRunSpreadMs), a.finishPlain)
		return
	}
	first := 1
	if a.send.Params.LastEventID != "" {
		first = parseChunk(a.send.Params.LastEventID) + 1
	}
	a.produceChunk(first)
}

// isAborted says whether nothing more comes of the run; it then frees the slot.
func (a *attempt) isAborted() bool {
	if a.runner.hasEnded {
		return true
	}
	if a.isCancelled || a.runner.isSilent {
		a.runner.release(a)
		return true
	}
	return false
}

// finishPlain ends the run of a plain request.
func (a *attempt) finishPlain() {
	if a.isAborted() {
		return
	}
	sim, fleet := a.request.sim, &a.request.sim.fleet
	a.runner.release(a)
	switch draw := sim.random.Float64(); {
	case draw < fleet.lostAnswerShare:
	case draw < fleet.lostAnswerShare+fleet.resetShare:
		a.connectionBroken()
	case draw < fleet.lostAnswerShare+fleet.resetShare+fleet.errorShare:
		a.reply(a.request.serverError)
	default:
		a.reply(a.request.complete)
	}
}

// produceChunk produces a chunk of a stream, and those after it.
func (a *attempt) produceChunk(chunk int) {
	sim := a.request.sim
	takesMs := (chunkMs + sim.random.Int63n(chunkSpreadMs)) * sim.fleet.streamSlowness
	sim.after(takesMs, func() {
		if a.isAborted() {
			return
		}
		if draw := sim.random.Float64(); draw < sim.fleet.resetShare/chunksPerStream {
			a.runner.release(a)
			a.connectionBroken()
			return
		}
		isLast := chunk >= chunksPerStream
		if isLast {
			a.runner.release(a)
		}
		// A connection keeps the order: the router takes the chunks from this queue
		// as transmissions arrive, whichever they were.
		a.request.pendingChunks = append(a.request.pendingChunks, chunk)
		a.reply(func() { a.request.forwardChunk(a) })
		if !isLast {
			a.produceChunk(chunk + 1)
		}
	})
}
