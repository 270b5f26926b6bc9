package nativesim

import (
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

const (
	// maxOutageMs is how long a measurement waits for a recovery before it fails.
	maxOutageMs = 60_000
	// measureMs is the length of the interval over which rates are measured.
	measureMs = 10_000
)

// measureFunc runs a world and returns a figure of it.
type measureFunc = func(w *World) (float64, error)

// serviceOutage returns a function that injects a fault and measures the longest
// time without a response of the small service.
func serviceOutage(inject func(w *World)) measureFunc {
	return func(w *World) (float64, error) {
		w.Begin()
		w.clients.worstGapMs[w.smallService()] = 0
		inject(w)
		w.Run(25_000)
		return float64(w.WorstGapMs(w.smallService())), nil
	}
}

// controlOutage returns a function that injects a fault and measures the time
// until a controller is active again.
func controlOutage(inject func(w *World)) measureFunc {
	return func(w *World) (float64, error) {
		w.Begin()
		inject(w)
		fromMs := w.events.NowMs()
		for w.Primary() == "" {
			w.Run(10)
			if w.events.NowMs()-fromMs > maxOutageMs {
				return 0, errors.Newf("no controller became active within 60 s")
			}
		}
		return float64(w.events.NowMs() - fromMs), nil
	}
}

// fullRecovery returns a function that injects a fault and measures the time until
// every service has responded.
func fullRecovery(inject func(w *World)) measureFunc {
	return func(w *World) (float64, error) {
		w.Begin()
		inject(w)
		fromMs := w.events.NowMs()
		before := map[string]int{}
		for _, service := range w.Description.Services {
			before[service.Name] = w.CompleteResponses(service.Name)
		}
		for {
			w.Run(10)
			if w.allRespondedSince(before) {
				return float64(w.events.NowMs() - fromMs), nil
			}
			if w.events.NowMs()-fromMs > maxOutageMs {
				return 0, errors.Newf("not every service responded within 60 s")
			}
		}
	}
}

// allRespondedSince reports whether every service has responded since the counts
// in before.
func (w *World) allRespondedSince(before map[string]int) bool {
	for _, service := range w.Description.Services {
		if w.CompleteResponses(service.Name) == before[service.Name] {
			return false
		}
	}
	return true
}

func killPrimary(w *World) { w.Kill(w.Primary()) }

func stepPrimaryDown(w *World) { w.deliver(w.nodes[w.Primary()].process(), consensus.Leave{}) }

func killZoneOfPrimary(w *World) {
	zone := w.nodes[w.Primary()].zone
	for _, name := range w.nodeNames(anyRole) {
		if w.nodes[name].zone == zone {
			w.Kill(name)
		}
	}
	for _, r := range w.Description.Runners {
		if r.Zone == zone {
			w.CrashRunner(r.Name)
		}
	}
}

func partitionRoutersFromControllers(w *World) {
	w.Partition(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter), false)
	w.Run(40_000)
	w.Heal()
}

func restartEverything(w *World) {
	w.killAndStartAll()
	for _, r := range w.Description.Runners {
		w.replaceRunner(r.Name)
	}
}

func restartRouters(w *World) {
	for _, name := range w.nodeNames(protocol.RoleRouter) {
		w.Kill(name)
		w.Start(name)
	}
	w.Run(2000)
}

func recoverEverything(w *World) {
	w.killAndStartAll()
	w.Run(6000)
}

// lookUpsAfter returns a function that measures the look-ups per request after
// calling prepare.
func lookUpsAfter(prepare func(w *World)) measureFunc {
	return func(w *World) (float64, error) {
		w.Begin()
		prepare(w)
		requests, lookUps := w.routerRequests(), w.Network.LookUps
		w.Run(measureMs)
		requests, lookUps = w.routerRequests()-requests, w.Network.LookUps-lookUps
		if requests == 0 {
			return 0, errors.Newf("the routers counted no requests during the measurement")
		}
		return float64(lookUps) / float64(requests), nil
	}
}

// routerRequests returns the sum of the requests that all routers counted.
func (w *World) routerRequests() uint64 {
	var requests uint64
	for _, name := range w.nodeNames(protocol.RoleRouter) {
		requests += w.nodes[name].machine.(*router.Machine).Counters.Requests
	}
	return requests
}

func keepTraffic(*World) {}

func stopTraffic(w *World) {
	w.StopClients()
	w.Run(5000)
}

// messagesPerSec returns a function that measures the messages per second between
// daemons after calling prepare.
func messagesPerSec(prepare func(w *World)) measureFunc {
	return func(w *World) (float64, error) {
		w.Begin()
		prepare(w)
		before := w.Network.Messages
		w.Run(measureMs)
		return float64(w.Network.Messages-before) / (measureMs / 1000), nil
	}
}

// kilobytesPerSec returns a function that measures the kilobytes per second between
// daemons after calling prepare, as if each message were encoded alone.
func kilobytesPerSec(prepare func(w *World)) measureFunc {
	return func(w *World) (float64, error) {
		w.Begin()
		w.countBytes = true
		prepare(w)
		before := w.Network.Bytes
		w.Run(measureMs)
		return float64(w.Network.Bytes-before) / measureMs, nil
	}
}

// staleRevisionAge partitions some routers while a description is accepted. It
// returns the longest time between the acceptance and the start of a request under
// the previous revision.
func staleRevisionAge(w *World) (float64, error) {
	w.Begin()
	w.Burst(w.smallService(), 400)
	w.Partition(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter)[:2], false)
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(15_000)
	if w.operator.outcomes[submissionAccepted] < 2 {
		return 0, errors.Newf("the description was not accepted: %v", w.operator.outcomes)
	}
	return float64(w.Checker.WorstStaleRevisionMs), nil
}

// leavingRunnerDelay returns the longest time between a daemon learning that a
// runner is leaving and a request reaching that runner.
func leavingRunnerDelay(w *World) (float64, error) {
	w.Begin()
	for range 4 {
		for _, service := range w.Description.Services {
			w.Burst(service.Name, 50)
		}
		w.MarkLeaving(w.randomRunner())
		w.Run(4000)
	}
	return float64(w.Checker.WorstLeavingRunnerMs), nil
}

// worstRetryRatio crashes a runner repeatedly under bursts. It returns the
// retries per first attempt in the worst RetryWindowMs.
func worstRetryRatio(w *World) (float64, error) {
	w.Begin()
	last := w.Description.Runners[len(w.Description.Runners)-1].Name
	for range 6 {
		w.Burst(w.smallService(), 100)
		w.CrashRunner(last)
		w.Run(1000)
		w.StartRunner(last)
		w.Run(1000)
	}
	retries, firsts := w.Checker.WorstRetryWindow(w.smallService())
	if firsts == 0 {
		return 0, errors.Newf("no first attempt in the worst retry window")
	}
	return float64(retries) / float64(firsts), nil
}

// coldModelLatency returns the time that a newly bootstrapped site takes to
// respond to a request for a model that is not loaded.
func coldModelLatency(w *World) (float64, error) {
	w.bootstrapAndSubmit()
	w.Run(8000)
	service := w.Description.Services[1].Name
	w.clients.uniformModels = true
	fromMs := w.events.NowMs()
	w.submitRequest(service)
	for w.CompleteResponses(service) == 0 {
		w.Run(5)
		if w.events.NowMs()-fromMs > maxOutageMs {
			return 0, errors.Newf("no response within 60 s")
		}
	}
	return float64(w.events.NowMs() - fromMs), nil
}
