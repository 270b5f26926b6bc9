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
	// tickMs is the time between two ticks of the machine.
	tickMs = 50
	// flushTime is left at a planned stop to send the last messages, such as
	// the TransferPrimary to the next primary.
	flushTime = 300 * time.Millisecond
	// exitMs is the part of a planned stop's grace time that is kept for all but
	// the handover: last messages, open calls of operators, the process's end.
	exitMs = 1500
	// incarnationRow is the row of the data folder that has its incarnation. The
	// storage writes it when it makes the folder.
	incarnationRow = "incarnation"
)

// ShutdownHandoverMs is how long, in ms, a planned stop may take to hand over.
// A replacement that starts now is complete after the catch-up time, and the
// platform kills the process after its grace time.
func ShutdownHandoverMs(b bounds.Bounds) int64 {
	return max(flushTime.Milliseconds(), min(b.CatchUpMs, b.GraceMs-exitMs))
}

// DaemonSettings is what a controller process is started with. NewDaemon sets
// Self.Part and Self.Incarnation.
type DaemonSettings struct {
	Settings
	// Site is the name that all processes of the site share.
	Site string
	// Seeds are the addresses of controllers at which peers are looked for.
	Seeds []string
	// MaxLosses is how many disks may be lost at the same time.
	MaxLosses int
	// FirstStart says that this is the first start of the site, at which its
	// seeds bootstrap it.
	FirstStart bool
	DataFolder string
}

// Daemon is a controller as a process: its state machine in a process.Runtime.
type Daemon struct {
	runtime *process.Runtime
	// operatorAPI serves operators.
	operatorAPI http.Handler
	// seeds are those of the settings file as it is now.
	seeds atomic.Pointer[[]string]
	// handoverTimeout bounds the handover of a planned stop.
	handoverTimeout time.Duration
}

// NewDaemon opens the data folder and makes the controller. Nothing runs before
// AddTasks. The caller makes the calls to the platform and its runners;
// newOperatorAPI makes the handler that serves operators at the web listener.
func NewDaemon(
	settings DaemonSettings, format ConfigFormat, caller process.OutboundCaller,
	newOperatorAPI func(*process.Runtime) http.Handler, peers, web net.Listener, logger *log.Logger,
) (*Daemon, error) {
	clock := process.NewClock()
	machine, store, err := settings.openMachine(storage.Open, format, clock)
	if err != nil {
		return nil, err
	}
	settings.identify(store)
	d := &Daemon{handoverTimeout: time.Duration(ShutdownHandoverMs(settings.Bounds)) * time.Millisecond}
	d.seeds.Store(&settings.Seeds)
	// The API needs the runtime and the runtime needs a handler, so the handler
	// looks the API up when it is called.
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.operatorAPI.ServeHTTP(w, r) })
	d.runtime = process.New(process.Options{
		Site: settings.Site, Self: settings.Self, Clock: clock, Log: logger, TickMs: tickMs, Caller: caller,
		Reopen: func() (process.Machine, *storage.Store, error) {
			return d.restartSettings(settings).openMachine(storage.Reopen, format, clock)
		},
	}, machine, store, peers, web, handler)
	d.operatorAPI = newOperatorAPI(d.runtime)
	return d, nil
}

// restartSettings returns the settings for a machine that is restarted within
// the same process, as after a fault of the disk.
func (d *Daemon) restartSettings(settings DaemonSettings) DaemonSettings {
	// A restart within the process is never the first start of the site.
	settings.FirstStart = false
	settings.Seeds = *d.seeds.Load()
	return settings
}

// openMachine opens the data folder and makes a machine from what it holds.
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

// identify completes Self with the incarnation of the data folder.
func (s *DaemonSettings) identify(store *storage.Store) {
	s.Self.Part, s.Self.Incarnation = protocol.RoleController, store.Rows()[incarnationRow]
}

func (s DaemonSettings) consensusSettings(format ConfigFormat) consensus.Settings {
	return consensus.Settings{
		Site: s.Site, Self: s.Self, Seeds: s.Seeds, MaxLosses: s.MaxLosses, FirstStart: s.FirstStart,
		Application: New(s.Settings, format),
		// An order may be delivered this long after the holder's lease ended.
		GapMs: s.Bounds.LeaseMs + s.Bounds.ThawMs,
		// The next loss may come once a lost machine is back for this long.
		WitnessTimeoutMs: consensus.WitnessTimeoutFor(s.Bounds.CatchUpMs),
		ReplicaGraceMs:   consensus.ReplicaGraceFor(s.Bounds.CatchUpMs),
		Timing:           consensus.TimingFor(s.Bounds.CatchUpMs),
		LeaveTimeoutMs:   ShutdownHandoverMs(s.Bounds),
	}
}

// AddTasks adds the goroutines of the controller to a group.
func (d *Daemon) AddTasks(group *threads.Group) { d.runtime.AddTasks(group) }

// Shutdown hands the replica, the vote and the primacy of this process over to
// others before a planned stop. It returns after ShutdownHandoverMs at the
// latest, whether or not there were others.
func (d *Daemon) Shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), d.handoverTimeout+flushTime)
	defer cancel()
	d.runtime.Call(ctx, func(id uint64) protocol.Input { return consensus.Leave{ID: id} })
	time.Sleep(flushTime)
}

// SetSeeds replaces the seeds by those of a changed settings file.
func (d *Daemon) SetSeeds(seeds []string) {
	d.seeds.Store(&seeds)
	d.runtime.Submit(consensus.SetSeeds{Seeds: seeds})
}
