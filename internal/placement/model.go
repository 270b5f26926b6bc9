package placement

import (
	"math"

	"myrtlewinch/internal/config"
)

// Service is what the keeper knows of one service of the map, or of runners
// whose service the map does not name.
type Service struct {
	Name   string
	Engine *config.Engine
	// largestMb stands for models that no map ever named.
	largestMb, largestAdapterMb float64
	Models                      map[string]*Model
	// Configured lists the models of the map in its order.
	Configured []*Model
	// Plain stands for requests that need no model.
	Plain   *Model
	Runners []*Runner
}

// Model is a model of a service: who holds it, and who asks.
type Model struct {
	Service *Service
	Name    string
	Spec    config.Model
	// Configured says that the map names it.
	Configured bool
	Holders    []*Runner
	Demand     Meter
	Adapters   map[string]*AdapterDemand
	// AdapterHolders lists the holders of each adapter that any has.
	AdapterHolders map[string][]*Runner
	// subscribers lists the routers that asked lately, by adapter.
	subscribers map[string]*subscribers
	changed     bool
	// warmLoadMs is how long it takes from a runner's own disk, as learnt.
	warmLoadMs int64
	// PrefillMs is how long a runner takes to read 1,000 tokens of a prompt for it,
	// as routers told; prompts is how many tokens a prompt has, smoothed.
	PrefillMs, PromptTokens float64
	// PeakRate is the highest rate seen, forgotten slowly.
	PeakRate float64
	PeakMs   int64
	// Concurrency is how many requests run or wait for it, smoothed.
	Concurrency   float64
	ConcurrencyMs int64
	// QueueMs is what the planner expects before its load can begin; -1 is
	// that it can't tell.
	QueueMs int64
	// NeedMs is when the need was last worked out.
	NeedMs int64
	// What the planner works out each time.
	Copies, Coming, Wanted, AdapterCopies int
	// need is how many copies its load fills, in parts too.
	Share, Running, Rate, Need float64
}

// AdapterDemand is the demand for one adapter of a model.
type AdapterDemand struct {
	Name           string
	Demand         Meter
	Copies, Coming int
}

func NewService(name string) *Service {
	s := &Service{Name: name, Models: map[string]*Model{}}
	s.Plain = &Model{Service: s, QueueMs: -1}
	return s
}

// Model gives a model by name, also one that the map does not name: it may
// still take room on a runner.
func (s *Service) Model(name string) *Model {
	if m := s.Models[name]; m != nil {
		return m
	}
	m := &Model{Service: s, Name: name, QueueMs: -1}
	m.Spec = config.Model{Name: name, SizeMb: s.largestMb, AdapterSizeMb: s.largestAdapterMb}
	s.Models[name] = m
	return m
}

// SetEngine takes the engine of a new map. The sizes of models that it dropped are
// kept, since runners may still hold them.
func (s *Service) SetEngine(e *config.Engine) {
	s.Engine = e
	s.Configured = s.Configured[:0]
	for _, m := range s.Models {
		m.Configured = false
	}
	if e == nil {
		return
	}
	for i := range e.Models {
		s.largestMb = max(s.largestMb, e.Models[i].SizeMb)
		s.largestAdapterMb = max(s.largestAdapterMb, e.Models[i].AdapterSizeMb)
	}
	for i := range e.Models {
		m := s.Model(e.Models[i].Name)
		m.Spec, m.Configured = e.Models[i], true
		s.Configured = append(s.Configured, m)
	}
	for _, m := range s.Models {
		if m.Spec.SizeMb == 0 {
			m.Spec.SizeMb, m.Spec.AdapterSizeMb = s.largestMb, s.largestAdapterMb
		}
	}
}

// Adapter gives the demand of one of the model's adapters.
func (m *Model) Adapter(name string) *AdapterDemand {
	if m.Adapters == nil {
		m.Adapters = map[string]*AdapterDemand{}
	}
	a := m.Adapters[name]
	if a == nil {
		a = &AdapterDemand{Name: name}
		m.Adapters[name] = a
	}
	return a
}

const (
	// prefillRiseShare lets the cost of reading rise where it was once told too low.
	prefillRiseShare = 0.02
	promptSmoothing  = 0.05
)

// AddPrefill takes the mean prompt of some requests and what reading cost.
func (m *Model) AddPrefill(prompt, readMs float64, requests int) {
	m.addPrefillTime(readMs)
	if m.PromptTokens == 0 {
		m.PromptTokens = prompt
	}
	m.PromptTokens += (1 - math.Pow(1-promptSmoothing, float64(requests))) * (prompt - m.PromptTokens)
}

// addPrefillTime takes a router's word of what reading costs. The least counts,
// since all else that a runner does only adds to it; it rises slowly.
func (m *Model) addPrefillTime(ms float64) {
	switch {
	case ms <= 0:
	case m.PrefillMs == 0 || ms < m.PrefillMs:
		m.PrefillMs = ms
	default:
		m.PrefillMs += prefillRiseShare * (ms - m.PrefillMs)
	}
}

// WarmLoadMs is how long a load from the runner's own disk takes.
func (m *Model) WarmLoadMs() int64 {
	if m.warmLoadMs > 0 {
		return m.warmLoadMs
	}
	return max(200, m.Spec.LoadMs/4)
}
