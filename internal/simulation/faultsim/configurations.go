package faultsim

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"myrtlewinch/internal/config"
)

// The services of a drill: one whose runners hold models, and two plain ones.
const (
	plainService = "plain"
	otherService = "other"
	modelService = "llm"
	requestHost  = "drill.example"
)

const (
	modelCount      = 8
	adapterCount    = 6
	loadMs          = 1500
	reloadMs        = 300
	capacityMb      = 100.0
	adapterCapacity = 4
	loadsPerSec     = 2.0
	slots           = 8
	cacheTokens     = 50_000
)

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

// modelMb is the size of a model; every third one is larger.
func modelMb(name string) float64 {
	if i, err := strconv.Atoi(name[1:]); err == nil && i%3 == 2 {
		return 40
	}
	return 30
}

const adapterMb = 2.0

// versionRoutes are the routes that tell one version from another: the first goes to
// another service with each version, the second stands in this one only.
func versionRoutes(version uint64) []config.Route {
	to := plainService
	if version%2 == 1 {
		to = otherService
	}
	mark := config.Route{
		Name: fmt.Sprintf("mark@%d", version), Host: requestHost, PathPrefix: "/mark/", Kind: config.Safe, TimeoutMs: 3000, LatencyTargetMs: 400, Priority: 1,
		Split: []config.WeightedService{{Service: to, Weight: 1}}, MaxAttempts: 2,
	}
	only := mark
	only.Name, only.PathPrefix = fmt.Sprintf("only@%d", version), fmt.Sprintf("/only-%d/", version)
	return []config.Route{mark, only}
}

// versionOf reads the version off a mark's name; nought where it is none.
func versionOf(route string) uint64 {
	_, text, _ := strings.Cut(route, "@")
	version, _ := strconv.ParseUint(text, 10, 64)
	return version
}

// storeLoadsPerSec is what the store of weights bears.
func (sim *Simulation) storeLoadsPerSec() float64 {
	if sim.Bugs.OverstateStoreRate {
		return loadsPerSec / 20
	}
	return loadsPerSec
}

// newConfig is the whole map of a version.
func (sim *Simulation) newConfig(version uint64) config.Configuration {
	engine := &config.Engine{
		Slots: slots, CacheTokens: cacheTokens, TokensPerEvent: 1, WeightMemoryMb: capacityMb, MaxAdapters: adapterCapacity, LoadsPerSec: loadsPerSec,
	}
	if sim.Bugs.OverstateCapacity {
		engine.WeightMemoryMb = 2 * capacityMb
	}
	for i := range modelCount {
		m := config.Model{Name: modelName(i), SizeMb: modelMb(modelName(i)), LoadMs: loadMs, AdapterSizeMb: adapterMb}
		if i == 0 {
			m.AdapterCount = adapterCount
		}
		engine.Models = append(engine.Models, m)
	}
	route := func(name, service string, kind config.RequestKind, priority int) config.Route {
		return config.Route{
			Name: name, Host: requestHost, PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 3000, LatencyTargetMs: 400, Priority: priority,
			Split: []config.WeightedService{{Service: service, Weight: 1}}, MaxAttempts: 2, MaxEventGapMs: 300,
		}
	}
	resumable, once := route("resume", modelService, config.Stream, 1), route("once", modelService, config.Stream, 2)
	resumable.Resumable, resumable.PrefixCacheAffinity, resumable.MaxAttempts = true, true, 3
	resumable.TimeoutMs, once.TimeoutMs = 6000, 6000
	m := config.Configuration{
		Version: version,
		Routes: append([]config.Route{
			route("safe", plainService, config.Safe, 1), route("unsafe", plainService, config.Unsafe, 0), resumable, once,
		}, versionRoutes(version)...),
		Services: []config.Service{{Name: plainService, MaxConnections: 90}, {Name: otherService, MaxConnections: 90}, {Name: modelService, MaxConnections: 60, Engine: engine}},
	}
	return m
}

// newChange changes the marks of one version into those of another.
func newChange(from, version uint64) []byte {
	c := configChange{Version: version, Put: versionRoutes(version)}
	for _, r := range versionRoutes(from) {
		c.Remove = append(c.Remove, r.Name)
	}
	text, _ := json.Marshal(c)
	return text
}
