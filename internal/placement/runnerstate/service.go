package runnerstate

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/config"
)

// Service is the state of one service. Runners may belong to a service that the configuration
// does not name.
type Service struct {
	Name string
	// Engine is the engine in the active configuration. It is nil if the service has none or
	// the configuration does not name the service.
	Engine *config.Engine
	Models map[string]*Model
	// Configured are the models of the configuration, in its order.
	Configured []*Model
	// Placeholder is used in place of a model for requests that need no model.
	Placeholder *Model
	// Runners are sorted by id.
	Runners []*Runner
	// largestModelMb and largestAdapterMb are the sizes assumed for models that no
	// configuration ever named.
	largestModelMb, largestAdapterMb float64
}

// NewService returns a service without runners or models.
func NewService(name string) *Service {
	s := &Service{Name: name, Models: map[string]*Model{}}
	s.Placeholder = &Model{Service: s, Plan: ModelPlan{QueueMs: -1}}
	return s
}

// Model returns a model by name and creates it on first use: a model that the configuration
// does not name may still use memory on a runner.
func (s *Service) Model(name string) *Model {
	if m := s.Models[name]; m != nil {
		return m
	}
	m := &Model{Service: s, Name: name, Plan: ModelPlan{QueueMs: -1}}
	m.Spec = config.Model{Name: name, SizeMb: s.largestModelMb, AdapterSizeMb: s.largestAdapterMb}
	s.Models[name] = m
	return m
}

// SetEngine applies the engine of a new configuration. The sizes of models that were removed
// from it are kept, because runners may still hold them.
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

// AddRunner adds a runner to the service.
func (s *Service) AddRunner(r *Runner) { s.Runners = InsertSorted(s.Runners, r) }

// RemoveRunner removes a runner from the service.
func (s *Service) RemoveRunner(r *Runner) { s.Runners = Remove(s.Runners, r) }

// ByID compares runners by id.
func ByID(a, b *Runner) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) }

// InsertSorted adds a runner to a list that is sorted by id.
func InsertSorted(runners []*Runner, r *Runner) []*Runner {
	at, _ := slices.BinarySearchFunc(runners, r, ByID)
	return slices.Insert(runners, at, r)
}

// Remove removes a runner from a list.
func Remove(runners []*Runner, r *Runner) []*Runner {
	return slices.DeleteFunc(runners, func(other *Runner) bool { return other == r })
}
