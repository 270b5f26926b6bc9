// Package topology converts the zones and machines of a site from a GeoJSON file into the
// parts of a description that list the machines.
package topology

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/paulmach/orb"
	"github.com/paulmach/orb/geojson"
	"github.com/paulmach/orb/planar"

	"myrtlewinch/internal/native/description"
)

// Parts are the parts of a description that are read from a GeoJSON file.
type Parts struct {
	Controllers []description.Member `json:"controllers"`
	Routers     []description.Member `json:"routers"`
	Runners     []description.Runner `json:"runners"`
}

// Read parses a GeoJSON collection of features. A polygon with the kind "zone" is a zone. A
// point with the kind "controller", "router" or "runner" is a machine, in the zone that it
// names or that contains it. Every fault is reported with its path.
func Read(text []byte) (Parts, []string) {
	var parts Parts
	collection, err := geojson.UnmarshalFeatureCollection(text)
	if err != nil {
		return parts, []string{".: not a GeoJSON collection of features: " + err.Error()}
	}
	r := reader{names: map[string]bool{}}
	for i, feature := range collection.Features {
		r.zone(fmt.Sprintf("features[%d]", i), feature)
	}
	for i, feature := range collection.Features {
		r.machine(fmt.Sprintf("features[%d]", i), feature, &parts)
	}
	if len(r.faults) > 0 {
		return Parts{}, r.faults
	}
	return parts, nil
}

type zone struct {
	name  string
	shape orb.Polygon
}

type reader struct {
	zones  []zone
	names  map[string]bool
	faults []string
}

func (r *reader) fault(path, format string, args ...any) {
	r.faults = append(r.faults, path+": "+fmt.Sprintf(format, args...))
}

func (r *reader) nameProperty(path string, f *geojson.Feature, name string, required bool) string {
	value, given := f.Properties[name]
	if !given && !required {
		return ""
	}
	text, ok := value.(string)
	if !ok || text == "" || strings.ContainsAny(text, "/ \t\n") || len(text) > 64 {
		r.fault(path+".properties."+name, "must be a string of 1 to 64 bytes without slashes, spaces, tabs or newlines")
		return ""
	}
	return text
}

func (r *reader) zone(path string, f *geojson.Feature) {
	if f.Properties["kind"] != "zone" {
		return
	}
	name := r.nameProperty(path, f, "name", true)
	shape, ok := f.Geometry.(orb.Polygon)
	if !ok || len(shape) == 0 {
		r.fault(path+".geometry", "a zone must be a polygon")
		return
	}
	for _, known := range r.zones {
		if known.name == name {
			r.fault(path+".properties.name", "zone %q is defined twice", name)
		}
	}
	r.zones = append(r.zones, zone{name, shape})
}

func (r *reader) machine(path string, f *geojson.Feature, parts *Parts) {
	kind, _ := f.Properties["kind"].(string)
	if kind == "zone" {
		return
	}
	if kind != "controller" && kind != "router" && kind != "runner" {
		r.fault(path+".properties.kind", "is %q; it must be zone, controller, router or runner", kind)
		return
	}
	name := r.nameProperty(path, f, "name", true)
	if name != "" && r.names[kind+name] {
		r.fault(path+".properties.name", "%s %q is defined twice", kind, name)
	}
	r.names[kind+name] = true
	zone := r.zoneOf(path, f)
	switch kind {
	case "controller":
		parts.Controllers = append(parts.Controllers, description.Member{Name: name, Zone: zone})
	case "router":
		parts.Routers = append(parts.Routers, description.Member{Name: name, Zone: zone})
	case "runner":
		room, ok := f.Properties["room"].(float64)
		if !ok || room < 0 || room != math.Trunc(room) {
			r.fault(path+".properties.room", "must be a whole number that is not negative")
		}
		parts.Runners = append(parts.Runners, description.Runner{
			Name: name, Zone: zone, Pool: r.nameProperty(path, f, "pool", true), Capacity: int64(room),
		})
	}
}

// zoneOf returns the zone that a machine names. If the machine names none, it returns the zone
// that contains the machine.
func (r *reader) zoneOf(path string, f *geojson.Feature) string {
	if named := r.nameProperty(path, f, "zone", false); named != "" {
		return named
	}
	point, ok := f.Geometry.(orb.Point)
	if !ok {
		r.fault(path+".geometry", "a machine must be a point")
		return ""
	}
	var found []string
	for _, z := range r.zones {
		if planar.PolygonContains(z.shape, point) {
			found = append(found, z.name)
		}
	}
	if len(found) != 1 {
		r.fault(path+".geometry", "is inside %d zones %v; it must be inside exactly one zone or name its zone", len(found), found)
		return ""
	}
	return found[0]
}

// Text returns the parts as JSON, to be submitted as a patch of a description.
func (p Parts) Text() []byte {
	text, _ := json.MarshalIndent(p, "", "  ")
	return text
}
