package faultsim

import (
	"fmt"
	"strconv"
	"strings"

	"myrtlewinch/internal/config"
)

// The services of the simulated site. Runners of modelService hold models; the other two are plain
// HTTP services.
const (
	plainService = "plain"
	otherService = "other"
	modelService = "llm"
)

// services lists all services.
var services = []string{plainService, otherService, modelService}

// requestHost is the host name of all routes and requests.
const requestHost = "faultsim.example"

// The models and adapters, and the capacity of a runner.
const (
	modelCount = 8
	// modelWithAdapters is the number of the only model that has adapters.
	modelWithAdapters = 0
	adapterCount      = 6
	adapterSizeMb     = 2.0
	modelSizeMb       = 30.0
	largeModelSizeMb  = 40.0
	capacityMb        = 100.0
	adapterCapacity   = 4
	runnerSlots       = 8
	runnerCacheTokens = 50_000
	// loadMs is how long a load from the weight store takes. reloadMs is how long a load from the
	// runner's disk takes.
	loadMs   = 1500
	reloadMs = 300
	// loadsPerSec is how many loads per second the weight store can serve.
	loadsPerSec = 2.0
)

// The limits of routes.
const (
	routeTimeoutMs   = 3000
	streamDurationMs = 6000
	latencyTargetMs  = 400
	maxEventGapMs    = 300
)

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

// modelMb returns the size of a model. Every third model is larger.
func modelMb(name string) float64 {
	if i, err := strconv.Atoi(name[1:]); err == nil && i%3 == 2 {
		return largeModelSizeMb
	}
	return modelSizeMb
}

// versionRouteName returns the name of the route that shows which version of the configuration was
// used for a request.
func versionRouteName(version uint64) string { return fmt.Sprintf("mark@%d", version) }

// versionRoutes returns the routes that distinguish versions of the configuration. The first has
// the same path in all versions and goes to one of two services, depending on whether the version
// is odd. The second exists in this version only.
func versionRoutes(version uint64) []config.Route {
	service := plainService
	if version%2 == 1 {
		service = otherService
	}
	mark := config.Route{
		Name: versionRouteName(version), Host: requestHost, PathPrefix: "/mark/", Kind: config.Safe,
		TimeoutMs: routeTimeoutMs, LatencyTargetMs: latencyTargetMs, Priority: 1,
		Split: []config.WeightedService{{Service: service, Weight: 1}}, MaxAttempts: 2,
	}
	only := mark
	only.Name, only.PathPrefix = fmt.Sprintf("only@%d", version), fmt.Sprintf("/only-%d/", version)
	return []config.Route{mark, only}
}

// routeVersion returns the version in the name of a route, or 0 if the name has none.
func routeVersion(route string) uint64 {
	_, text, _ := strings.Cut(route, "@")
	version, _ := strconv.ParseUint(text, 10, 64)
	return version
}

// storeLoadsPerSec returns the load rate that the check of the CEILING rule allows.
func (sim *Simulation) storeLoadsPerSec() float64 {
	if sim.Bugs.OverstateStoreRate {
		return loadsPerSec / 20
	}
	return loadsPerSec
}

// newConfig returns a complete configuration with the given version.
func (sim *Simulation) newConfig(version uint64) config.Configuration {
	routes := append(commonRoutes(), versionRoutes(version)...)
	return config.Configuration{
		Version: version, Routes: routes,
		Services: []config.Service{
			{Name: plainService, MaxConnections: 90},
			{Name: otherService, MaxConnections: 90},
			{Name: modelService, MaxConnections: 60, Engine: sim.newEngine()},
		},
	}
}

// newEngine returns the models of the model service and the capacity of its runners.
func (sim *Simulation) newEngine() *config.Engine {
	engine := &config.Engine{
		Slots: runnerSlots, CacheTokens: runnerCacheTokens, TokensPerEvent: 1, WeightMemoryMb: capacityMb, MaxAdapters: adapterCapacity,
		LoadsPerSec: loadsPerSec,
	}
	if sim.Bugs.OverstateCapacity {
		engine.WeightMemoryMb = 2 * capacityMb
	}
	for i := range modelCount {
		model := config.Model{Name: modelName(i), SizeMb: modelMb(modelName(i)), LoadMs: loadMs, AdapterSizeMb: adapterSizeMb}
		if i == modelWithAdapters {
			model.AdapterCount = adapterCount
		}
		engine.Models = append(engine.Models, model)
	}
	return engine
}

// commonRoutes returns the routes that all versions have.
func commonRoutes() []config.Route {
	safe := newRoute("safe", plainService, config.Safe, 1)
	unsafe := newRoute("unsafe", plainService, config.Unsafe, 0)
	resumable := newRoute("resume", modelService, config.Stream, 1)
	resumable.Resumable, resumable.PrefixCacheAffinity, resumable.MaxAttempts = true, true, 3
	resumable.TimeoutMs = streamDurationMs
	once := newRoute("once", modelService, config.Stream, 2)
	once.TimeoutMs = streamDurationMs
	return []config.Route{safe, unsafe, resumable, once}
}

func newRoute(name, service string, kind config.RequestKind, priority int) config.Route {
	return config.Route{
		Name: name, Host: requestHost, PathPrefix: "/" + name + "/", Kind: kind,
		TimeoutMs: routeTimeoutMs, LatencyTargetMs: latencyTargetMs, Priority: priority,
		Split: []config.WeightedService{{Service: service, Weight: 1}}, MaxAttempts: 2, MaxEventGapMs: maxEventGapMs,
	}
}

// newChange returns a change that replaces the versionRoutes of one version with the versionRoutes
// of another.
func newChange(from, version uint64) configChange {
	change := configChange{Version: version, Put: versionRoutes(version)}
	for _, route := range versionRoutes(from) {
		change.Remove = append(change.Remove, route.Name)
	}
	return change
}
