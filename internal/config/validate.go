package config

import (
	"fmt"
	"strings"
)

// place is what tells two routes apart.
type place struct{ host, prefix string }

// Faults gives everything for which the map may not come into force, in the
// order of the routes; none means that it is sound. Whether its version may
// follow the one in force is not asked here.
func (m *Configuration) Faults() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if m.Version == 0 {
		fault("version: must be above 0")
	}
	services := make(map[string]bool, len(m.Services))
	for i := range m.Services {
		name := m.Services[i].Name
		if name == "" {
			fault("services[%d]: has no name", i)
		}
		// Which of the two a route meant could not be told.
		if services[name] {
			fault("services[%d] %s: is given twice", i, name)
		}
		services[name] = true
	}
	names := make(map[string]bool, len(m.Routes))
	places := make(map[place]string, len(m.Routes))
	for i := range m.Routes {
		r := &m.Routes[i]
		if r.Name == "" {
			fault("routes[%d]: has no name", i)
		}
		if names[r.Name] {
			fault("routes[%d] %s: is given twice", i, r.Name)
		}
		names[r.Name] = true
		if r.Host == "" {
			fault("routes[%d] %s: has no host", i, r.Name)
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			fault("routes[%d] %s: prefix %q must begin and end with a slash", i, r.Name, r.PathPrefix)
		}
		// Hosts are told apart without regard to case, as Route does.
		at := place{strings.ToLower(r.Host), r.PathPrefix}
		if other, taken := places[at]; taken {
			fault("routes[%d] %s: has the host and prefix of %s", i, r.Name, other)
		}
		places[at] = r.Name
		if r.TimeoutMs <= 0 {
			fault("routes[%d] %s: would be given up after %d ms; it must be above 0", i, r.Name, r.TimeoutMs)
		}
		faults = append(faults, r.splitFaults(i, services)...)
	}
	return faults
}

func (r *Route) splitFaults(i int, services map[string]bool) []string {
	var faults []string
	var sum int64
	bad := false
	for _, share := range r.Split {
		if !services[share.Service] {
			faults = append(faults, fmt.Sprintf("routes[%d] %s: unknown service %q", i, r.Name, share.Service))
		}
		if share.Weight < 0 {
			bad = true
			faults = append(faults, fmt.Sprintf("routes[%d] %s: weight %d of %s is below 0", i, r.Name, share.Weight, share.Service))
		}
		// A sum that runs over would look like nought or less.
		if sum += share.Weight; share.Weight > weightMost {
			bad = true
			faults = append(faults, fmt.Sprintf("routes[%d] %s: weight %d of %s is above %d", i, r.Name, share.Weight, share.Service, int64(weightMost)))
		}
	}
	if sum <= 0 && !bad {
		faults = append(faults, fmt.Sprintf("routes[%d] %s: the weights add up to %d", i, r.Name, sum))
	}
	return faults
}

const weightMost = 1 << 40
