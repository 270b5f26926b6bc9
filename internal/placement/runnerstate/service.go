package runnerstate

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/config"
)

// Service is what is known of one service of the configuration, or of runners
// whose service the configuration does not name.
type Service struct {
	Name string
	// Engine is that of the configuration in force, nil if the service has none or
	// it does not name the service.
	Engine *config.Engine
	Models map[string]*Model
	// Configured are the models of the configuration, in its order.
	Configured []*Model
	// Plain stands for requests that need no model.
	Plain *Model
	// Runners are sorted by id.
	Runners []*Runner
	// largestModelMb and largestAdapterMb are the sizes assumed for models that no
	// map ever named.
	largestModelMb, largestAdapterMb float64
}

// NewService makes a service without runners or models.
func NewService(name string) *Service {
	s := &Service{Name: name, Models: map[string]*Model{}}
	s.Plain = &Model{Service: s, Plan: ModelPlan{QueueMs: -1}}
	return s
}

// Model returns a model by name and creates it on first use: a model
// that the configuration does not name may still use memory on a runner.
func (s *Service) Model(name string) *Model {
	if m := s.Models[name]; m != nil {
		return m
	}
	m := &Model{Service: s, Name: name, Plan: ModelPlan{QueueMs: -1}}
	m.Spec = config.Model{Name: name, SizeMb: s.largestModelMb, AdapterSizeMb: s.largestAdapterMb}
	s.Models[name] = m
	return m
}

// SetEngine takes the engine of a new configuration. The sizes of models that it
// dropped are kept, since runners may still hold them.
func (s *Service) SetEngine(engine *config.Engine) {
	s.Engine = engine
	s.Configured = s.Configured[:0]
	for _, m := range s.Models {
		m.Configured = false
	}
	if engine == nil {
		return
	}
	for i := range engine.Models {
		s.largestModelMb = max(s.largestModelMb, engine.Models[i].SizeMb)
		s.largestAdapterMb = max(s.largestAdapterMb, engine.Models[i].AdapterSizeMb)
	}
	for i := range engine.Models {
		m := s.Model(engine.Models[i].Name)
		m.Spec, m.Configured = engine.Models[i], true
		s.Configured = append(s.Configured, m)
	}
	for _, m := range s.Models {
		if m.Spec.SizeMb == 0 {
			m.Spec.SizeMb, m.Spec.AdapterSizeMb = s.largestModelMb, s.largestAdapterMb
		}
	}
}

// AddRunner and RemoveRunner keep Runners.
func (s *Service) AddRunner(r *Runner) { s.Runners = InsertSorted(s.Runners, r) }

// RemoveRunner takes a runner off the service.
func (s *Service) RemoveRunner(r *Runner) { s.Runners = Remove(s.Runners, r) }

// ByID compares runners by id.
func ByID(a, b *Runner) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) }

// InsertSorted adds a runner to a list that is sorted by id.
func InsertSorted(runners []*Runner, r *Runner) []*Runner {
	at, _ := slices.BinarySearchFunc(runners, r, ByID)
	return slices.Insert(runners, at, r)
}

// Remove takes a runner off a list.
func Remove(runners []*Runner, r *Runner) []*Runner {
	return slices.DeleteFunc(runners, func(other *Runner) bool { return other == r })
}
