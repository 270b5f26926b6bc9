// Package description parses and validates the JSON document with which operators describe a
// site. Every error in a document ("fault") is reported with its path. A document with a fault
// is rejected as a whole.
package description

import "slices"

// MaxBytes is the maximum size of a document.
const MaxBytes = 1 << 20

// Member is a controller or router of the site.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Runner is a process that executes requests and holds models. It belongs to a pool.
type Runner struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	// Capacity is the total size of the items that the runner can hold, in the unit of Item.Size.
	Capacity int64 `json:"room"`
}

// Item is a model or, if Model is set, an adapter of that model.
type Item struct {
	Name  string `json:"name"`
	Model string `json:"model,omitempty"`
	Size  int64  `json:"size"`
	// Copies is the minimum number of runners that should hold the item, even without demand. The
	// default is 0.
	Copies int64 `json:"copies,omitempty"`
}

// Service is a kind of request that clients may send.
type Service struct {
	Name string `json:"name"`
	// Streaming is true if responses are streams.
	Streaming bool `json:"telling,omitempty"`
	// Idempotent is true if a request may be executed more than once.
	Idempotent bool `json:"repeatable,omitempty"`
	// Pools are the pools whose runners serve it, Models the models that requests may name.
	Pools  []string `json:"pools"`
	Models []string `json:"models,omitempty"`
	// DeadlineMs is the maximum time of a request with all its attempts. The default is 30,000.
	DeadlineMs int64 `json:"deadlineMs"`
	// MaxBytes is the maximum size of a request's body. The default is 64 KiB.
	MaxBytes int64 `json:"bytesMost"`
	// MaxQueued is the maximum number of requests that wait at a router. The default is 64.
	MaxQueued int64 `json:"holding"`
}

// Store is the weight store, from which runners load models.
type Store struct {
	// LoadsPer10s is the maximum number of loads in ten seconds.
	LoadsPer10s int64 `json:"loadsPer10s"`
}

// Description is one complete, valid document.
type Description struct {
	Site        string    `json:"site"`
	Controllers []Member  `json:"controllers"`
	Routers     []Member  `json:"routers"`
	Runners     []Runner  `json:"runners"`
	Models      []Item    `json:"models"`
	Adapters    []Item    `json:"adapters,omitempty"`
	Services    []Service `json:"services"`
	Store       Store     `json:"store"`
	// RetryAllowance is the number of retries that each service may have in any ten seconds, over
	// all routers, in addition to a fifth of its requests. The default is 10.
	RetryAllowance int64 `json:"secondGoes"`

	services map[string]int
	models   map[string]int
	adapters map[string]int
	runners  map[string]int
}

func (d *Description) index() {
	d.services, d.models, d.adapters, d.runners = map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	for i := range d.Services {
		d.services[d.Services[i].Name] = i
	}
	for i := range d.Models {
		d.models[d.Models[i].Name] = i
	}
	for i := range d.Adapters {
		d.adapters[d.Adapters[i].Name] = i
	}
	for i := range d.Runners {
		d.runners[d.Runners[i].Name] = i
	}
}

// Service finds a service by name.
func (d *Description) Service(name string) (*Service, bool) {
	i, ok := d.services[name]
	if !ok {
		return nil, false
	}
	return &d.Services[i], true
}

// Model finds a model by name.
func (d *Description) Model(name string) (*Item, bool) {
	i, ok := d.models[name]
	if !ok {
		return nil, false
	}
	return &d.Models[i], true
}

// Adapter finds an adapter by name.
func (d *Description) Adapter(name string) (*Item, bool) {
	i, ok := d.adapters[name]
	if !ok {
		return nil, false
	}
	return &d.Adapters[i], true
}

// Runner finds a runner by name.
func (d *Description) Runner(name string) (*Runner, bool) {
	i, ok := d.runners[name]
	if !ok {
		return nil, false
	}
	return &d.Runners[i], true
}

// Uses reports whether the service may use the pool.
func (s *Service) Uses(pool string) bool { return slices.Contains(s.Pools, pool) }

// Allows reports whether requests to the service may name the model.
func (s *Service) Allows(model string) bool { return slices.Contains(s.Models, model) }
