package stand2

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// entry is a runner in the platform's list.
type entry struct {
	ID       string      `json:"id"`
	Service  string      `json:"service"`
	Address  string      `json:"address"`
	Zone     string      `json:"zone"`
	Version  string      `json:"version"`
	Slots    int         `json:"slots"`
	State    string      `json:"state"`
	WarmLeft float64     `json:"warm_left_ms"`
	Phase    string      `json:"phase,omitempty"`
	Models   []heldModel `json:"models,omitempty"`
}

// heldModel is a model that a runner holds.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// platform is the stand-in of the platform's list of runners.
type platform struct {
	mu      sync.Mutex
	entries []entry
}

func startPlatform(address string) (*platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platform{}
	go func() { _ = http.Serve(listener, p) }()
	return p, nil
}

// ServeHTTP answers with the list in one page.
func (p *platform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"runners": p.entries, "next_page": nil})
}

func (p *platform) add(e entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, e)
}
