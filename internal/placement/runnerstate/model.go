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
	// prefillRiseShare is the fraction of the difference that is added to the prefill time when
	// a longer time is reported. If the reported time was once too short, the prefill time
	// therefore recovers over time.
	prefillRiseShare = 0.02
	// minWarmLoadMs and warmLoadDivisor determine the assumed time of a load from a runner's
	// own disk until one was measured.
	minWarmLoadMs   = 200
	warmLoadDivisor = 4
	// warmLoadSmoothing is the number of loads over which the measured time of a load from disk
	// is smoothed.
	warmLoadSmoothing = 4
)

// Model is a model of a service: which runners hold it and how often it is requested.
type Model struct {
	Service *Service
	// Name is empty for the placeholder of a service without models.
	Name string
	Spec config.Model
	// Configured is true if the configuration names the model. Other models exist while a
	// runner holds them.
	Configured bool
	// Holders are the runners that hold the model, in the order in which they were first known
	// to hold it.
	Holders []*Runner
	// AdapterHolders are the holders of each adapter that any runner holds.
	AdapterHolders map[string][]*Runner
	Demand         demand.Meter
	// Adapters holds the demand for each adapter that was requested.
	Adapters map[string]*Adapter
	// PrefillMs is how long a runner takes for the prefill of 1,000 tokens, as routers report,
	// 0 if unknown. PromptTokens is the smoothed prompt length.
	PrefillMs, PromptTokens float64
	// warmLoadMs is the smoothed time of a load from a runner's own disk, 0 until one was
	// measured.
	warmLoadMs int64
	// Plan is written by the planner.
	Plan ModelPlan
}

// ModelPlan holds the figures that the planner computes for a model. The status page and the
// wait estimates read them.
type ModelPlan struct {
	// Copies is how many usable runners hold the model, Pending how many are loading it or have
	// memory reserved for it, and Target how many should hold it.
	Copies, Pending, Target int
	// AdapterCopies is how many copies of the model are needed to hold all adapters in use.
	AdapterCopies int
	// Rate is the estimated rate of requests per second.
	Rate float64
	// DemandCopies is the number of copies, as a fraction, that the demand requires. It
	// decreases slowly. DemandCopiesMs is when it was computed.
	DemandCopies   float64
	DemandCopiesMs int64
	// WorkWeight is the weight with which a runner's running requests are divided among the
	// models that it holds. Running is the sum of the model's shares over all runners.
	WorkWeight, Running float64
	// Concurrency is the smoothed value of Running; ConcurrencyMs is when it was updated.
	Concurrency   float64
	ConcurrencyMs int64
	// PeakRate is the highest slow rate, which decays slowly. PeakMs is when it was updated.
	PeakRate float64
	PeakMs   int64
	// QueueMs is the expected time until the model's load can begin. It is -1 if unknown.
	QueueMs int64
}

// Adapter is the demand for one adapter of a model. Copies and Pending are written by the
// planner and mean the same as in ModelPlan.
type Adapter struct {
	Name            string
	Demand          demand.Meter
	Copies, Pending int
}

// Adapter returns the demand for one of the model's adapters and creates it on first use.
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

// HasAdapter reports whether the model has an adapter with that name. Adapters are named a1, a2
// and so on up to the number in the configuration.
func (m *Model) HasAdapter(name string) bool {
	number, found := strings.CutPrefix(name, "a")
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= m.Spec.AdapterCount && number[0] != '+' && number[0] != '0'
}

// AddPrompts adds the mean prompt length of some requests, and the time in ms that the prefill
// of 1,000 tokens took. The time is 0 if it is unknown.
func (m *Model) AddPrompts(meanTokens, prefillMs float64, requests int) {
	m.addPrefillTime(prefillMs)
	if m.PromptTokens == 0 {
		m.PromptTokens = meanTokens
	}
	m.PromptTokens += (1 - math.Pow(1-promptSmoothing, float64(requests))) * (meanTokens - m.PromptTokens)
}

// addPrefillTime keeps the shortest time, because other work on the runner can only lengthen a
// prefill.
func (m *Model) addPrefillTime(ms float64) {
	switch {
	case ms <= 0:
	case m.PrefillMs == 0 || ms < m.PrefillMs:
		m.PrefillMs = ms
	default:
		m.PrefillMs += prefillRiseShare * (ms - m.PrefillMs)
	}
}

// WarmLoadMs returns how long a load from a runner's own disk takes.
func (m *Model) WarmLoadMs() int64 {
	if m.warmLoadMs > 0 {
		return m.warmLoadMs
	}
	return max(minWarmLoadMs, m.Spec.LoadMs/warmLoadDivisor)
}

// AddWarmLoad adds the measured time of a load from a runner's own disk. Implausible times are
// ignored: those that are not positive or exceed twice the load time from the store.
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

// addAdapterHolder and removeAdapterHolder maintain AdapterHolders.
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
