// Package config is the service map that operators write: which requests
// there are, by host and path, which services they may go to, and what the
// runners of a service can hold. Its words are the product's; how an operator
// writes one is the door's business.
package config

import "strings"

// RequestKind says what may be repeated of a route's requests.
type RequestKind int

// The kinds.
const (
	// Unsafe requests run at most once for each request of a client.
	Unsafe RequestKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered piece by piece. They may be repeated only
	// where the route may resume, going on after the last piece passed on.
	Stream
)

// Configuration is one whole service map.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts    map[string][]int
	services map[string]int
}

// Route is what a host and a path prefix lead to.
type Route struct {
	Name, Host string
	PathPrefix string `json:"Prefix"`
	Kind       RequestKind
	// TimeoutMs is the longest the operator wants a request held.
	TimeoutMs int64 `json:"GiveUpMs"`
	// LatencyTargetMs is the time within which an answer earns its full worth; for
	// streams it counts to the first piece.
	LatencyTargetMs int64 `json:"AimMs"`
	// Priority is the rank; nought is the highest.
	Priority int
	Split    []WeightedService
	// MaxAttempts is the greatest number of runners one request may be sent to.
	MaxAttempts int `json:"Tries"`
	// PrefixCacheAffinity says that prompts share parts that runners keep.
	PrefixCacheAffinity bool `json:"Sticky"`
	Resumable           bool `json:"Resume"`
	// MaxEventGapMs is the longest pause between pieces that is still in time.
	MaxEventGapMs int64 `json:"GapMs"`
}

// WeightedService is the part of a route's requests that goes to a service.
type WeightedService struct {
	Service string
	Weight  int64
}

// Service is a set of runners that answer alike.
type Service struct {
	Name       string
	HealthPath string `json:"SoundnessPath"`
	// MaxConnections is how many connections a runner takes from all daemons.
	MaxConnections int `json:"MostStreams"`
	// Engine says what its runners can hold; nil where they hold no models.
	Engine *Engine
}

// Engine is what each runner of a service can do.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the memory for tokens that running requests and kept
	// prompts share.
	CacheTokens int64
	// TokensPerEvent is how many tokens one piece of a stream carries.
	TokensPerEvent int `json:"Stride"`
	Models         []Model
	// WeightMemoryMb holds models and adapters together.
	WeightMemoryMb float64 `json:"RoomMb"`
	// MaxAdapters is how many adapters a runner takes.
	MaxAdapters int `json:"AdapterRoom"`
	// LoadsPerSec is the pace of the weight store over all runners.
	LoadsPerSec float64

	models map[string]int
}

// Model is what a runner may hold; its adapters are named a1, a2 and onward.
type Model struct {
	Name          string
	SizeMb        float64 `json:"Mb"`
	LoadMs        int64
	AdapterCount  int     `json:"Adapters"`
	AdapterSizeMb float64 `json:"AdapterMb"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int64 `json:"HeaderBytes"`
	MaxBodyBytes    int64 `json:"BodyBytes"`
	HeaderTimeoutMs int64 `json:"HeaderWaitMs"`
	IdleTimeoutMs   int64 `json:"IdleMs"`
}

// Retryable says whether a request of the route may run more than once.
func (r *Route) Retryable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// BuildIndex makes a read map ready to be asked. It must be called once after the
// fields are set.
func (m *Configuration) BuildIndex() {
	m.hosts, m.services = map[string][]int{}, map[string]int{}
	for i := range m.Routes {
		host := strings.ToLower(m.Routes[i].Host)
		m.hosts[host] = append(m.hosts[host], i)
	}
	for i := range m.Services {
		m.services[m.Services[i].Name] = i
		if e := m.Services[i].Engine; e != nil {
			e.models = map[string]int{}
			for j := range e.Models {
				e.models[e.Models[j].Name] = j
			}
		}
	}
}

// FindRoute finds the route of a request: of the host's routes the longest prefix
// that begins the path.
func (m *Configuration) FindRoute(host, path string) (*Route, bool) {
	best := -1
	for _, i := range m.hosts[strings.ToLower(host)] {
		prefix := m.Routes[i].PathPrefix
		if strings.HasPrefix(path, prefix) && (best < 0 || len(prefix) > len(m.Routes[best].PathPrefix)) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return &m.Routes[best], true
}

// FindService finds a service by name.
func (m *Configuration) FindService(name string) (*Service, bool) {
	i, ok := m.services[name]
	if !ok {
		return nil, false
	}
	return &m.Services[i], true
}

// FindModel finds a model that the engine's runners may hold.
func (e *Engine) FindModel(name string) (*Model, bool) {
	i, ok := e.models[name]
	if !ok {
		return nil, false
	}
	return &e.Models[i], true
}
