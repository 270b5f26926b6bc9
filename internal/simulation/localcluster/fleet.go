// Package localcluster brings a whole site up in one process, over real loopback TCP,
// and writes the settings for running it as separate processes.
package localcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/settings"
	"myrtlewinch/internal/simulation/invariants"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// Options of a fleet.
type Options struct {
	Text   []byte
	Data   string
	LoadMs int64
	WorkMs int64
	Pieces int
	Log    *log.Logger
}

// Part is one process's worth of the fleet.
type Part struct {
	Settings settings.Settings
	made     joiner
	done     chan struct{}
	ended    chan error
}

// Fleet is a whole site in one process.
type Fleet struct {
	Description *description.Description
	Clock       process.Clock
	Book        *invariants.Book
	Platform    *testbackend.Platform
	Controllers []*Part
	Routers     []*Part
	Runners     []*RunnerPart

	options  Options
	platform net.Listener
	web      *http.Server
}

// RunnerPart is a runner of the fleet.
type RunnerPart struct {
	Name, Address string
	Door          *testbackend.RunnerDoor
	web           *http.Server
}

// New starts everything, without founding the site.
func New(o Options) (*Fleet, error) {
	var named struct {
		Site string `json:"site"`
	}
	if err := json.Unmarshal(o.Text, &named); err != nil {
		return nil, errors.Wrap(err, "description")
	}
	d, faults := description.Read(o.Text, named.Site)
	if len(faults) > 0 {
		return nil, errors.Newf("description: %v", faults)
	}
	f := &Fleet{
		Description: d, Clock: process.NewClock(), Book: invariants.New(d.Store.LoadsPer10s, d.SecondGoes),
		Platform: testbackend.NewPlatform(), options: o,
	}
	var err error
	if f.platform, err = listen(); err != nil {
		return nil, err
	}
	f.web = &http.Server{Handler: f.Platform}
	threads.Side(func() { _ = f.web.Serve(f.platform) })
	for _, r := range d.Runners {
		if err := f.startRunner(r); err != nil {
			return nil, err
		}
	}
	return f, f.startDaemons()
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (f *Fleet) startRunner(r description.Runner) error {
	at, err := listen()
	if err != nil {
		return err
	}
	incarnation := "first-" + r.Name
	runner := testbackend.NewRunner(r.Name, incarnation, r.Room, f.options.LoadMs, f.Book)
	part := &RunnerPart{Name: r.Name, Address: at.Addr().String(), Door: testbackend.NewRunnerDoor(runner, f.Clock.NowMs, f.options.WorkMs, f.options.Pieces)}
	part.web = &http.Server{Handler: part.Door}
	threads.Side(func() { _ = part.web.Serve(at) })
	f.Runners = append(f.Runners, part)
	f.Platform.Put(protocol.ListedRunner{Name: r.Name, Address: part.Address, Incarnation: incarnation})
	return nil
}

// joiner is a daemon that has not begun.
type joiner interface {
	Join(*threads.Group)
	Leave()
	Halt() (release func())
}

func (f *Fleet) startDaemons() error {
	type pair struct{ peers, web net.Listener }
	var listeners []pair
	members := append(append([]description.Member{}, f.Description.Controllers...), f.Description.Routers...)
	var seeds []string
	for i := range members {
		peers, err := listen()
		if err != nil {
			return err
		}
		web, err := listen()
		if err != nil {
			return err
		}
		listeners = append(listeners, pair{peers, web})
		if i < 3 && i < len(f.Description.Controllers) {
			seeds = append(seeds, peers.Addr().String())
		}
	}
	for i, member := range members {
		set := settings.Settings{
			Site: f.Description.Site, Name: member.Name, Zone: member.Zone, Seeds: seeds,
			Address: listeners[i].peers.Addr().String(), HTTP: listeners[i].web.Addr().String(),
			Platform: f.platform.Addr().String(),
		}
		core := i < len(f.Description.Controllers)
		if core {
			set.Data = filepath.Join(f.options.Data, member.Name)
		}
		part, err := f.start(set, core, listeners[i].peers, listeners[i].web)
		if err != nil {
			return err
		}
		if core {
			f.Controllers = append(f.Controllers, part)
		} else {
			f.Routers = append(f.Routers, part)
		}
	}
	return nil
}

func (f *Fleet) start(set settings.Settings, core bool, peers, web net.Listener) (*Part, error) {
	logger := f.options.Log.WithPrefix(set.Name)
	var made joiner
	var err error
	if core {
		made, err = consensus.NewOffice(set, peers, web, logger)
	} else {
		made, err = router.NewGate(set, peers, web, logger)
	}
	if err != nil {
		return nil, err
	}
	part := &Part{Settings: set, made: made, done: make(chan struct{}), ended: make(chan error, 1)}
	var c threads.Group
	made.Join(&c)
	c.Until(part.done)
	threads.Side(func() { part.ended <- c.Run() })
	return part, nil
}

// Kill ends a daemon without a word, as a lost process would.
func (p *Part) Kill() {
	close(p.done)
	<-p.ended
}

// Leave stops a daemon as planned.
func (p *Part) Leave() {
	p.made.Leave()
	p.Kill()
}

// Halt makes a daemon stand still until it is released.
func (p *Part) Halt() (release func()) { return p.made.Halt() }

// Spoil makes a controller's disk behave as a full, failing or stalling one.
func (p *Part) Spoil(sync func(*os.File) error) { p.made.(*consensus.Office).Spoil(sync) }

// Restart starts a daemon again at its addresses, after Kill.
func (f *Fleet) Restart(p *Part) error {
	peers, err := net.Listen("tcp", p.Settings.Address)
	if err != nil {
		return err
	}
	web, err := net.Listen("tcp", p.Settings.HTTP)
	if err != nil {
		return err
	}
	again, err := f.start(p.Settings, p.Settings.Data != "", peers, web)
	if err != nil {
		return err
	}
	*p = *again
	return nil
}

// Stop ends everything.
func (f *Fleet) Stop() {
	for _, part := range append(append([]*Part{}, f.Routers...), f.Controllers...) {
		select {
		case <-part.done:
		default:
			part.Kill()
		}
	}
	for _, r := range f.Runners {
		_ = r.web.Close()
	}
	_ = f.web.Close()
}

// RouterAddresses lists where senders go.
func (f *Fleet) RouterAddresses() []string {
	var out []string
	for _, part := range f.Routers {
		out = append(out, part.Settings.HTTP)
	}
	return out
}

// Found founds the site with its first three controllers as witnesses. It
// tries again until they know each other.
func (f *Fleet) Found(within time.Duration) error {
	var names []string
	for _, part := range f.Controllers[:3] {
		names = append(names, part.Settings.Name)
	}
	body, _ := json.Marshal(map[string]any{"witnesses": names, "backup": names[1]})
	return f.until(within, func() error {
		status, text, err := Ask(http.MethodPost, f.Controllers[0].Settings.HTTP, "/found", "", body)
		if err == nil && status != http.StatusOK {
			err = errors.Newf("founding: %s", text)
		}
		return err
	})
}

// HandOver hands a description over to whichever controller is the primary.
func (f *Fleet) HandOver(base string, text []byte, within time.Duration) error {
	return f.until(within, func() error {
		err := errors.New("no controller")
		for _, part := range f.Controllers {
			var status int
			var said []byte
			status, said, err = Ask(http.MethodPut, part.Settings.HTTP, "/description", base, text)
			if err == nil && status == http.StatusOK {
				return nil
			}
			if err == nil {
				err = errors.Newf("%s: %s", part.Settings.Name, said)
			}
		}
		return err
	})
}

// Ready waits until every router would send.
func (f *Fleet) Ready(within time.Duration) error {
	return f.until(within, func() error {
		for _, part := range f.Routers {
			status, text, err := Ask(http.MethodGet, part.Settings.HTTP, "/soundness", "", nil)
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return errors.Newf("%s: %s", part.Settings.Name, text)
			}
		}
		return nil
	})
}

// until tries again until there is no error; the time is only a last resort.
func (f *Fleet) until(within time.Duration, try func() error) error {
	end := time.Now().Add(within)
	for {
		err := try()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var caller = http.Client{Timeout: 20 * time.Second}

// Ask asks a daemon's page.
func Ask(method, address, path, base string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if base != "" {
		request.Header.Set("If-Match", fmt.Sprintf("%q", base))
	}
	answer, err := caller.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, text, err
}

// TempData makes a data folder that is removed by its second result.
func TempData() (string, func(), error) {
	folder, err := os.MkdirTemp("", "myrtlewinch-")
	return folder, func() { _ = os.RemoveAll(folder) }, err
}
