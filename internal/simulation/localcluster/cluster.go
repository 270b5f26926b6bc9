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

// Options of a cluster.
type Options struct {
	Text   []byte
	Data   string
	LoadMs int64
	WorkMs int64
	Pieces int
	Log    *log.Logger
}

// Daemon is one process's worth of the cluster.
type Daemon struct {
	Settings settings.Settings
	shell    daemonShell
	stop     chan struct{}
	ended    chan error
}

// Cluster is a whole site in one process.
type Cluster struct {
	Description *description.Description
	Clock       process.Clock
	Checker     *invariants.Checker
	Platform    *testbackend.Platform
	Controllers []*Daemon
	Routers     []*Daemon
	Runners     []*Runner

	options      Options
	platform     net.Listener
	platformHTTP *http.Server
}

// Runner is a runner of the cluster.
type Runner struct {
	Name, Address string
	Server        *testbackend.RunnerServer
	http          *http.Server
}

// New starts everything, without founding the site.
func New(o Options) (*Cluster, error) {
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
	c := &Cluster{
		Description: d, Clock: process.NewClock(), Checker: invariants.New(d.Store.LoadsPer10s, d.SecondGoes),
		Platform: testbackend.NewPlatform(), options: o,
	}
	var err error
	if c.platform, err = listen(); err != nil {
		return nil, err
	}
	c.platformHTTP = &http.Server{Handler: c.Platform}
	threads.Go(func() { _ = c.platformHTTP.Serve(c.platform) })
	for _, r := range d.Runners {
		if err := c.startRunner(r); err != nil {
			return nil, err
		}
	}
	return c, c.startDaemons()
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (c *Cluster) startRunner(r description.Runner) error {
	at, err := listen()
	if err != nil {
		return err
	}
	incarnation := "first-" + r.Name
	runner := testbackend.NewRunner(r.Name, incarnation, r.Room, c.options.LoadMs, c.Checker)
	started := &Runner{Name: r.Name, Address: at.Addr().String(), Server: testbackend.NewRunnerServer(runner, c.Clock.NowMs, c.options.WorkMs, c.options.Pieces)}
	started.http = &http.Server{Handler: started.Server}
	threads.Go(func() { _ = started.http.Serve(at) })
	c.Runners = append(c.Runners, started)
	c.Platform.Put(protocol.ListedRunner{Name: r.Name, Address: started.Address, Incarnation: incarnation})
	return nil
}

// daemonShell is a daemon that has not begun.
type daemonShell interface {
	AddTasks(*threads.Group)
	Shutdown()
	Pause() (release func())
}

func (c *Cluster) startDaemons() error {
	type pair struct{ peers, web net.Listener }
	var listeners []pair
	members := append(append([]description.Member{}, c.Description.Controllers...), c.Description.Routers...)
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
		if i < 3 && i < len(c.Description.Controllers) {
			seeds = append(seeds, peers.Addr().String())
		}
	}
	for i, member := range members {
		set := settings.Settings{
			Site: c.Description.Site, Name: member.Name, Zone: member.Zone, Seeds: seeds,
			Address: listeners[i].peers.Addr().String(), HTTP: listeners[i].web.Addr().String(),
			Platform: c.platform.Addr().String(),
		}
		core := i < len(c.Description.Controllers)
		if core {
			set.Data = filepath.Join(c.options.Data, member.Name)
		}
		daemon, err := c.start(set, core, listeners[i].peers, listeners[i].web)
		if err != nil {
			return err
		}
		if core {
			c.Controllers = append(c.Controllers, daemon)
		} else {
			c.Routers = append(c.Routers, daemon)
		}
	}
	return nil
}

func (c *Cluster) start(set settings.Settings, core bool, peers, web net.Listener) (*Daemon, error) {
	logger := c.options.Log.WithPrefix(set.Name)
	var made daemonShell
	var err error
	if core {
		made, err = consensus.NewOffice(set, peers, web, logger)
	} else {
		made, err = router.NewServer(set, peers, web, logger)
	}
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{Settings: set, shell: made, stop: make(chan struct{}), ended: make(chan error, 1)}
	var group threads.Group
	made.AddTasks(&group)
	group.StopWhen(daemon.stop)
	threads.Go(func() { daemon.ended <- group.Run() })
	return daemon, nil
}

// Kill ends a daemon without a word, as a lost process would.
func (p *Daemon) Kill() {
	close(p.stop)
	<-p.ended
}

// Shutdown stops a daemon as planned.
func (p *Daemon) Shutdown() {
	p.shell.Shutdown()
	p.Kill()
}

// Pause makes a daemon stand still until it is released.
func (p *Daemon) Pause() (release func()) { return p.shell.Pause() }

// InjectDiskFault makes a controller's disk behave as a full, failing or stalling one.
func (p *Daemon) InjectDiskFault(sync func(*os.File) error) {
	p.shell.(*consensus.Office).OverrideSync(sync)
}

// Restart starts a daemon again at its addresses, after Kill.
func (c *Cluster) Restart(p *Daemon) error {
	peers, err := net.Listen("tcp", p.Settings.Address)
	if err != nil {
		return err
	}
	web, err := net.Listen("tcp", p.Settings.HTTP)
	if err != nil {
		return err
	}
	again, err := c.start(p.Settings, p.Settings.Data != "", peers, web)
	if err != nil {
		return err
	}
	*p = *again
	return nil
}

// Stop ends everything.
func (c *Cluster) Stop() {
	for _, daemon := range append(append([]*Daemon{}, c.Routers...), c.Controllers...) {
		select {
		case <-daemon.stop:
		default:
			daemon.Kill()
		}
	}
	for _, r := range c.Runners {
		_ = r.http.Close()
	}
	_ = c.platformHTTP.Close()
}

// RouterAddresses lists where senders go.
func (c *Cluster) RouterAddresses() []string {
	var out []string
	for _, daemon := range c.Routers {
		out = append(out, daemon.Settings.HTTP)
	}
	return out
}

// Bootstrap founds the site with its first three controllers as witnesses. It
// tries again until they know each other.
func (c *Cluster) Bootstrap(within time.Duration) error {
	var names []string
	for _, daemon := range c.Controllers[:3] {
		names = append(names, daemon.Settings.Name)
	}
	body, _ := json.Marshal(map[string]any{"witnesses": names, "backup": names[1]})
	return c.retryFor(within, func() error {
		status, text, err := Call(http.MethodPost, c.Controllers[0].Settings.HTTP, "/found", "", body)
		if err == nil && status != http.StatusOK {
			err = errors.Newf("founding: %s", text)
		}
		return err
	})
}

// SubmitDescription hands a description over to whichever controller is the primary.
func (c *Cluster) SubmitDescription(base string, text []byte, within time.Duration) error {
	return c.retryFor(within, func() error {
		err := errors.New("no controller")
		for _, daemon := range c.Controllers {
			var status int
			var said []byte
			status, said, err = Call(http.MethodPut, daemon.Settings.HTTP, "/description", base, text)
			if err == nil && status == http.StatusOK {
				return nil
			}
			if err == nil {
				err = errors.Newf("%s: %s", daemon.Settings.Name, said)
			}
		}
		return err
	})
}

// WaitReady waits until every router would send.
func (c *Cluster) WaitReady(within time.Duration) error {
	return c.retryFor(within, func() error {
		for _, daemon := range c.Routers {
			status, text, err := Call(http.MethodGet, daemon.Settings.HTTP, "/soundness", "", nil)
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return errors.Newf("%s: %s", daemon.Settings.Name, text)
			}
		}
		return nil
	})
}

// retryFor tries again until there is no error; the time is only a last resort.
func (c *Cluster) retryFor(within time.Duration, try func() error) error {
	end := time.Now().Add(within)
	for {
		err := try()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var httpClient = http.Client{Timeout: 20 * time.Second}

// Call asks a daemon's page.
func Call(method, address, path, base string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if base != "" {
		request.Header.Set("If-Match", fmt.Sprintf("%q", base))
	}
	answer, err := httpClient.Do(request)
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
