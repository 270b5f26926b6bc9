package controller

import (
	"net"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/settings"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

const (
	// tickMs is the interval between two ticks of the state machine.
	tickMs = 50
	// flushTime is left for the last messages to be sent at a planned shutdown, such as
	// the one that asks a successor to start an election.
	flushTime = 300 * time.Millisecond
)

// Daemon runs a controller as a process: its state machine in a process.Runtime, and the
// HTTP interface for operators.
type Daemon struct {
	runtime *process.Runtime
	disk    *storage.Store
}

// NewDaemon opens the data folder and creates the controller. Nothing runs before AddTasks.
func NewDaemon(set settings.Settings, peers, web net.Listener, logger *log.Logger) (*Daemon, error) {
	disk, err := storage.Open(set.Data, set.Site)
	if err != nil {
		return nil, err
	}
	rows, clock := disk.Rows(), process.NewClock()
	self := protocol.Node{
		Name: set.Name, Address: set.Address, Zone: set.Zone, Part: protocol.RoleController, Incarnation: rows["incarnation"],
	}
	machine, err := New(Settings{Site: set.Site, Self: self, Seeds: set.Seeds, RunnerListAddress: set.Platform}, rows, clock.NowMs())
	if err != nil {
		disk.Close()
		return nil, err
	}
	d := &Daemon{disk: disk}
	options := process.Options{Site: set.Site, Self: self, Clock: clock, Log: logger, TickMs: tickMs}
	d.runtime = process.New(options, machine, disk, peers, web, d)
	return d, nil
}

// AddTasks adds the goroutines of the controller to a group.
func (d *Daemon) AddTasks(group *threads.Group) { d.runtime.AddTasks(group) }

// Pause stops all work of the controller until release is called, like a frozen process.
func (d *Daemon) Pause() (release func()) { return d.runtime.Pause() }

// OverrideSync replaces the sync function of its disk. A test simulates a full, failing or
// stalled disk with it.
func (d *Daemon) OverrideSync(sync func(*os.File) error) { d.disk.OverrideSync(sync) }

// Shutdown steps down before a planned shutdown, so that the next primary need not wait for
// the lease to expire.
func (d *Daemon) Shutdown() {
	d.runtime.Submit(consensus.Leave{})
	time.Sleep(flushTime)
}
