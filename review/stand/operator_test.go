package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// serviceName is the service of the first routes; routes that are added may split
// their requests between it and otherService.
const (
	serviceName  = "wuno96b"
	otherService = "huvo11a"
)

// siteHost is the host of all routes.
const siteHost = "ficu95.example"

// route is a route as the operator writes it.
type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	PathStart string  `json:"path_start"`
	Kind      string  `json:"kind"`
	GiveUpMs  int64   `json:"give_up_ms"`
	TargetMs  int64   `json:"target_ms"`
	Priority  int     `json:"priority"`
	Split     []share `json:"split"`
	Tries     int     `json:"tries"`
	Sticky    bool    `json:"sticky"`
	Resume    bool    `json:"resume"`
	TokenGap  int64   `json:"token_gap_ms"`
}

// share is a part of a route's split.
type share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

func newRoute(name, path, kind string, giveUpMs int64, tries int) route {
	return route{
		Name: name, Host: siteHost, PathStart: path, Kind: kind, GiveUpMs: giveUpMs, TargetMs: 150, Priority: 2,
		Split: []share{{serviceName, 1}}, Tries: tries, TokenGap: 300,
	}
}

// The paths of the first routes.
const (
	safePath = "/pufi791/"
	longPath = "/lohu930/"
	oncePath = "/puxa403/"
)

// firstRoutes are the routes of the first configuration.
func firstRoutes() []route {
	return []route{
		newRoute("r-safe", safePath, "safe", 2500, 2),
		newRoute("r-long", longPath, "safe", 20_000, 1),
		newRoute("r-once", oncePath, "unsafe", 2500, 1),
	}
}

// operator is the stand-in for the operator.
type operator struct {
	site   *site
	client *http.Client
	next   int
}

// newHTTPClient makes a client that moves on after a second of silence, or more
// for large bodies.
func newHTTPClient() *http.Client {
	return &http.Client{
		Timeout:       4 * time.Second,
		CheckRedirect: func(_ *http.Request, via []*http.Request) error { return redirectLimit(len(via)) },
	}
}

// redirectLimit allows two redirects.
func redirectLimit(followed int) error {
	if followed > 2 {
		return http.ErrUseLastResponse
	}
	return nil
}

// replace brings a whole configuration with these routes.
func (o *operator) replace(base, version uint64, routes []route, limit time.Duration) error {
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{service(serviceName), service(otherService)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_wait_ms": 3000, "idle_ms": 15000},
	})
	if err != nil {
		return err
	}
	return o.submit("/v1/settings/replace", base, body, limit)
}

// service is a service without models as the operator writes it.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}
}

// change adds routes.
func (o *operator) change(base, version uint64, routes []route, limit time.Duration) error {
	body, err := json.Marshal(map[string]any{"version": version, "put_items": map[string]any{"routes": routes}})
	if err != nil {
		return err
	}
	return o.submit("/v1/settings/change", base, body, limit)
}

// submit sends an order, again and again until it has a clear answer.
func (o *operator) submit(path string, base uint64, body []byte, limit time.Duration) error {
	pause := 50 * time.Millisecond
	last := errors.New("no answer")
	for end := time.Now().Add(limit); time.Now().Before(end); {
		status, text, err := o.call(http.MethodPost, path, base, body)
		switch {
		case err != nil:
			last = err
		case status == http.StatusOK:
			return nil
		case status < 500 && status != 408 && status != 429 && status/100 != 3:
			return errors.Newf("status %d: %s", status, text)
		default:
			last = errors.Newf("status %d: %s", status, text)
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return last
}

// call makes one call at the next controller.
func (o *operator) call(method, path string, base uint64, body []byte) (int, []byte, error) {
	controller := o.site.controllers[o.next%len(o.site.controllers)]
	o.next++
	request, err := http.NewRequest(method, "http://"+o.site.control(controller)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if method == http.MethodPost {
		request.Header.Set("X-Built-On", strconv.FormatUint(base, 10))
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// read reads the configuration back, again and again, and returns its version and
// size; version 0 means that none came in time.
func (o *operator) read(limit time.Duration) (version uint64, size int, detail string) {
	detail = "no answer"
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, text, err := o.call(http.MethodGet, "/v1/settings/read", 0, nil)
		if err != nil {
			detail = err.Error()
			continue
		}
		var read struct {
			Version uint64 `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(text, &read) == nil {
			return read.Version, len(text), fmt.Sprintf("%d bytes", len(text))
		}
		detail = fmt.Sprintf("status %d: %.120s", status, bytes.TrimSpace(text))
	}
	return 0, 0, detail
}
