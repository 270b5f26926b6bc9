package stand

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
)

// platform is the stand-in for the platform: the list of runners.
type platform struct {
	site   *site
	server *http.Server
}

func newPlatform(s *site) *platform { return &platform{site: s} }

func (p *platform) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serveList)}
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

// listEntry is one runner in the list.
type listEntry struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	WarmLeftMs int    `json:"warm_left_ms"`
}

// serveList answers with the whole list.
func (p *platform) serveList(w http.ResponseWriter, _ *http.Request) {
	page := struct {
		Runners  []listEntry `json:"runners"`
		NextPage *string     `json:"next_page"`
	}{}
	for _, r := range p.site.runners {
		page.Runners = append(page.Runners, listEntry{
			ID: r.id, Service: r.service, Address: r.address, Zone: "alx-garden", Version: "v1", Slots: runnerSlots, State: "ready",
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func (p *platform) stop() {
	if p.server != nil {
		_ = p.server.Shutdown(context.Background())
		_ = p.server.Close()
	}
}
