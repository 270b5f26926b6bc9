package localcluster

import (
	"net"
	"os"
	"path/filepath"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/settings"
	"myrtlewinch/internal/threads"
)

// seedCount is how many controllers are the seeds of all daemons.
const seedCount = 3

// daemonRuntime runs a daemon's state machine on real sockets and disks.
type daemonRuntime interface {
	AddTasks(*threads.Group)
	Shutdown()
	Pause() (release func())
}

// Daemon is a controller or a router of a cluster.
type Daemon struct {
	Settings settings.Settings

	runtime daemonRuntime
	// stop is closed to stop the daemon; ended is closed when it has stopped.
	stop  chan struct{}
	ended chan struct{}
}

// listeners are the listeners of one daemon, for its peers and for HTTP.
type listeners struct{ peers, http net.Listener }

// startDaemons starts all daemons of the description, with the first
// controllers as seeds.
func (c *Cluster) startDaemons() error {
	controllers := c.Description.Controllers
	members := append(append([]description.Member{}, controllers...), c.Description.Routers...)
	var opened []listeners
	var seeds []string
	for i := range members {
		l, err := c.listenAtReserved()
		if err != nil {
			return err
		}
		opened = append(opened, l)
		if i < min(seedCount, len(controllers)) {
			seeds = append(seeds, l.peers.Addr().String())
		}
	}
	for i, member := range members {
		isController := i < len(controllers)
		daemon, err := c.startDaemon(c.settingsOf(member, isController, seeds, opened[i]), opened[i])
		if err != nil {
			return errors.Wrapf(err, "starting daemon %s", member.Name)
		}
		if isController {
			c.Controllers = append(c.Controllers, daemon)
		} else {
			c.Routers = append(c.Routers, daemon)
		}
	}
	return nil
}

func (c *Cluster) settingsOf(member description.Member, isController bool, seeds []string, l listeners) settings.Settings {
	set := settings.Settings{
		Site: c.Description.Site, Name: member.Name, Zone: member.Zone, Seeds: seeds,
		Address: l.peers.Addr().String(), HTTP: l.http.Addr().String(), Platform: c.platformAddress,
	}
	if isController {
		set.Data = filepath.Join(c.options.Data, member.Name)
	}
	return set
}

// listenAtReserved reserves two ports until the cluster stops, and listens on them.
// Without the reservation another socket could get a port while its daemon is down,
// and the daemon could not be restarted.
func (c *Cluster) listenAtReserved() (listeners, error) {
	var addresses [2]string
	for i := range addresses {
		port, err := reservePort()
		if err != nil {
			return listeners{}, errors.Wrap(err, "reserving a port")
		}
		c.ports = append(c.ports, port)
		addresses[i] = port.address
	}
	return listenAt(addresses[0], addresses[1])
}

// listenAt listens on the two addresses of a daemon.
func listenAt(peers, http string) (listeners, error) {
	forPeers, err := net.Listen("tcp", peers)
	if err != nil {
		return listeners{}, errors.Wrap(err, "listening for peers")
	}
	forHTTP, err := net.Listen("tcp", http)
	if err != nil {
		_ = forPeers.Close()
		return listeners{}, errors.Wrap(err, "listening for HTTP")
	}
	return listeners{peers: forPeers, http: forHTTP}, nil
}

// startDaemon starts a controller, or a router if the settings have no data folder.
func (c *Cluster) startDaemon(set settings.Settings, l listeners) (*Daemon, error) {
	runtime, err := newRuntime(set, l, c.options.Log.WithPrefix(set.Name))
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{Settings: set, runtime: runtime, stop: make(chan struct{}), ended: make(chan struct{})}
	var group threads.Group
	runtime.AddTasks(&group)
	group.StopWhen(daemon.stop)
	threads.Go(func() {
		defer close(daemon.ended)
		// The error is ignored because a killed daemon counts as crashed anyway.
		_ = group.Run()
	})
	return daemon, nil
}

func newRuntime(set settings.Settings, l listeners, logger *log.Logger) (daemonRuntime, error) {
	if set.Data != "" {
		return controller.NewDaemon(set, l.peers, l.http, logger)
	}
	return router.NewServer(set, l.peers, l.http, logger)
}

// Restart restarts a daemon at its addresses after Kill.
func (c *Cluster) Restart(daemon *Daemon) error {
	l, err := listenAt(daemon.Settings.Address, daemon.Settings.HTTP)
	if err != nil {
		return errors.Wrapf(err, "restarting %s", daemon.Settings.Name)
	}
	restarted, err := c.startDaemon(daemon.Settings, l)
	if err != nil {
		return errors.Wrapf(err, "restarting %s", daemon.Settings.Name)
	}
	*daemon = *restarted
	return nil
}

// isRunning reports whether the daemon was not killed.
func (d *Daemon) isRunning() bool {
	select {
	case <-d.stop:
		return false
	default:
		return true
	}
}

// Kill stops a daemon at once, without a graceful shutdown.
func (d *Daemon) Kill() {
	close(d.stop)
	<-d.ended
}

// Shutdown shuts a daemon down gracefully.
func (d *Daemon) Shutdown() {
	d.runtime.Shutdown()
	d.Kill()
}

// Pause pauses a daemon until release is called.
func (d *Daemon) Pause() (release func()) { return d.runtime.Pause() }

// InjectDiskFault replaces the sync function of a controller's disk, to simulate a
// disk that is full, fails or stalls.
func (d *Daemon) InjectDiskFault(sync func(*os.File) error) {
	d.runtime.(*controller.Daemon).OverrideSync(sync)
}
