// Command myrtlewinch runs one daemon of a site on the operators' platform: a
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
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
	"myrtlewinch/platform"
)

// gcPercent makes the garbage collector run often: memory is scarce, and most objects are
// short-lived.
const gcPercent = 50

func main() {
	cli.Setup("myrtlewinch", "Runs one daemon of a site: a router or a controller.")
	var file string
	router := flaggy.NewSubcommand("router")
	router.Description = "forward clients' requests to runners"
	controller := flaggy.NewSubcommand("controller")
	controller.Description = "accept configurations, read the runner list and order loads"
	for _, command := range []*flaggy.Subcommand{router, controller} {
		command.String(&file, "s", "settings", "settings file (YAML); by default the file that the platform provides")
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
		cli.UsageError("a subcommand must be given: router or controller")
	}
}

// run runs a daemon until it gets a signal to stop.
func run(role, file string, newDaemon func(platform.Settings, *log.Logger) (siteDaemon, error)) {
	// Before anything else: an unhandled SIGHUP would end the program.
	hangups := notifySignal(syscall.SIGHUP)
	settings, err := platform.LoadSettings(file)
	if err != nil {
		cli.UsageError("%v", err)
	}
	logger := cli.NewLogger(role + " " + settings.Name)
	defer logPanic(logger)
	limitResources(settings.MemoryMb)
	daemon, err := newDaemon(settings, logger)
	if err != nil {
		cli.Fatal("%v", err)
	}
	var group threads.Group
	daemon.AddTasks(&group)
	group.StopOnSignal(daemon.Shutdown)
	newSettingsWatcher(file, settings, daemon, logger).addTasks(&group, hangups)
	logger.Info("running", "address", settings.PeerAddress())
	if err := group.Run(); err != nil {
		cli.Fatal("%v", err)
	}
	logger.Info("stopped")
}

// logPanic logs a panic and ends the process. It must be deferred.
func logPanic(logger *log.Logger) {
	if cause := recover(); cause != nil {
		logger.Error("panic", "cause", cause, "stack", string(debug.Stack()))
		os.Exit(cli.ExitFailed)
	}
}

// limitResources sets the Go runtime's memory limit and its garbage collection, and
// lets only one thread at a time execute Go code.
func limitResources(memoryMb int) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(memoryMb) * memory.RuntimeShare * (1 << 20)))
}

func notifySignal(which os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, which)
	return signals
}
