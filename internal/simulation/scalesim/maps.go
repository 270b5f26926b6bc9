package scalesim

import (
	"encoding/json"
	"fmt"
	"math"

	"myrtlewinch/internal/config"
)

const (
	service     = "llm"
	host        = "site.example"
	slots       = 64
	cacheTokens = 135_000
	modelMb     = 70_000.0
	adapterMb   = 66.0
	roomMb      = 230_000.0
	adapterRoom = 8
	loadMs      = 1600
	loadsPerSec = 46.0
	// perRunner is how many models fit on a runner.
	perRunner = 3
	// promptTokens and outTokens are those of a usual request.
	promptTokens, outTokens = 1460, 330
	requestTokens           = promptTokens + outTokens
)

// format is plain JSON.
type format struct{}

// Parse gives the map, or every fault found.
func (format) Parse(text []byte) (*config.Configuration, []string) {
	var m config.Configuration
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, []string{err.Error()}
	}
	m.BuildIndex()
	return &m, m.Faults()
}

// ApplyChange is not used here.
func (format) ApplyChange(_, change []byte) ([]byte, []string) { return change, nil }

func modelName(i int) string { return fmt.Sprintf("model-%04d", i) }

func routeName(i int) string { return fmt.Sprintf("/route-%04d/", i) }

// adaptersOf spreads the adapters: the busiest models have most of them.
func (s Size) adaptersOf(model int) int {
	most := max(1, s.Adapters/25)
	return max(0, min(most, s.Adapters-model*most))
}

// text is the service map of a version, as an operator would write it.
func (s Size) text(version uint64) string {
	engine := &config.Engine{
		Slots: slots, CacheTokens: cacheTokens, TokensPerEvent: 5, WeightMemoryMb: roomMb, MaxAdapters: adapterRoom, LoadsPerSec: loadsPerSec,
	}
	for i := range s.Models {
		engine.Models = append(engine.Models, config.Model{
			Name: modelName(i), SizeMb: modelMb, LoadMs: loadMs, AdapterCount: s.adaptersOf(i), AdapterSizeMb: adapterMb,
		})
	}
	m := config.Configuration{Version: version, Services: []config.Service{{Name: service, HealthPath: "/health", MaxConnections: 100_000, Engine: engine}}}
	for i := range s.Routes {
		m.Routes = append(m.Routes, config.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: host, PathPrefix: routeName(i), Kind: config.Stream, Resumable: true, MaxAttempts: 2,
			// What a change is about: the time-out of one route.
			TimeoutMs: 30_000 + int64(version), LatencyTargetMs: 760, MaxEventGapMs: 72, Priority: i % 3, Split: []config.WeightedService{{Service: service, Weight: 1}},
		})
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic("hollow: a map can't be written: " + err.Error())
	}
	return string(text)
}

// shares gives how much of the requests the models get by rank, summed up: a
// few get most, the many little.
func (s Size) shares() []float64 {
	out, sum := make([]float64, s.Models), 0.0
	for i := range out {
		sum += 1 / math.Pow(float64(i+1), 1.3)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}
