package stand

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// routesPerChange is the dose of big_config in the small site.
	routesPerChange = 350
	// growthChanges is how many such changes come, one after the other.
	growthChanges = 100
	// sizeEach is after how many changes the configuration is read back, firstCheck
	// after how many the new routes are tried first.
	sizeEach, firstCheck = 5, 40
	// largeBytes is the size from which on they are tried at each reading.
	largeBytes = 8 << 20
	// applyBy is apply_by_ms with a margin.
	applyBy = 2500 * time.Millisecond
	// changeLimit is how long the operator tries one change.
	changeLimit = 12 * time.Second
)

// addedPath is the path of a route that a change adds.
func addedPath(change, i int) string { return fmt.Sprintf("/added%03d-%03d/", change, i) }

// addedRoutes are the routes that a change adds.
func addedRoutes(change, count int) []route {
	var routes []route
	for i := range count {
		added := newRoute(fmt.Sprintf("r-added-%03d-%03d", change, i), addedPath(change, i), "safe", 2500, 2)
		added.Split = []share{{serviceName, 90}, {otherService, 10}}
		routes = append(routes, added)
	}
	return routes
}

// runGrowth lets the configuration grow change by change and asks each router for a
// route of an acknowledged change later than apply_by_ms after its acknowledgement.
// Without the disruption the same number of changes each adds one route.
func runGrowth(s *site, trouble bool) (verdict, error) {
	count := 1
	if trouble {
		count = routesPerChange
	}
	version := uint64(5)
	for change := 1; change <= growthChanges; change++ {
		next := version + 2
		if err := s.operator.change(version, next, addedRoutes(change, count), changeLimit); err != nil {
			s.record.addf("change %d (version %d) was not acknowledged: %v", change, next, err)
			break
		}
		version = next
		if change%sizeEach != 0 {
			continue
		}
		_, size, detail := s.operator.read(5 * time.Second)
		s.record.addf("change %d acknowledged: version %d, %d routes, %s", change, version, len(firstRoutes())+change*count, detail)
		if size < largeBytes && change != firstCheck && change != growthChanges {
			continue
		}
		if reason := s.missingRoute(change); reason != "" {
			return s.afterGrowth(version, reason), nil
		}
	}
	return verdict{false, "every added route that was tried was served"}, nil
}

// missingRoute asks each router for a route of a change and says what is wrong.
func (s *site) missingRoute(change int) string {
	time.Sleep(applyBy)
	path := addedPath(change, 0)
	for _, router := range s.routers {
		a := newClient().try(s.front(router), tryOptions{path: path + "1", body: strings.NewReader("x"), length: 1, timeLeftMs: 2500})
		s.record.addf("%s %s at %s: status %d, %v", a.id, path, router.name, a.status, a.err)
		if a.status == 404 {
			return fmt.Sprintf("%s answers 404 to %s, which was acknowledged over 2 s before", router.name, path)
		}
	}
	return ""
}

// afterGrowth adds what is seen after the controllers were killed and started again.
func (s *site) afterGrowth(version uint64, reason string) verdict {
	for _, c := range s.controllers {
		c.stop(syscall.SIGKILL)
	}
	s.record.addf("all controllers were killed")
	for _, c := range s.controllers {
		if err := c.start(); err != nil {
			s.record.addf("%s: %v", c.name, err)
		}
	}
	read, _, detail := s.operator.read(10 * time.Second)
	s.record.addf("read back after the kill: version %d of %d (%s)", read, version, detail)
	return verdict{true, fmt.Sprintf("%s; after a kill of all controllers version %d of %d is read back (%s)", reason, read, version, detail)}
}
