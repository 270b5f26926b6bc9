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
	plain = "plain"
	other = "other"
	llm   = "llm"
	host  = "drill.example"
)

const (
	models      = 8
	adapters    = 6
	loadMs      = 1500
	loadAgainMs = 300
	roomMb      = 100.0
	adapterRoom = 4
	loadsPerSec = 2.0
	slots       = 8
	cacheTokens = 50_000
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

// marks are the routes that tell one version from another: the first goes to
// another service with each version, the second stands in this one only.
func marks(version uint64) []config.Route {
	to := plain
	if version%2 == 1 {
		to = other
	}
	mark := config.Route{
		Name: fmt.Sprintf("mark@%d", version), Host: host, Prefix: "/mark/", Kind: config.Safe, GiveUpMs: 3000, AimMs: 400, Priority: 1,
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

// storePace is what the store of weights bears.
func (w *World) storePace() float64 {
	if w.Breaks.FastStore {
		return loadsPerSec / 20
	}
	return loadsPerSec
}

// newMap is the whole map of a version.
func (w *World) newMap(version uint64) config.Map {
	engine := &config.Engine{
		Slots: slots, CacheTokens: cacheTokens, Stride: 1, RoomMb: roomMb, AdapterRoom: adapterRoom, LoadsPerSec: loadsPerSec,
	}
	if w.Breaks.LieRoom {
		engine.RoomMb = 2 * roomMb
	}
	for i := range models {
		m := config.Model{Name: modelName(i), Mb: modelMb(modelName(i)), LoadMs: loadMs, AdapterMb: adapterMb}
		if i == 0 {
			m.Adapters = adapters
		}
		engine.Models = append(engine.Models, m)
	}
	route := func(name, service string, kind config.Kind, priority int) config.Route {
		return config.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, GiveUpMs: 3000, AimMs: 400, Priority: priority,
			Split: []config.Share{{Service: service, Weight: 1}}, Tries: 2, GapMs: 300,
		}
	}
	resumable, once := route("resume", llm, config.Stream, 1), route("once", llm, config.Stream, 2)
	resumable.Resume, resumable.Sticky, resumable.Tries = true, true, 3
	resumable.GiveUpMs, once.GiveUpMs = 6000, 6000
	m := config.Map{
		Version: version,
		Routes: append([]config.Route{
			route("safe", plain, config.Safe, 1), route("unsafe", plain, config.Unsafe, 0), resumable, once,
		}, marks(version)...),
		Services: []config.Service{{Name: plain, MostStreams: 90}, {Name: other, MostStreams: 90}, {Name: llm, MostStreams: 60, Engine: engine}},
	}
	return m
}

// newChange changes the marks of one version into those of another.
func newChange(from, version uint64) []byte {
	c := change{Version: version, Put: marks(version)}
	for _, r := range marks(from) {
		c.Remove = append(c.Remove, r.Name)
	}
	text, _ := json.Marshal(c)
	return text
}
