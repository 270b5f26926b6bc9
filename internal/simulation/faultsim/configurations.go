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
		Name: fmt.Sprintf("mark@%d", version), Host: requestHost, Prefix: "/mark/", Kind: config.Safe, GiveUpMs: 3000, AimMs: 400, Priority: 1,
		Split: []config.Share{{Service: to, Weight: 1}}, Tries: 2,
	}
	only := mark
	only.Name, only.Prefix = fmt.Sprintf("only@%d", version), fmt.Sprintf("/only-%d/", version)
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
func (sim *Simulation) newConfig(version uint64) config.Map {
	engine := &config.Engine{
		Slots: slots, CacheTokens: cacheTokens, Stride: 1, RoomMb: capacityMb, AdapterRoom: adapterCapacity, LoadsPerSec: loadsPerSec,
	}
	if sim.Bugs.OverstateCapacity {
		engine.RoomMb = 2 * capacityMb
	}
	for i := range modelCount {
		m := config.Model{Name: modelName(i), Mb: modelMb(modelName(i)), LoadMs: loadMs, AdapterMb: adapterMb}
		if i == 0 {
			m.Adapters = adapterCount
		}
		engine.Models = append(engine.Models, m)
	}
	route := func(name, service string, kind config.Kind, priority int) config.Route {
		return config.Route{
			Name: name, Host: requestHost, Prefix: "/" + name + "/", Kind: kind, GiveUpMs: 3000, AimMs: 400, Priority: priority,
			Split: []config.Share{{Service: service, Weight: 1}}, Tries: 2, GapMs: 300,
		}
	}
	resumable, once := route("resume", modelService, config.Stream, 1), route("once", modelService, config.Stream, 2)
	resumable.Resume, resumable.Sticky, resumable.Tries = true, true, 3
	resumable.GiveUpMs, once.GiveUpMs = 6000, 6000
	m := config.Map{
		Version: version,
		Routes: append([]config.Route{
			route("safe", plainService, config.Safe, 1), route("unsafe", plainService, config.Unsafe, 0), resumable, once,
		}, versionRoutes(version)...),
		Services: []config.Service{{Name: plainService, MostStreams: 90}, {Name: otherService, MostStreams: 90}, {Name: modelService, MostStreams: 60, Engine: engine}},
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
