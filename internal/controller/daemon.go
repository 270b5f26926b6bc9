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
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

const (
	// tickMs is the time between two ticks of the state machine.
	tickMs = 50
	// flushTime is reserved at a planned shutdown for sending the last messages,
	// such as the TransferPrimary to the next primary.
	flushTime = 300 * time.Millisecond
	// exitMs is the part of the grace time of a planned shutdown that is reserved
	// for what follows the handover: sending the last messages, finishing open
	// requests of operators and exiting.
	exitMs = 1500
	// incarnationRow is the row of the data folder that holds its incarnation.
	// Package storage writes it when it creates the folder.
	incarnationRow = "incarnation"
)

// ShutdownHandoverMs returns how long, in ms, the handover of a planned shutdown may
// take. A replacement that starts now has caught up after the catch-up time, and
// the platform kills the process after the grace time.
func ShutdownHandoverMs(b bounds.Bounds) int64 {
	return max(flushTime.Milliseconds(), min(b.CatchUpMs, b.GraceMs-exitMs))
}

// DaemonSettings are the parameters of a controller process. NewDaemon sets
// Self.Part and Self.Incarnation.
type DaemonSettings struct {
	Settings
	// Site is the name that all processes of the site share.
	Site string
	// Seeds are the addresses of controllers through which peers are discovered.
	Seeds []string
	// MaxLosses is how many disks may be lost at the same time.
	MaxLosses int
	// FirstStart is true if this is the first start of the site, at which its seeds
	// bootstrap it.
	FirstStart bool
	DataFolder string
	// MemoryMb and OpenFiles are the limits of the process; 0 means the default.
	MemoryMb, OpenFiles int
}

// Daemon runs the state machine of a controller in a process.Runtime.
type Daemon struct {
	runtime *process.Runtime
	// operatorAPI serves operators.
	operatorAPI http.Handler
	// seeds are the seeds in the current settings file.
	seeds atomic.Pointer[[]string]
	// handoverTimeout bounds the handover of a planned shutdown.
	handoverTimeout time.Duration
}

// NewDaemon opens the data folder and returns the controller's daemon. No goroutine
// starts before AddTasks. The caller makes the calls to the platform and its runners;
// newOperatorAPI returns the handler that serves operators at the web listener.
func NewDaemon(
	settings DaemonSettings, format ConfigFormat, caller process.OutboundCaller,
	newOperatorAPI func(*process.Runtime) http.Handler, peers, web net.Listener, logger *log.Logger,
) (*Daemon, error) {
	clock := process.NewClock()
	machine, store, err := settings.openMachine(settings.openStore, format, clock)
	if err != nil {
		return nil, err
	}
	settings.identify(store)
	d := &Daemon{handoverTimeout: time.Duration(ShutdownHandoverMs(settings.Bounds)) * time.Millisecond}
	d.seeds.Store(&settings.Seeds)
	// The API needs the runtime and the runtime needs a handler, so the handler
	// reads d.operatorAPI when it is called.
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.operatorAPI.ServeHTTP(w, r) })
	d.runtime = process.New(process.Options{
		Site: settings.Site, Self: settings.Self, Clock: clock, Log: logger, TickMs: tickMs, Caller: caller,
		Account: memory.NewAccount(memory.LimitFor(settings.MemoryMb)), OpenFiles: settings.OpenFiles,
		Reopen: func() (process.Machine, *storage.Store, error) {
			return d.restartSettings(settings).openMachine(storage.Reopen, format, clock)
		},
	}, machine, store, peers, web, handler)
	d.operatorAPI = newOperatorAPI(d.runtime)
	return d, nil
}

// restartSettings returns the settings for a state machine that is restarted within
// the same process, for example after a disk failure.
func (d *Daemon) restartSettings(settings DaemonSettings) DaemonSettings {
	// A restart within the process is never the first start of the site.
	settings.FirstStart = false
	settings.Seeds = *d.seeds.Load()
	return settings
}

// openMachine opens the data folder and restores the state machine from it.
func (s DaemonSettings) openMachine(
	open func(folder, site string) (*storage.Store, error), format ConfigFormat, clock process.Clock,
) (process.Machine, *storage.Store, error) {
	store, err := open(s.DataFolder, s.Site)
	if err != nil {
		return nil, nil, err
	}
	s.identify(store)
	machine, err := consensus.New(s.consensusSettings(format), store.Rows(), clock.NowMs())
	if err != nil {
		store.Close()
		return nil, nil, err
	}
	return machine, store, nil
}

// openStore opens the data folder at the start of the process.
func (s DaemonSettings) openStore(folder, site string) (*storage.Store, error) {
	if s.FirstStart {
		return storage.OpenInitial(folder, site, consensus.InitialRows())
	}
	return storage.Open(folder, site)
}

// identify sets the role and the incarnation of Self. The data folder holds the
// incarnation.
func (s *DaemonSettings) identify(store *storage.Store) {
	s.Self.Part, s.Self.Incarnation = protocol.RoleController, store.Rows()[incarnationRow]
}

func (s DaemonSettings) consensusSettings(format ConfigFormat) consensus.Settings {
	return consensus.Settings{
		Site: s.Site, Self: s.Self, Seeds: s.Seeds, MaxLosses: s.MaxLosses, FirstStart: s.FirstStart,
		Application: New(s.Settings, format),
		// An order may be delivered this long after the lease of its sender expired.
		OrderDelayMs: s.Bounds.LeaseMs + s.Bounds.ThawMs,
		// After a lost machine has been back for CatchUpMs, another machine may be lost.
		WitnessTimeoutMs: consensus.WitnessTimeoutFor(s.Bounds.CatchUpMs),
		ReplicaGraceMs:   consensus.ReplicaGraceFor(s.Bounds.CatchUpMs),
		Timing:           consensus.TimingFor(s.Bounds.CatchUpMs),
		LeaveTimeoutMs:   ShutdownHandoverMs(s.Bounds),
	}
}

// AddTasks adds the goroutines of the controller to the group.
func (d *Daemon) AddTasks(group *threads.Group) { d.runtime.AddTasks(group) }

// Shutdown transfers the roles of this process as replica, witness and primary to
// others before a planned shutdown. It returns even if no other daemon takes
// them: the handover is bounded by ShutdownHandoverMs.
func (d *Daemon) Shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), d.handoverTimeout+flushTime)
	defer cancel()
	d.runtime.Call(ctx, func(id uint64) protocol.Input { return consensus.Leave{ID: id} })
	time.Sleep(flushTime)
}

// SetSeeds replaces the seeds with those of a changed settings file.
func (d *Daemon) SetSeeds(seeds []string) {
	d.seeds.Store(&seeds)
	d.runtime.Submit(consensus.SetSeeds{Seeds: seeds})
}
