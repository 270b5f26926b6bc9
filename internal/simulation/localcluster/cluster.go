// Package localcluster runs a whole site in one process, over real TCP on the
// loopback interface and real disks, and writes the settings for running it as
// separate processes.
package localcluster

import (
	"encoding/json"
	"net"
	"net/http"
	"os"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/invariants"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// incarnationPrefix precedes a runner's name in its incarnation.
const incarnationPrefix = "first-"

// Options are the options of a cluster.
type Options struct {
	// Text is the description of the site.
	Text []byte
	// Data is the folder in which the data folders of the controllers are created.
	Data string
	// LoadMs is how long a load takes on a runner.
	LoadMs int64
	// WorkMs is how long a runner takes for a response without streaming, and for each
	// chunk of a streamed response.
	WorkMs int64
	// ChunksPerStream is the number of chunks in each streamed response.
	ChunksPerStream int
	// Log receives the log lines of the daemons, prefixed with their names.
	Log *log.Logger
}

// Cluster is a whole site in one process: its daemons, and stubs of the platform and
// the runners.
type Cluster struct {
	Description *description.Description
	// Clock provides the times of the checker's observations.
	Clock       process.Clock
	Checker     *invariants.Checker
	Platform    *testbackend.Platform
	Controllers []*Daemon
	Routers     []*Daemon
	Runners     []*Runner

	options Options
	// ports are the ports of the daemons, which are reserved until Stop.
	ports           []*reservedPort
	platformAddress string
	platformHTTP    *http.Server
}

// Runner is a stub runner of a cluster.
type Runner struct {
	Name, Address string
	Server        *testbackend.RunnerServer
	http          *http.Server
}

// ReadDescription parses a description. The name of the site is taken from the
// description itself.
func ReadDescription(text []byte) (*description.Description, error) {
	var named struct {
		Site string `json:"site"`
	}
	if err := json.Unmarshal(text, &named); err != nil {
		return nil, errors.Wrap(err, "description")
	}
	d, faults := description.Read(text, named.Site)
	if len(faults) > 0 {
		return nil, errors.Newf("description: %v", faults)
	}
	return d, nil
}

// New starts the platform, the runners and the daemons, but does not bootstrap the
// site.
func New(options Options) (*Cluster, error) {
	d, err := ReadDescription(options.Text)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Description: d,
		Clock:       process.NewClock(),
		Checker:     invariants.New(d.Store.LoadsPer10s, d.RetryAllowance),
		Platform:    testbackend.NewPlatform(),
		options:     options,
	}
	if err := c.startPlatform(); err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	for _, runner := range d.Runners {
		if err := c.startRunner(runner); err != nil {
			return nil, errors.Wrapf(err, "starting runner %s", runner.Name)
		}
	}
	return c, c.startDaemons()
}

// listen listens on any free port of the loopback interface.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (c *Cluster) startPlatform() error {
	listener, err := listen()
	if err != nil {
		return err
	}
	c.platformAddress = listener.Addr().String()
	c.platformHTTP = &http.Server{Handler: c.Platform}
	threads.Go(func() { _ = c.platformHTTP.Serve(listener) })
	return nil
}

func (c *Cluster) startRunner(described description.Runner) error {
	listener, err := listen()
	if err != nil {
		return err
	}
	incarnation := incarnationPrefix + described.Name
	backend := testbackend.NewRunner(described.Name, incarnation, described.Capacity, c.options.LoadMs, c.Checker)
	server := testbackend.NewRunnerServer(backend, c.Clock.NowMs, c.options.WorkMs, c.options.ChunksPerStream)
	runner := &Runner{
		Name: described.Name, Address: listener.Addr().String(),
		Server: server, http: &http.Server{Handler: server},
	}
	threads.Go(func() { _ = runner.http.Serve(listener) })
	c.Runners = append(c.Runners, runner)
	c.Platform.Put(protocol.ListedRunner{Name: runner.Name, Address: runner.Address, Incarnation: incarnation})
	return nil
}

// Daemons returns the controllers, followed by the routers.
func (c *Cluster) Daemons() []*Daemon {
	return append(append([]*Daemon{}, c.Controllers...), c.Routers...)
}

// KillAll kills every daemon.
func (c *Cluster) KillAll() {
	for _, daemon := range c.Daemons() {
		daemon.Kill()
	}
}

// RestartAll restarts every daemon after KillAll.
func (c *Cluster) RestartAll() error {
	for _, daemon := range c.Daemons() {
		if err := c.Restart(daemon); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills the running daemons, and closes the runners and the platform.
func (c *Cluster) Stop() {
	for _, daemon := range append(append([]*Daemon{}, c.Routers...), c.Controllers...) {
		if daemon.isRunning() {
			daemon.Kill()
		}
	}
	for _, runner := range c.Runners {
		_ = runner.http.Close()
	}
	_ = c.platformHTTP.Close()
	for _, port := range c.ports {
		port.release()
	}
}

// RouterAddresses returns the HTTP addresses of the routers.
func (c *Cluster) RouterAddresses() []string {
	var addresses []string
	for _, daemon := range c.Routers {
		addresses = append(addresses, daemon.Settings.HTTP)
	}
	return addresses
}

// TempData creates a temporary data folder and returns it with a function that removes
// it.
func TempData() (folder string, remove func(), err error) {
	folder, err = os.MkdirTemp("", "myrtlewinch-")
	return folder, func() { _ = os.RemoveAll(folder) }, err
}
