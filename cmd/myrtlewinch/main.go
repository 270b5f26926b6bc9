// Program myrtlewinch runs one process of a site on the users' platform: a
// router on an edge machine, or a controller on a core machine.
package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
	"myrtlewinch/platform"
)

const (
	// heapShare is the share of the process's memory that the heap may use
	// before the collector runs whatever it costs.
	heapShare = 0.7
	// gcPercent makes the collector run often: memory is scarce, and little of
	// what is allocated lives long.
	gcPercent = 50
)

func main() {
	cli.Setup("myrtlewinch", "Runs one process of a site: a router or a controller.")
	var file string
	router := flaggy.NewSubcommand("router")
	router.Description = "take requests and send them to runners"
	controller := flaggy.NewSubcommand("controller")
	controller.Description = "take configurations, list runners and order loads"
	for _, command := range []*flaggy.Subcommand{router, controller} {
		command.String(&file, "s", "settings", "settings file (YAML); the platform's own where it is left out")
		flaggy.AttachSubcommand(command, 1)
	}
	cli.Parse()
	if file == "" {
		file = platform.SettingsPath()
	}
	switch {
	case router.Used:
		run(protocol.RoleRouter, file, newRouter)
	case controller.Used:
		run(protocol.RoleController, file, newController)
	default:
		cli.UsageError("which part to run must be given: router or controller")
	}
}

// run runs a process until it gets a signal to stop.
func run(role, file string, newProcess func(platform.Settings, *log.Logger) (siteProcess, error)) {
	// Before anything else: an unhandled SIGHUP would end the program.
	hangups := notifySignal(syscall.SIGHUP)
	settings, err := platform.LoadSettings(file)
	if err != nil {
		cli.UsageError("%v", err)
	}
	logger := cli.NewLogger(role + " " + settings.Name)
	defer logPanic(logger)
	limitResources(settings.MemoryMb)
	process, err := newProcess(settings, logger)
	if err != nil {
		cli.Fatal("%v", err)
	}
	var group threads.Group
	process.AddTasks(&group)
	group.StopOnSignal(process.Shutdown)
	newSettingsWatcher(file, settings, process, logger).addTasks(&group, hangups)
	logger.Info("running", "address", settings.PeerAddress())
	if err := group.Run(); err != nil {
		cli.Fatal("%v", err)
	}
	logger.Info("stopped")
}

// logPanic is to be deferred. It logs a panic and ends the process.
func logPanic(logger *log.Logger) {
	if cause := recover(); cause != nil {
		logger.Error("panic", "cause", cause, "stack", string(debug.Stack()))
		os.Exit(cli.ExitFailed)
	}
}

// limitResources keeps the process within its memory and to one thread that runs
// Go code at a time.
func limitResources(memoryMb int) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(memoryMb) * heapShare * (1 << 20)))
}

func notifySignal(which os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, which)
	return signals
}
