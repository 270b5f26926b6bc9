package scalesim

import (
	"encoding/json"
	"fmt"
	"math"

	"myrtlewinch/internal/config"
)

// Figures of the service and its models. The models differ only in their adapters.
const (
	serviceName = "llm"
	host        = "site.example"
	slots       = 64
	cacheTokens = 135_000
	modelMb     = 70_000.0
	adapterMb   = 66.0
	weightMb    = 230_000.0
	maxAdapters = 8
	storeLoadMs = 1600
	loadsPerSec = 46.0
	// routeTimeoutMs is the timeout of a route, to which the version is added.
	routeTimeoutMs = 30_000
	// modelsPerRunner is how many models fit on a runner.
	modelsPerRunner = 3
	// promptTokens and outputTokens are the tokens of each request.
	promptTokens, outputTokens = 1460, 330
	requestTokens              = promptTokens + outputTokens
	// zipfExponent shapes the demand: the share of the n-th busiest model is
	// proportional to n to the power of -zipfExponent.
	zipfExponent = 1.3
	// adapterShareDivisor sets how many adapters each of the busiest models has: all
	// adapters divided by it.
	adapterShareDivisor = 25
)

// jsonFormat decodes configurations from plain JSON.
type jsonFormat struct{}

// Parse returns the configuration and all faults found in it.
func (jsonFormat) Parse(text []byte) (*config.Configuration, []string) {
	var m config.Configuration
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, []string{err.Error()}
	}
	m.BuildIndex()
	return &m, m.Faults()
}

// ApplyChange is not used in simulations.
func (jsonFormat) ApplyChange(_, change []byte) ([]byte, []string) { return change, nil }

func modelName(i int) string { return fmt.Sprintf("model-%04d", i) }

func pathPrefix(route int) string { return fmt.Sprintf("/route-%04d/", route) }

// adapterCount returns how many adapters a model has. Only the models with the lowest
// numbers, which are the busiest at the start, have any.
func (s Size) adapterCount(model int) int {
	most := max(1, s.Adapters/adapterShareDivisor)
	return max(0, min(most, s.Adapters-model*most))
}

// configText returns the configuration of a version, as an operator would write it.
// Versions differ in the timeouts of the routes.
func (s Size) configText(version uint64) string {
	engine := &config.Engine{
		Slots: slots, CacheTokens: cacheTokens, TokensPerEvent: 5, WeightMemoryMb: weightMb, MaxAdapters: maxAdapters, LoadsPerSec: loadsPerSec,
	}
	for i := range s.Models {
		engine.Models = append(engine.Models, config.Model{
			Name: modelName(i), SizeMb: modelMb, LoadMs: storeLoadMs, AdapterCount: s.adapterCount(i), AdapterSizeMb: adapterMb,
		})
	}
	service := config.Service{Name: serviceName, HealthPath: "/health", MaxConnections: 100_000, Engine: engine}
	m := config.Configuration{Version: version, Services: []config.Service{service}}
	for i := range s.Routes {
		m.Routes = append(m.Routes, config.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: host, PathPrefix: pathPrefix(i), Kind: config.Stream, Resumable: true, MaxAttempts: 2,
			TimeoutMs: routeTimeoutMs + int64(version), LatencyTargetMs: 760, MaxEventGapMs: 72, Priority: i % 3,
			Split: []config.WeightedService{{Service: serviceName, Weight: 1}},
		})
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic("scalesim: encoding a configuration failed: " + err.Error())
	}
	return string(text)
}

// demandShares returns the cumulative shares of the demand by rank of model: a few
// models get most of the requests.
func (s Size) demandShares() []float64 {
	out, sum := make([]float64, s.Models), 0.0
	for i := range out {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}
