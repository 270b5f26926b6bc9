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

// seedCount is how many controllers the daemons know by address from the start.
const seedCount = 3

// daemonShell is what runs a daemon's state machine on real sockets and disks.
type daemonShell interface {
	AddTasks(*threads.Group)
	Shutdown()
	Pause() (release func())
}

// Daemon is a controller or a router of a cluster.
type Daemon struct {
	Settings settings.Settings

	shell daemonShell
	// stop is closed to end the daemon; ended is closed once it has ended.
	stop  chan struct{}
	ended chan struct{}
}

// listeners are those of one daemon: for its peers and for HTTP.
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
			return errors.Wrapf(err, "daemon %s", member.Name)
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

// listenAtReserved reserves two ports until the cluster stops, and listens at
// them. Otherwise another socket could take a port while its daemon is down,
// and the daemon could not be restarted.
func (c *Cluster) listenAtReserved() (listeners, error) {
	var addresses [2]string
	for i := range addresses {
		port, err := reservePort()
		if err != nil {
			return listeners{}, errors.Wrap(err, "reserve a port")
		}
		c.ports = append(c.ports, port)
		addresses[i] = port.address
	}
	return listenAt(addresses[0], addresses[1])
}

// listenAt listens at the two addresses of a daemon.
func listenAt(peers, http string) (listeners, error) {
	forPeers, err := net.Listen("tcp", peers)
	if err != nil {
		return listeners{}, errors.Wrap(err, "listen for peers")
	}
	forHTTP, err := net.Listen("tcp", http)
	if err != nil {
		_ = forPeers.Close()
		return listeners{}, errors.Wrap(err, "listen for HTTP")
	}
	return listeners{peers: forPeers, http: forHTTP}, nil
}

// startDaemon starts a controller, or a router if there is no data folder.
func (c *Cluster) startDaemon(set settings.Settings, l listeners) (*Daemon, error) {
	shell, err := newShell(set, l, c.options.Log.WithPrefix(set.Name))
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{Settings: set, shell: shell, stop: make(chan struct{}), ended: make(chan struct{})}
	var group threads.Group
	shell.AddTasks(&group)
	group.StopWhen(daemon.stop)
	threads.Go(func() {
		defer close(daemon.ended)
		// A daemon that is killed ends like a lost process, whatever it returns.
		_ = group.Run()
	})
	return daemon, nil
}

func newShell(set settings.Settings, l listeners, logger *log.Logger) (daemonShell, error) {
	if set.Data != "" {
		return controller.NewDaemon(set, l.peers, l.http, logger)
	}
	return router.NewServer(set, l.peers, l.http, logger)
}

// Restart starts a daemon again at its addresses, after Kill.
func (c *Cluster) Restart(daemon *Daemon) error {
	l, err := listenAt(daemon.Settings.Address, daemon.Settings.HTTP)
	if err != nil {
		return errors.Wrapf(err, "restart %s", daemon.Settings.Name)
	}
	again, err := c.startDaemon(daemon.Settings, l)
	if err != nil {
		return errors.Wrapf(err, "restart %s", daemon.Settings.Name)
	}
	*daemon = *again
	return nil
}

// running reports whether the daemon was not killed yet.
func (d *Daemon) running() bool {
	select {
	case <-d.stop:
		return false
	default:
		return true
	}
}

// Kill ends a daemon at once, like a lost process.
func (d *Daemon) Kill() {
	close(d.stop)
	<-d.ended
}

// Shutdown stops a daemon gracefully.
func (d *Daemon) Shutdown() {
	d.shell.Shutdown()
	d.Kill()
}

// Pause stops a daemon where it is until it is released.
func (d *Daemon) Pause() (release func()) { return d.shell.Pause() }

// InjectDiskFault replaces what a controller's disk does for a sync, so that it
// behaves as a full, failing or stalling one.
func (d *Daemon) InjectDiskFault(sync func(*os.File) error) {
	d.shell.(*controller.Daemon).OverrideSync(sync)
}
