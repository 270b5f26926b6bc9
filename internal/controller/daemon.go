package controller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

const (
	tickMs    = 50
	leaveWait = 300 * time.Millisecond
)

// endMs is kept of a planned stop's grace for all but the hand-over: the last
// messages, open calls of operators, the end of the process.
const endMs = 1500

// LeaveTimeoutMs is how long, in ms, a planned stop may take to hand over: a successor
// that has just begun is whole after the catch-up time, and the platform ends
// the process after its grace.
func ShutdownHandoverMs(b bounds.Bounds) int64 {
	return max(leaveWait.Milliseconds(), min(b.CatchUpMs, b.GraceMs-endMs))
}

// DaemonSettings is the place of a controller process.
type DaemonSettings struct {
	Site  string
	Self  protocol.Node
	Seeds []string
	// Losses is how many disks may be lost at once.
	Losses     int
	FirstStart bool
	Bounds     bounds.Bounds
	// ListAddress is where the platform lists runners, ListPerSec how many
	// calls a second it takes from all daemons.
	ListAddress string
	ListPerSec  float64
	ControlPort string
	Data        string
}

// Daemon is a controller as a process: its machine in a shell.
type Daemon struct {
	shell *process.Runtime
	// doors are the pages that operators use.
	doors http.Handler
	// seeds are those of the settings as they are now.
	seeds atomic.Pointer[[]string]
	// handOver bounds a planned stop's hand-over.
	handOver time.Duration
}

// NewDaemon opens the data folder and makes the controller; nothing runs yet.
// Doors makes the pages that operators use.
func NewDaemon(set DaemonSettings, format ConfigFormat, exchanger process.OutboundCaller, doors func(*process.Runtime) http.Handler, peers, web net.Listener, logger *log.Logger) (*Daemon, error) {
	clock := process.NewClock()
	machine, d, err := set.machine(storage.Open, format, clock)
	if err != nil {
		return nil, err
	}
	set.Self.Part, set.Self.Incarnation = protocol.RoleController, d.Rows()["incarnation"]
	o := &Daemon{handOver: time.Duration(ShutdownHandoverMs(set.Bounds)) * time.Millisecond}
	o.seeds.Store(&set.Seeds)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { o.doors.ServeHTTP(w, r) })
	o.shell = process.New(process.Options{
		Site: set.Site, Self: set.Self, Clock: clock, Log: logger, TickMs: tickMs, Caller: exchanger,
		Reopen: func() (process.Machine, *storage.Store, error) {
			return o.anew(set).machine(storage.Reopen, format, clock)
		},
	}, machine, d, peers, web, handler)
	o.doors = doors(o.shell)
	return o, nil
}

// anew is what a machine knows that begins anew in the same process.
func (o *Daemon) anew(set DaemonSettings) DaemonSettings {
	// A site is founded at its first start alone.
	set.FirstStart = false
	set.Seeds = *o.seeds.Load()
	return set
}

// machine opens the data folder and makes a controller from what it holds.
func (set DaemonSettings) machine(open func(folder, site string) (*storage.Store, error), format ConfigFormat, clock process.Clock) (process.Machine, *storage.Store, error) {
	d, err := open(set.Data, set.Site)
	if err != nil {
		return nil, nil, err
	}
	keys := d.Rows()
	set.Self.Part, set.Self.Incarnation = protocol.RoleController, keys["incarnation"]
	tenant := New(Settings{
		Self: set.Self, Bounds: set.Bounds, ListAddress: set.ListAddress, ListPerSec: set.ListPerSec, ControlPort: set.ControlPort,
	}, format)
	machine, err := consensus.New(consensus.Settings{
		Site: set.Site, Self: set.Self, Seeds: set.Seeds, Application: tenant, MaxLosses: set.Losses, FirstStart: set.FirstStart,
		// A holder's order may be a moment on its way.
		GapMs: set.Bounds.LeaseMs + set.Bounds.ThawMs,
		// The next loss may come once a lost machine is back for this long.
		WitnessTimeoutMs: consensus.WitnessTimeoutFor(set.Bounds.CatchUpMs),
		ReplicaGraceMs:   consensus.ReplicaGraceFor(set.Bounds.CatchUpMs),
		Timing:           consensus.TimingFor(set.Bounds.CatchUpMs),
		LeaveTimeoutMs:   ShutdownHandoverMs(set.Bounds),
	}, keys, clock.NowMs())
	if err != nil {
		d.Close()
		return nil, nil, err
	}
	return machine, d, nil
}

// AddTasks adds the controller's duties to a crew.
func (o *Daemon) AddTasks(c *threads.Group) { o.shell.AddTasks(c) }

// Shutdown hands the copy, the vote and the primacy of this daemon to others
// before a planned stop, as far as there are any and within LeaveTimeoutMs.
func (o *Daemon) Shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), o.handOver+leaveWait)
	defer cancel()
	o.shell.Call(ctx, func(id uint64) any { return consensus.Leave{ID: id} })
	// The last messages, such as the word to the next primary, are on their way.
	time.Sleep(leaveWait)
}

// Reseed takes the seeds of changed settings.
func (o *Daemon) Reseed(seeds []string) {
	o.seeds.Store(&seeds)
	o.shell.Submit(consensus.SetSeeds{Seeds: seeds})
}
