package config

import (
	"fmt"
	"strings"
)

// maxWeight bounds the weight of a service in a split, so that the sum of the weights
// cannot overflow.
const maxWeight = 1 << 40

// Faults returns all reasons why the configuration is invalid, first those of the
// services and then those of the routes, in their order. It does not check whether
// the version is above the active one.
func (c *Configuration) Faults() []string {
	v := validator{
		serviceNames:   make(map[string]bool, len(c.Services)),
		routeNames:     make(map[string]bool, len(c.Routes)),
		routeNameByKey: make(map[routeKey]string, len(c.Routes)),
	}
	if c.Version == 0 {
		v.fault("version: must be above 0")
	}
	for i := range c.Services {
		v.checkName("services", i, c.Services[i].Name, v.serviceNames)
	}
	for i := range c.Routes {
		v.checkRoute(i, &c.Routes[i])
	}
	return v.faults
}

// routeKey must be unique among the routes: if two routes had the same key, the route
// of a request would be ambiguous.
type routeKey struct{ host, prefix string }

// validator collects the faults of a configuration.
type validator struct {
	faults []string
	// serviceNames and routeNames are the names of the services and routes that were
	// checked; routeNameByKey has the name of each route by its key.
	serviceNames, routeNames map[string]bool
	routeNameByKey           map[routeKey]string
}

func (v *validator) fault(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

func (v *validator) checkRoute(i int, r *Route) {
	v.checkName("routes", i, r.Name, v.routeNames)
	v.checkRouteKey(i, r)
	if r.TimeoutMs <= 0 {
		v.fault("routes[%d] %s: the timeout is %d ms; it must be above 0", i, r.Name, r.TimeoutMs)
	}
	v.checkSplit(i, r)
}

// checkName checks that an item of a list has a name, and that no earlier item has
// the same name.
func (v *validator) checkName(list string, i int, name string, names map[string]bool) {
	if name == "" {
		v.fault("%s[%d]: has no name", list, i)
	}
	if names[name] {
		v.fault("%s[%d] %s: the name is not unique", list, i, name)
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
	// FindRoute also ignores the case of hosts.
	key := routeKey{strings.ToLower(r.Host), r.PathPrefix}
	if other, found := v.routeNameByKey[key]; found {
		v.fault("routes[%d] %s: has the same host and prefix as %s", i, r.Name, other)
	}
	v.routeNameByKey[key] = r.Name
}

func (v *validator) checkSplit(i int, r *Route) {
	var sum int64
	areWeightsValid := true
	for _, share := range r.Split {
		if !v.serviceNames[share.Service] {
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
	// The sum of invalid weights is meaningless, and may have overflowed.
	if areWeightsValid && sum <= 0 {
		v.fault("routes[%d] %s: the weights add up to %d; the sum must be above 0", i, r.Name, sum)
	}
}
