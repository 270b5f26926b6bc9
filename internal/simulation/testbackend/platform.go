package testbackend

import (
	"net/http"
	"sort"
	"strings"
	"sync"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Platform lists the runners and marks those about to leave.
type Platform struct {
	mu      sync.Mutex
	runners map[string]protocol.ListedRunner
}

// NewPlatform makes a platform without runners.
func NewPlatform() *Platform { return &Platform{runners: map[string]protocol.ListedRunner{}} }

// List gives the runners in order of name.
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

// Put lists a runner, or replaces it.
func (p *Platform) Put(listed protocol.ListedRunner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runners[listed.Name] = listed
}

// MarkLeaving marks the present incarnation of a runner as leaving, and tells
// whether there is such a runner.
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

// Remove takes a runner off the list.
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

// ServeHTTP serves the list, and lets runners and people change it.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, isRunner := strings.CutPrefix(r.URL.Path, runnerPath)
	leaver, isLeaving := strings.CutSuffix(name, leavingSuffix)
	switch {
	case r.URL.Path == listPath && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, p.List())
	case isRunner && r.Method == http.MethodPut:
		p.servePut(w, r, name)
	case isRunner && r.Method == http.MethodDelete:
		p.Remove(name)
		writeJSON(w, http.StatusOK, map[string]string{"removed": name})
	case isRunner && isLeaving && r.Method == http.MethodPost:
		p.serveLeaving(w, r, leaver)
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
