package testbackend

import (
	"net/http"
	"sort"
	"strings"
	"sync"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Platform is a stub of the platform. It lists the runners and marks the runners that
// are about to leave.
type Platform struct {
	mu      sync.Mutex
	runners map[string]protocol.ListedRunner
}

// NewPlatform returns a platform without runners.
func NewPlatform() *Platform { return &Platform{runners: map[string]protocol.ListedRunner{}} }

// List returns the runners, sorted by name.
func (p *Platform) List() []protocol.ListedRunner {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]protocol.ListedRunner, 0, len(p.runners))
	for _, listed := range p.runners {
		list = append(list, listed)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Put adds a runner to the list, or replaces it.
func (p *Platform) Put(listed protocol.ListedRunner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runners[listed.Name] = listed
}

// MarkLeaving marks the listed incarnation of a runner as leaving. It returns the
// runner, and whether it is listed.
func (p *Platform) MarkLeaving(name string) (protocol.ListedRunner, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed, ok := p.runners[name]
	if ok {
		listed.Leaving = true
		p.runners[name] = listed
	}
	return listed, ok
}

// Remove removes a runner from the list.
func (p *Platform) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runners, name)
}

const (
	listPath      = "/runners"
	runnerPath    = "/runners/"
	leavingSuffix = "/leaving"
)

// ServeHTTP serves the list, and the requests of runners and operators to change it.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, isRunner := strings.CutPrefix(r.URL.Path, runnerPath)
	leavingName, isLeaving := strings.CutSuffix(name, leavingSuffix)
	switch {
	case r.URL.Path == listPath && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, p.List())
	case isRunner && r.Method == http.MethodPut:
		p.servePut(w, r, name)
	case isRunner && r.Method == http.MethodDelete:
		p.Remove(name)
		writeJSON(w, http.StatusOK, map[string]string{"removed": name})
	case isRunner && isLeaving && r.Method == http.MethodPost:
		p.serveLeaving(w, r, leavingName)
	default:
		writeUnknownPage(w, r)
	}
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, name string) {
	var listed protocol.ListedRunner
	if !readJSON(w, r, &listed) {
		return
	}
	listed.Name = name
	p.Put(listed)
	writeJSON(w, http.StatusOK, listed)
}

func (p *Platform) serveLeaving(w http.ResponseWriter, r *http.Request, name string) {
	listed, ok := p.MarkLeaving(name)
	if !ok {
		writeUnknownPage(w, r)
		return
	}
	writeJSON(w, http.StatusOK, listed)
}

func writeUnknownPage(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusNotFound, errkind.ErrorBody{Kind: errkind.UnknownPage, Detail: r.URL.Path, Ran: "no"})
}
