package faultsim

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/proxy"
)

const (
	chunksPerStream = 6
	maxQueued       = 3
)

// attempt is one send of a request at a runner.
type attempt struct {
	request *proxiedRequest
	send    proxy.StartAttempt
	runner  *runner
	// started says that it runs, and so has run whatever comes.
	started, cancelled, finished bool
}

// receive is the request reaching whoever lives at the address.
func (j *attempt) receive() {
	sim, r, p := j.request.sim, j.runner, j.request
	sim.Checker.recordArrival(p, j.send, r)
	if r.silent {
		return
	}
	if r.entry.ID != j.send.Params.Runner {
		j.reply(func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Misdirected, OtherRunner: true}) })
		return
	}
	there, wait := r.canRun(p.attributes.Model, p.attributes.Adapter)
	switch {
	case wait || there && len(r.running) >= slots && len(r.queue) >= maxQueued:
		j.reply(func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Rejected}) })
	case !there:
		j.reply(func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Misdirected}) })
	case len(r.running) >= slots:
		r.queue = append(r.queue, j)
	default:
		j.start()
	}
}

// reply carries something to the router, unless the link is cut: then its
// shell hears nothing until the time is over.
func (j *attempt) reply(arrive func()) {
	p := j.request
	p.sim.transmit(j.send.Address, p.router.name, func() {
		p.whenRouterRuns(func() {
			if !j.finished {
				arrive()
			}
		})
	}, nil)
}

// connectionBroken is the connection breaking under the job.
func (j *attempt) connectionBroken() {
	j.reply(func() {
		j.finished = true
		j.request.connectionLost(j)
	})
}

func (j *attempt) start() {
	sim, r := j.request.sim, j.runner
	j.started = true
	r.running = append(r.running, j)
	sim.Checker.recordStart(j.request, j.send, r)
	if !j.isStream() {
		sim.after(20+sim.random.Int63n(100), j.finishPlain)
		return
	}
	next := 1
	if j.send.Params.LastEventID != "" {
		next = parseChunk(j.send.Params.LastEventID) + 1
	}
	j.produceChunk(next)
}

func (j *attempt) isStream() bool { return j.send.Route.Kind == config.Stream }

// isAborted says that nothing more comes of it.
func (j *attempt) isAborted() bool {
	if j.runner.ended {
		return true
	}
	if j.cancelled || j.runner.silent {
		j.runner.release(j)
		return true
	}
	return false
}

// finishPlain ends a plain run.
func (j *attempt) finishPlain() {
	if j.isAborted() {
		return
	}
	sim, f := j.request.sim, &j.request.sim.fleet
	j.runner.release(j)
	switch draw := sim.random.Float64(); {
	case draw < f.lostAnswerShare:
	case draw < f.lostAnswerShare+f.resetShare:
		j.connectionBroken()
	case draw < f.lostAnswerShare+f.resetShare+f.errorShare:
		j.reply(func() { j.request.serverError() })
	default:
		j.reply(func() { j.request.complete() })
	}
}

// produceChunk produces a piece of a stream.
func (j *attempt) produceChunk(piece int) {
	sim, f := j.request.sim, &j.request.sim.fleet
	sim.after(20+sim.random.Int63n(60), func() {
		if j.isAborted() {
			return
		}
		if draw := sim.random.Float64(); draw < f.resetShare/chunksPerStream {
			j.runner.release(j)
			j.connectionBroken()
			return
		}
		last := piece >= chunksPerStream
		if last {
			j.runner.release(j)
		}
		// One connection keeps its order: a later piece never overtakes.
		p := j.request
		p.pendingChunks = append(p.pendingChunks, piece)
		j.reply(func() { p.forwardChunk(j, last) })
		if !last {
			j.produceChunk(piece + 1)
		}
	})
}
