// Package cli is what the thin programs under cmd share: the command
// line, exit codes and the log.
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

	"myrtlewinch/internal/settings"
	"myrtlewinch/internal/threads"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Setup sets the command line up; Parse reads it.
func Setup(name, about string) {
	flaggy.ResetParser()
	flaggy.SetName(name)
	flaggy.SetDescription(about)
	flaggy.SetVersion(settings.Version)
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
}

// Parse reads the command line; what it does not know ends the program.
func Parse() {
	// Every value needs a flag, so words on their own were meant for one.
	flaggy.Parse()
	if extra := flaggy.TrailingArguments; len(extra) > 0 {
		UsageError("unexpected argument %q", extra[0])
	}
}

// UsageError ends the program since its flags or settings are off.
func UsageError(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%s: %s\n", flaggy.DefaultParser.Name, fmt.Sprintf(format, args...))
	os.Exit(ExitUsage)
}

// Fatal ends the program since what it was to do did not succeed.
func Fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%s: %s\n", flaggy.DefaultParser.Name, fmt.Sprintf(format, args...))
	os.Exit(ExitFailed)
}

// NewLogger makes the log of a part; every line has its prefix.
func NewLogger(prefix string) *log.Logger {
	return log.NewWithOptions(os.Stderr, log.Options{Prefix: prefix, ReportTimestamp: true, TimeFormat: time.RFC3339})
}

// Daemon is a controller or a router, ready to run.
type Daemon interface {
	AddTasks(*threads.Group)
	Shutdown()
}

// Run runs a daemon until it is told to stop.
func Run(part string, data bool, flags *settings.Flags, make func(settings.Settings, net.Listener, net.Listener, *log.Logger) (Daemon, error)) {
	Parse()
	set, err := flags.Read(data)
	if err != nil {
		UsageError("%v", err)
	}
	peers, err := net.Listen("tcp", set.Address)
	if err != nil {
		Fatal("address: %v", err)
	}
	web, err := net.Listen("tcp", set.HTTP)
	if err != nil {
		Fatal("http: %v", err)
	}
	logger := NewLogger(part + " " + set.Name)
	daemon, err := make(set, peers, web, logger)
	if err != nil {
		Fatal("%v", err)
	}
	var c threads.Group
	daemon.AddTasks(&c)
	c.StopOnSignal(daemon.Shutdown)
	logger.Info("running", "address", set.Address, "http", set.HTTP, "version", settings.Version)
	if err := c.Run(); err != nil {
		Fatal("%v", err)
	}
	logger.Info("stopped")
}

// Listen opens a stand-in's address.
func Listen(field, address string) net.Listener {
	if address == "" {
		UsageError("%s: must be given", field)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		UsageError("%s: %q is not IP:port", field, address)
	}
	at, err := net.Listen("tcp", address)
	if err != nil {
		Fatal("%s: %v", field, err)
	}
	return at
}

// Serve runs a handler until the program is told to stop.
func Serve(at net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	var c threads.Group
	c.Add(func() error { return server.Serve(at) }, func() { _ = server.Close() })
	c.StopOnSignal(nil)
	if err := c.Run(); err != nil && err != http.ErrServerClosed {
		Fatal("%v", err)
	}
}

// SplitList splits a flag's value at its commas.
func SplitList(value string) []string {
	var out []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
