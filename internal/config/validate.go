package config

import (
	"fmt"
	"strings"
)

// maxWeight bounds one weight of a split, so that their sum can't overflow.
const maxWeight = 1 << 40

// Faults returns all reasons why the configuration can't come into force, first
// those of the services and then those of the routes, in their order. It does not
// check whether the version may follow the one in force.
func (c *Configuration) Faults() []string {
	v := validator{
		services: make(map[string]bool, len(c.Services)),
		names:    make(map[string]bool, len(c.Routes)),
		routes:   make(map[routeKey]string, len(c.Routes)),
	}
	if c.Version == 0 {
		v.fault("version: must be above 0")
	}
	for i := range c.Services {
		v.checkName("services", i, c.Services[i].Name, v.services)
	}
	for i := range c.Routes {
		v.checkRoute(i, &c.Routes[i])
	}
	return v.faults
}

// routeKey is what distinguishes two routes: a request that matches both would
// have no one route.
type routeKey struct{ host, prefix string }

// validator collects the faults of a configuration.
type validator struct {
	faults []string
	// services and names are the names of the services and of the routes that
	// were checked; routes has the names of the routes by key.
	services, names map[string]bool
	routes          map[routeKey]string
}

func (v *validator) fault(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

func (v *validator) checkRoute(i int, r *Route) {
	v.checkName("routes", i, r.Name, v.names)
	v.checkRouteKey(i, r)
	if r.TimeoutMs <= 0 {
		v.fault("routes[%d] %s: would be given up after %d ms; it must be above 0", i, r.Name, r.TimeoutMs)
	}
	v.checkSplit(i, r)
}

// checkName checks that an item of a list has a name, and one that no item before
// it has.
func (v *validator) checkName(list string, i int, name string, names map[string]bool) {
	if name == "" {
		v.fault("%s[%d]: has no name", list, i)
	}
	if names[name] {
		v.fault("%s[%d] %s: is given twice", list, i, name)
	}
	names[name] = true
}

// checkRouteKey checks the host and the path prefix.
func (v *validator) checkRouteKey(i int, r *Route) {
	if r.Host == "" {
		v.fault("routes[%d] %s: has no host", i, r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		v.fault("routes[%d] %s: prefix %q must begin and end with a slash", i, r.Name, r.PathPrefix)
	}
	// FindRoute ignores the case of hosts too.
	key := routeKey{strings.ToLower(r.Host), r.PathPrefix}
	if other, found := v.routes[key]; found {
		v.fault("routes[%d] %s: has the host and prefix of %s", i, r.Name, other)
	}
	v.routes[key] = r.Name
}

func (v *validator) checkSplit(i int, r *Route) {
	var sum int64
	areWeightsValid := true
	for _, share := range r.Split {
		if !v.services[share.Service] {
			v.fault("routes[%d] %s: unknown service %q", i, r.Name, share.Service)
		}
		if share.Weight < 0 {
			areWeightsValid = false
			v.fault("routes[%d] %s: weight %d of %s is below 0", i, r.Name, share.Weight, share.Service)
		}
		if share.Weight > maxWeight {
			areWeightsValid = false
			v.fault("routes[%d] %s: weight %d of %s is above %d", i, r.Name, share.Weight, share.Service, int64(maxWeight))
		}
		sum += share.Weight
	}
	// The sum of invalid weights says nothing, and may have overflowed.
	if areWeightsValid && sum <= 0 {
		v.fault("routes[%d] %s: the weights add up to %d", i, r.Name, sum)
	}
}
