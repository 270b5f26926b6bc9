// Package config is the model of the configuration that operators submit: which
// requests there are (by host and path), which services may serve them, and which
// models the runners of a service can hold. The text form that operators write is
// parsed elsewhere; see controller.ConfigFormat.
//
// The JSON tags are earlier names of the fields. They are kept for the simulators: only
// these write configurations as JSON, and their results depend on the size of the text.
package config

import "strings"

// RequestKind defines whether the requests of a route may be executed repeatedly.
type RequestKind int

// The kinds of requests.
const (
	// Unsafe requests are executed at most once for each request of a client.
	Unsafe RequestKind = iota
	// Safe requests may be executed more than once.
	Safe
	// Stream requests are answered with a stream of events. They may be retried only
	// on a resumable route, from the last event that was forwarded.
	Stream
)

// Configuration is one complete configuration. Its version is above that of its
// predecessor.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	// routesByHost has the indexes into Routes by host, in lower case;
	// serviceByName has the indexes into Services. BuildIndex sets them.
	routesByHost  map[string][]int
	serviceByName map[string]int
}

// Route defines how the requests for a host and a path prefix are served.
type Route struct {
	Name, Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"Prefix"`
	Kind       RequestKind
	// TimeoutMs is how long a request may take in ms. After this time it is
	// rejected or its attempt is cancelled.
	TimeoutMs int64 `json:"GiveUpMs"`
	// LatencyTargetMs is the time within which a response should be complete.
	// For a stream it is the time to the first event.
	LatencyTargetMs int64 `json:"AimMs"`
	// Priority is 0 for the highest; larger numbers are lower.
	Priority int
	// Split distributes the requests over services by weight.
	Split []WeightedService
	// MaxAttempts is the maximum number of runners that one request may be sent
	// to. It is at least 1.
	MaxAttempts int `json:"Tries"`
	// PrefixCacheAffinity is true if prompts share parts, so that a request is
	// served faster by a runner that has them in its prefix cache.
	PrefixCacheAffinity bool `json:"Sticky"`
	// Resumable is true if a stream may be resumed at another runner.
	Resumable bool `json:"Resume"`
	// MaxEventGapMs is the longest acceptable pause between two events of a
	// stream, or 0 if the operator sets none.
	MaxEventGapMs int64 `json:"GapMs"`
}

// WeightedService is a service with its weight in the split of a route.
type WeightedService struct {
	Service string
	Weight  int64
}

// Service is a set of runners that can serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the runners' health check.
	HealthPath string `json:"SoundnessPath"`
	// MaxConnections is how many connections a runner accepts from all
	// processes together. 0 means no limit.
	MaxConnections int `json:"MostStreams"`
	// Engine describes the runners. It is nil if they hold no models.
	Engine *Engine
}

// Engine describes the capacity of each runner of a service.
type Engine struct {
	// Slots is how many requests a runner executes at the same time.
	Slots int
	// CacheTokens is the size, in tokens, of the memory that running requests and
	// the prefix cache share.
	CacheTokens int64
	// TokensPerEvent is how many tokens one event of a stream carries. It is
	// at least 1.
	TokensPerEvent int `json:"Stride"`
	// Models are the models that a runner may hold.
	Models []Model
	// WeightMemoryMb is the memory for the weights of models and adapters
	// together.
	WeightMemoryMb float64 `json:"RoomMb"`
	// MaxAdapters is how many adapters a runner may hold.
	MaxAdapters int `json:"AdapterRoom"`
	// LoadsPerSec is how many loads a second the weight store sustains, over
	// all runners together.
	LoadsPerSec float64

	// modelByName has the indexes into Models. BuildIndex sets it.
	modelByName map[string]int
}

// Model is a model that runners may hold. Its adapters are named a1, a2 and so on.
type Model struct {
	Name   string
	SizeMb float64 `json:"Mb"`
	// LoadMs is how long a load from the weight store takes.
	LoadMs int64
	// AdapterCount is how many adapters there are for the model.
	AdapterCount  int     `json:"Adapters"`
	AdapterSizeMb float64 `json:"AdapterMb"`
}

// Limits bound what a client may send. If one is 0 the router's own limit applies.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound one request.
	MaxHeaderBytes int64 `json:"HeaderBytes"`
	MaxBodyBytes   int64 `json:"BodyBytes"`
	// HeaderTimeoutMs is how long the header of a request may take to arrive.
	HeaderTimeoutMs int64 `json:"HeaderWaitMs"`
	// IdleTimeoutMs is how long a connection may be without a request.
	IdleTimeoutMs int64 `json:"IdleMs"`
}

// Retryable reports whether a request of the route may be executed more than once.
func (r *Route) Retryable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// BuildIndex prepares the look-ups by name. It must be called once, after the
// fields are set and before any of the Find methods.
func (c *Configuration) BuildIndex() {
	c.routesByHost = map[string][]int{}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		c.routesByHost[host] = append(c.routesByHost[host], i)
	}
	c.serviceByName = map[string]int{}
	for i := range c.Services {
		c.serviceByName[c.Services[i].Name] = i
		if engine := c.Services[i].Engine; engine != nil {
			engine.buildIndex()
		}
	}
}

func (e *Engine) buildIndex() {
	e.modelByName = map[string]int{}
	for i := range e.Models {
		e.modelByName[e.Models[i].Name] = i
	}
}

// FindRoute returns the route of a request: among the routes of the host, the one
// with the longest prefix of the path.
func (c *Configuration) FindRoute(host, path string) (*Route, bool) {
	best := -1
	for _, i := range c.routesByHost[strings.ToLower(host)] {
		prefix := c.Routes[i].PathPrefix
		isLonger := best < 0 || len(prefix) > len(c.Routes[best].PathPrefix)
		if isLonger && strings.HasPrefix(path, prefix) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return &c.Routes[best], true
}

// FindService returns the service with the given name.
func (c *Configuration) FindService(name string) (*Service, bool) {
	i, ok := c.serviceByName[name]
	if !ok {
		return nil, false
	}
	return &c.Services[i], true
}

// FindModel returns the model with the given name.
func (e *Engine) FindModel(name string) (*Model, bool) {
	i, ok := e.modelByName[name]
	if !ok {
		return nil, false
	}
	return &e.Models[i], true
}
