// Package cli has what the programs under cmd share: the command line, exit codes,
// logging, and running a daemon.
package cli

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/listener"
	"myrtlewinch/internal/settings"
	"myrtlewinch/internal/threads"
)

// The exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage means that flags or settings are invalid.
	ExitUsage = 2
)

// headerTimeout bounds how long Serve waits for the header of a request.
const headerTimeout = 5 * time.Second

// Setup prepares the command line. Flags are registered after it, and Parse
// reads them.
func Setup(name, description string) {
	flaggy.ResetParser()
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.SetVersion(settings.Version)
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
}

// Parse reads the command line. It ends the program on an unknown flag or
// argument.
func Parse() {
	flaggy.Parse()
	// Every value belongs to a flag, so an argument on its own is a mistake.
	if extra := flaggy.TrailingArguments; len(extra) > 0 {
		UsageError("unexpected argument %q", extra[0])
	}
}

// UsageError ends the program because its flags or settings are invalid.
func UsageError(format string, args ...any) { exit(ExitUsage, format, args...) }

// Fatal ends the program because its task failed.
func Fatal(format string, args ...any) { exit(ExitFailed, format, args...) }

func exit(code int, format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%s: %s\n", flaggy.DefaultParser.Name, fmt.Sprintf(format, args...))
	os.Exit(code)
}

// NewLogger returns a logger that writes lines with a prefix to standard error.
func NewLogger(prefix string) *log.Logger {
	return log.NewWithOptions(os.Stderr, log.Options{Prefix: prefix, ReportTimestamp: true, TimeFormat: time.RFC3339})
}

// Daemon is a controller or a router.
type Daemon interface {
	// AddTasks adds the daemon's goroutines to a group.
	AddTasks(*threads.Group)
	// Shutdown prepares a planned shutdown. The tasks end after Shutdown returns.
	Shutdown()
}

// NewDaemon creates a daemon that serves peers and HTTP at these listeners.
type NewDaemon func(s settings.Settings, peers, web net.Listener, logger *log.Logger) (Daemon, error)

// Run reads the settings, and runs a daemon until a signal stops it. hasData is true
// if the daemon has a data folder.
func Run(role string, hasData bool, flags *settings.Flags, newDaemon NewDaemon) {
	Parse()
	s, err := flags.Read(hasData)
	if err != nil {
		UsageError("%v", err)
	}
	logger := NewLogger(role + " " + s.Name)
	peers, web := listenAt("address", s.Address, listener.PeerBufferBytes), listenAt("http", s.HTTP, listener.ClientBufferBytes)
	daemon, err := newDaemon(s, peers, web, logger)
	if err != nil {
		Fatal("%v", err)
	}
	var group threads.Group
	daemon.AddTasks(&group)
	group.StopOnSignal(daemon.Shutdown)
	logger.Info("running", "address", s.Address, "http", s.HTTP, "version", settings.Version)
	if err := group.Run(); err != nil {
		Fatal("%v", err)
	}
	logger.Info("stopped")
}

// Listen listens on the address that a flag gives, or ends the program.
func Listen(flag, address string) net.Listener {
	if address == "" {
		UsageError("%s: must be given", flag)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		UsageError("%s: %q is not IP:port", flag, address)
	}
	return listenAt(flag, address, listener.ClientBufferBytes)
}

func listenAt(flag, address string, bufferBytes int) net.Listener {
	opened, err := listener.Listen(address, bufferBytes, 0)
	if err != nil {
		Fatal("%s: %v", flag, err)
	}
	return opened
}

// Serve serves a handler until a signal stops the program.
func Serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	var group threads.Group
	group.Add(func() error { return server.Serve(listener) }, func() { _ = server.Close() })
	group.StopOnSignal(nil)
	if err := group.Run(); err != nil && err != http.ErrServerClosed {
		Fatal("%v", err)
	}
}

// SplitList splits the value of a flag at its commas and leaves out empty items.
func SplitList(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
