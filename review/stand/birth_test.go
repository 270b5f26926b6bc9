package stand

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// killAfter is how long after the first start the core is killed.
	killAfter = 30 * time.Millisecond
	// downTime is how long it stays down: "within a second".
	downTime = 500 * time.Millisecond
	// birthTime is how long the operator then tries the first configuration, and
	// trafficTime how long clients try to be served.
	birthTime   = 60 * time.Second
	trafficTime = 10 * time.Second
)

// runBirth kills all controllers at the same moment right after their first start and
// starts them again; then the operator sends the first configuration until it is taken.
func runBirth(s *site, trouble bool) (verdict, error) {
	if err := s.startDaemons(); err != nil {
		return verdict{}, err
	}
	if trouble {
		time.Sleep(killAfter)
		if err := s.killCore(); err != nil {
			return verdict{}, err
		}
	}
	err := s.operator.replace(0, 5, firstRoutes(), birthTime)
	s.record.addf("first configuration: %v", err)
	served, sent := 0, 0
	c := newClient()
	for end := time.Now().Add(trafficTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		router := s.routers[sent%len(s.routers)]
		a := c.try(s.front(router), tryOptions{path: safePath + "2f", body: strings.NewReader("x"), length: 1, timeLeftMs: 2500})
		sent++
		if a.status == 200 && a.seal != "" {
			served++
		}
		s.record.addf("%s at %s: status %d, error %v", a.id, router.name, a.status, a.err)
	}
	return verdict{served == 0, fmt.Sprintf("%d of %d requests were served; first configuration: %v", served, sent, err)}, nil
}

// killCore kills all controllers at once and starts them again, with their disks.
func (s *site) killCore() error {
	for _, c := range s.controllers {
		c.expectEnd()
		c.signal(syscall.SIGKILL)
	}
	for _, c := range s.controllers {
		c.stop(syscall.SIGKILL)
	}
	s.record.addf("all controllers were killed %v after their start", killAfter)
	time.Sleep(downTime)
	for _, c := range s.controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	s.record.addf("all controllers are started again")
	return nil
}
