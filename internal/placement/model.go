package placement

import (
	"math"

	"myrtlewinch/internal/config"
)

// service is what the keeper knows of one service of the map, or of runners
// whose service the map does not name.
type service struct {
	name   string
	engine *config.Engine
	// largestMb stands for models that no map ever named.
	largestMb, largestAdapterMb float64
	models                      map[string]*model
	// names lists the models of the map in its order.
	names []*model
	// plain stands for requests that need no model.
	plain   *model
	runners []*runner
}

// model is a model of a service: who holds it, and who asks.
type model struct {
	service *service
	name    string
	spec    config.Model
	// mapped says that the map names it.
	mapped   bool
	holders  []*runner
	want     demand
	adapters map[string]*adapter
	// with lists the holders of each adapter that any has.
	with map[string][]*runner
	// asks lists the routers that asked lately, by adapter.
	asks  map[string]*asked
	dirty bool
	// warmMs is how long it takes from a runner's own disk, as learnt.
	warmMs int64
	// readMs is how long a runner takes to read 1,000 tokens of a prompt for it,
	// as routers told; prompts is how many tokens a prompt has, smoothed.
	readMs, prompts float64
	// peak is the highest rate seen, forgotten slowly.
	peak   float64
	peakMs int64
	// atOnce is how many requests run or wait for it, smoothed.
	atOnce   float64
	atOnceMs int64
	// queueMs is what the planner expects before its load can begin; -1 is
	// that it can't tell.
	queueMs int64
	// needMs is when the need was last worked out.
	needMs int64
	// What the planner works out each time.
	copies, coming, wanted, adapterCopies int
	// need is how many copies its load fills, in parts too.
	share, running, rate, need float64
}

// adapter is the demand for one adapter of a model.
type adapter struct {
	name           string
	want           demand
	copies, coming int
}

func newService(name string) *service {
	s := &service{name: name, models: map[string]*model{}}
	s.plain = &model{service: s, queueMs: -1}
	return s
}

// model gives a model by name, also one that the map does not name: it may
// still take room on a runner.
func (s *service) model(name string) *model {
	if m := s.models[name]; m != nil {
		return m
	}
	m := &model{service: s, name: name, queueMs: -1}
	m.spec = config.Model{Name: name, Mb: s.largestMb, AdapterMb: s.largestAdapterMb}
	s.models[name] = m
	return m
}

// set takes the engine of a new map. The sizes of models that it dropped are
// kept, since runners may still hold them.
func (s *service) set(e *config.Engine) {
	s.engine = e
	s.names = s.names[:0]
	for _, m := range s.models {
		m.mapped = false
	}
	if e == nil {
		return
	}
	for i := range e.Models {
		s.largestMb = max(s.largestMb, e.Models[i].Mb)
		s.largestAdapterMb = max(s.largestAdapterMb, e.Models[i].AdapterMb)
	}
	for i := range e.Models {
		m := s.model(e.Models[i].Name)
		m.spec, m.mapped = e.Models[i], true
		s.names = append(s.names, m)
	}
	for _, m := range s.models {
		if m.spec.Mb == 0 {
			m.spec.Mb, m.spec.AdapterMb = s.largestMb, s.largestAdapterMb
		}
	}
}

// adapter gives the demand of one of the model's adapters.
func (m *model) adapter(name string) *adapter {
	if m.adapters == nil {
		m.adapters = map[string]*adapter{}
	}
	a := m.adapters[name]
	if a == nil {
		a = &adapter{name: name}
		m.adapters[name] = a
	}
	return a
}

const (
	// readDrift lets the cost of reading rise where it was once told too low.
	readDrift   = 0.02
	promptShare = 0.05
)

// reading takes the mean prompt of some requests and what reading cost.
func (m *model) reading(prompt, readMs float64, requests int) {
	m.readCost(readMs)
	if m.prompts == 0 {
		m.prompts = prompt
	}
	m.prompts += (1 - math.Pow(1-promptShare, float64(requests))) * (prompt - m.prompts)
}

// readCost takes a router's word of what reading costs. The least counts,
// since all else that a runner does only adds to it; it rises slowly.
func (m *model) readCost(ms float64) {
	switch {
	case ms <= 0:
	case m.readMs == 0 || ms < m.readMs:
		m.readMs = ms
	default:
		m.readMs += readDrift * (ms - m.readMs)
	}
}

// warm is how long a load from the runner's own disk takes.
func (m *model) warm() int64 {
	if m.warmMs > 0 {
		return m.warmMs
	}
	return max(200, m.spec.LoadMs/4)
}
