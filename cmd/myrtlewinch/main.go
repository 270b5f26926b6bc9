// Program myrtlewinch runs one process of a site on the users' platform: a
// router on an edge machine, or a controller on a core machine.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
	"myrtlewinch/internal/threads"
	"myrtlewinch/platform"
)

// site is the name that all processes of one site share. A deployment has
// one site, so any name does.
const site = "platform"

const (
	// heapPart is the part of the process's memory that the heap may take
	// before it is collected without regard to the processor.
	heapPart = 0.7
	// gcPercent collects often: memory is dear, and little of it lives long.
	gcPercent = 50
)

// part is a process of a site that can be told of changed settings.
type part interface {
	cli.Daemon
	Reseed(seeds []string)
}

func main() {
	cli.Setup("myrtlewinch", "Runs one process of a site: a router or a controller.")
	var file string
	router := flaggy.NewSubcommand("router")
	router.Description = "take requests and send them to runners"
	controller := flaggy.NewSubcommand("controller")
	controller.Description = "take service maps, list runners and order loads"
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

func run(name, file string, make func(platform.Settings, *log.Logger) (part, error)) {
	// Heard from the start on: unheard, the signal would end the program.
	hangups := signalled(syscall.SIGHUP)
	place, err := platform.LoadSettings(file)
	if err != nil {
		cli.UsageError("%v", err)
	}
	logger := cli.NewLogger(name + " " + place.Name)
	defer func() {
		if cause := recover(); cause != nil {
			logger.Error("panic", "cause", cause, "stack", string(debug.Stack()))
			os.Exit(cli.ExitFailed)
		}
	}()
	thrift(place.MemoryMb)
	made, err := make(place, logger)
	if err != nil {
		cli.Fatal("%v", err)
	}
	var c threads.Group
	made.AddTasks(&c)
	c.StopOnSignal(made.Shutdown)
	newReload(file, place, made, logger).join(&c, hangups)
	logger.Info("running", "address", place.PeerAddress())
	if err := c.Run(); err != nil {
		cli.Fatal("%v", err)
	}
	logger.Info("stopped")
}

// thrift keeps the process within its memory and its one thread at a time.
func thrift(memoryMb int) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(memoryMb) * heapPart * (1 << 20)))
}

func signalled(which os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, which)
	return signals
}

// listen opens an address of the settings.
func listen(field, address string) (net.Listener, error) {
	at, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, field)
	}
	return at, nil
}

// self is this process as its peers know it.
func self(place platform.Settings, part string) protocol.Node {
	return protocol.Node{Name: place.Name, Address: place.PeerAddress(), Zone: place.Zone, Part: part}
}

func newRouter(place platform.Settings, logger *log.Logger) (part, error) {
	if !place.ServesClients() {
		return nil, errors.New("a router must serve clients; the settings say it does not")
	}
	token := make([]byte, 8)
	if _, err := rand.Read(token); err != nil {
		return nil, err
	}
	me := self(place, protocol.RoleRouter)
	// A router keeps nothing, so each start is another.
	me.Incarnation = hex.EncodeToString(token)
	peers, err := listen("for peers", place.PeerAddress())
	if err != nil {
		return nil, err
	}
	front, err := listen("for clients", place.ClientAddress)
	if err != nil {
		return nil, err
	}
	ready, err := listen("for the platform", place.ReadinessAddress)
	if err != nil {
		return nil, err
	}
	return proxy.NewServer(proxy.Settings{
		Site: site, Self: me, Seeds: place.PeerSeeds(), Bounds: place.Bounds, ListAddress: place.RunnerList.Address,
		MemoryMb: place.MemoryMb, OpenFiles: place.OpenFiles,
	}, platform.Codec{}, platform.ConfigFormat{}, platform.Client{}, peers, front, ready, logger)
}

func newController(place platform.Settings, logger *log.Logger) (part, error) {
	if !place.ServesOperators() {
		return nil, errors.New("a controller must serve operators; the settings say it does not")
	}
	_, port, err := net.SplitHostPort(place.OperatorAddress)
	if err != nil {
		return nil, err
	}
	peers, err := listen("for peers", place.PeerAddress())
	if err != nil {
		return nil, err
	}
	web, err := listen("for operators", place.OperatorAddress)
	if err != nil {
		return nil, err
	}
	return controller.NewDaemon(controller.DaemonSettings{
		Site: site, Self: self(place, protocol.RoleController), Seeds: place.PeerSeeds(), Losses: place.MaxLosses,
		FirstStart: place.FirstStart, Bounds: place.Bounds, ListAddress: place.RunnerList.Address,
		ListPerSec: place.RunnerList.CallsPerSec, ControlPort: port, Data: place.DataFolder,
	}, platform.ConfigFormat{}, platform.Client{}, func(shell *process.Runtime) http.Handler {
		return platform.OperatorHandler(shell, place.Bounds.AckMs)
	}, peers, web, logger)
}
