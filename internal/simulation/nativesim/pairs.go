package nativesim

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/simulation/testbackend"
)

const (
	// pairGapMs bounds the time between the two faults of a pair.
	pairGapMs = 1500
	// pairFaultsMs is the time from the injection of the last fault of a pair until
	// all remaining faults are ended.
	pairFaultsMs = 12_000
)

// FaultPair names one fault, or two that are injected within pairGapMs.
type FaultPair struct {
	First string
	// Second is "" if the first fault is injected alone.
	Second string
}

// PairResult is the result of a run with a pair of faults.
type PairResult struct {
	FaultPair
	Seed int64
	// Violations are the violations of rules; Trace is empty if there are none.
	Violations []string
	Trace      string
	// SmallOutageMs and OtherOutageMs are the longest times without a response of
	// the small service and of any other.
	SmallOutageMs, OtherOutageMs int64
	// RejectionsByKind counts by kind the requests that were rejected without having run.
	RejectionsByKind map[errkind.Kind]int
	// Rejected is the sum of RejectionsByKind. Unknown counts requests with an unknown outcome.
	Rejected, Unknown int
}

// FaultPairs returns each fault alone, followed by all pairs of different
// faults.
func FaultPairs() []FaultPair {
	var pairs []FaultPair
	for _, f := range faults {
		pairs = append(pairs, FaultPair{First: f.name})
	}
	for i, first := range faults {
		for _, second := range faults[i+1:] {
			pairs = append(pairs, FaultPair{First: first.name, Second: second.name})
		}
	}
	return pairs
}

func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("nativesim: unknown fault: " + name)
}

// RunPair injects a pair of faults into a serving site, the second at most
// pairGapMs after the first, then ends them and checks that the site recovers.
func RunPair(text string, seed int64, pair FaultPair) PairResult {
	w := New(text, seed)
	w.Begin()
	w.resetOutcomes()
	faultNamed(pair.First).inject(w)
	if pair.Second != "" {
		w.Run(w.Random.Int63n(pairGapMs))
		faultNamed(pair.Second).inject(w)
	}
	w.Run(pairFaultsMs)
	w.repairAndCheck()
	return w.pairResult(pair)
}

// resetOutcomes resets the counts of outcomes and the times without a response.
func (w *World) resetOutcomes() {
	for _, service := range w.Description.Services {
		w.clients.lastResponseMs[service.Name] = w.events.NowMs()
		w.clients.worstGapMs[service.Name] = 0
		clear(w.clients.outcomes[service.Name])
	}
}

func (w *World) pairResult(pair FaultPair) PairResult {
	result := PairResult{FaultPair: pair, Seed: w.Seed, RejectionsByKind: map[errkind.Kind]int{}}
	for _, violation := range w.Checker.Violations() {
		result.Violations = append(result.Violations, violation.String())
	}
	if len(result.Violations) > 0 {
		result.Trace = w.Trace()
	}
	for _, service := range w.Description.Services {
		gapMs := w.clients.worstGapMs[service.Name]
		if service.Name == w.smallService() {
			result.SmallOutageMs = gapMs
		} else {
			result.OtherOutageMs = max(result.OtherOutageMs, gapMs)
		}
		for outcome, count := range w.clients.outcomes[service.Name] {
			result.count(outcome, count)
		}
	}
	return result
}

func (r *PairResult) count(outcome testbackend.Outcome, requests int) {
	kind := errkind.Kind(outcome)
	switch {
	case isNotExecuted(outcome):
		r.RejectionsByKind[kind] += requests
		r.Rejected += requests
	case kind == errkind.OutcomeUnknown || outcome == outcomeConnectionLost:
		r.Unknown += requests
	}
}
