package runnerstate

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/placement/demand"
)

const (
	// promptSmoothing is the weight of one request in the mean prompt length.
	promptSmoothing = 0.05
	// prefillRiseShare is the part of the difference by which the prefill time
	// rises when a longer one is reported, so that a value that was once reported
	// too low is corrected in the end.
	prefillRiseShare = 0.02
	// minWarmLoadMs and warmLoadDivisor give the assumed time of a load from a
	// runner's own disk until one was measured.
	minWarmLoadMs   = 200
	warmLoadDivisor = 4
	// warmLoadSmoothing is the number of loads over which the measured time of a
	// load from disk is smoothed.
	warmLoadSmoothing = 4
)

// Model is a model of a service: which runners hold it and how often it is
// requested.
type Model struct {
	Service *Service
	// Name is empty for the stand-in of a service without models.
	Name string
	Spec config.Model
	// Configured says that the configuration names it. Other models exist as long
	// as a runner holds them.
	Configured bool
	// Holders are the runners that hold it, in the order in which they got it.
	Holders []*Runner
	// AdapterHolders are the holders of each adapter that any runner holds.
	AdapterHolders map[string][]*Runner
	Demand         demand.Meter
	// Adapters holds the demand for those adapters that were requested.
	Adapters map[string]*Adapter
	// PrefillMs is how long a runner takes for the prefill of 1,000 tokens, as
	// routers report, 0 if unknown; PromptTokens is the smoothed prompt length.
	PrefillMs, PromptTokens float64
	// warmLoadMs is the smoothed time of a load from a runner's own disk, 0 until
	// one was measured.
	warmLoadMs int64
	// Plan belongs to the planner.
	Plan ModelPlan
}

// ModelPlan is what the planner works out for a model. The status page and the
// estimates for waiting requests read it.
type ModelPlan struct {
	// Copies is how many usable runners hold the model, Coming how many are about
	// to, Wanted how many should.
	Copies, Coming, Wanted int
	// AdapterCopies is how many copies the adapters in use need.
	AdapterCopies int
	// Rate is the estimated rate of requests per second.
	Rate float64
	// Need is how many copies the demand fills, as a fraction; it comes down
	// slowly. NeedMs is when it was computed.
	Need   float64
	NeedMs int64
	// WorkShare weighs the model when a runner's running requests are divided
	// among the models that it holds; Running is the sum of what falls to it.
	WorkShare, Running float64
	// Concurrency is Running, smoothed; ConcurrencyMs is when it was updated.
	Concurrency   float64
	ConcurrencyMs int64
	// PeakRate is the highest rate seen, which decays slowly; PeakMs is when it
	// was updated.
	PeakRate float64
	PeakMs   int64
	// QueueMs is the expected time until its load can begin, -1 if unknown.
	QueueMs int64
}

// Adapter is the demand for one adapter of a model. Copies and Coming belong to
// the planner and mean the same as in ModelPlan.
type Adapter struct {
	Name           string
	Demand         demand.Meter
	Copies, Coming int
}

// Adapter returns the demand for one of the model's adapters, and makes it at
// the first request.
func (m *Model) Adapter(name string) *Adapter {
	if m.Adapters == nil {
		m.Adapters = map[string]*Adapter{}
	}
	a := m.Adapters[name]
	if a == nil {
		a = &Adapter{Name: name}
		m.Adapters[name] = a
	}
	return a
}

// HasAdapter says whether the model has an adapter of that name. Adapters are
// named a1, a2 and so on up to the number in the configuration.
func (m *Model) HasAdapter(name string) bool {
	number, found := strings.CutPrefix(name, "a")
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= m.Spec.AdapterCount && number[0] != '+' && number[0] != '0'
}

// AddPrompts takes the mean prompt length of some requests, and the time in ms
// that the prefill of 1,000 tokens took, 0 if unknown.
func (m *Model) AddPrompts(meanTokens, prefillMs float64, requests int) {
	m.addPrefillTime(prefillMs)
	if m.PromptTokens == 0 {
		m.PromptTokens = meanTokens
	}
	m.PromptTokens += (1 - math.Pow(1-promptSmoothing, float64(requests))) * (meanTokens - m.PromptTokens)
}

// addPrefillTime keeps the least time, since all else that a runner does only
// adds to it.
func (m *Model) addPrefillTime(ms float64) {
	switch {
	case ms <= 0:
	case m.PrefillMs == 0 || ms < m.PrefillMs:
		m.PrefillMs = ms
	default:
		m.PrefillMs += prefillRiseShare * (ms - m.PrefillMs)
	}
}

// WarmLoadMs is how long a load from a runner's own disk takes.
func (m *Model) WarmLoadMs() int64 {
	if m.warmLoadMs > 0 {
		return m.warmLoadMs
	}
	return max(minWarmLoadMs, m.Spec.LoadMs/warmLoadDivisor)
}

// AddWarmLoad takes the measured time of a load from a runner's own disk. Times
// that can't be those of such a load are ignored.
func (m *Model) AddWarmLoad(tookMs int64) {
	if tookMs <= 0 || tookMs > 2*m.Spec.LoadMs {
		return
	}
	if m.warmLoadMs == 0 {
		m.warmLoadMs = tookMs
	} else {
		m.warmLoadMs += (tookMs - m.warmLoadMs) / warmLoadSmoothing
	}
}

// addAdapterHolder and removeAdapterHolder keep AdapterHolders.
func (m *Model) addAdapterHolder(adapter string, r *Runner) {
	if m.AdapterHolders == nil {
		m.AdapterHolders = map[string][]*Runner{}
	}
	m.AdapterHolders[adapter] = append(m.AdapterHolders[adapter], r)
}

func (m *Model) removeAdapterHolder(adapter string, r *Runner) {
	holders := m.AdapterHolders[adapter]
	if i := slices.Index(holders, r); i >= 0 {
		holders = slices.Delete(holders, i, i+1)
	}
	m.AdapterHolders[adapter] = holders
	if len(holders) == 0 {
		delete(m.AdapterHolders, adapter)
	}
}

func (m *Model) removeHolder(r *Runner) {
	if i := slices.Index(m.Holders, r); i >= 0 {
		m.Holders = slices.Delete(m.Holders, i, i+1)
	}
}
