// Command operator submits descriptions to a site of the native interface, reads
// them, and shows the state of the site.
package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/native/topology"
)

// command is one of the program's commands.
type command struct {
	subcommand *flaggy.Subcommand
	run        func()
	// needsNoController is true if the command calls no controller.
	needsNoController bool
}

// The values of flags.
var (
	controllers string
	file        string
	base        string
	witnesses   string
	backup      string
	change      uint64
	revision    uint64
)

func main() {
	cli.Setup("operator", "Submits descriptions, reads them, and shows the state of a site.")
	flaggy.String(&controllers, "c", "controllers", "HTTP addresses of controllers, separated by commas")
	commands := registerCommands()
	cli.Parse()
	for _, c := range commands {
		if !c.subcommand.Used {
			continue
		}
		if len(cli.SplitList(controllers)) == 0 && !c.needsNoController {
			cli.UsageError("controllers: must be given")
		}
		c.run()
		return
	}
	cli.UsageError("a command must be given: found, recover, put, patch, get, history, topology or status")
}

func registerCommands() []command {
	commands := []command{
		newCommand("found", "bootstrap a new site on the first controller listed; no witness may have stored a record of a site yet", bootstrapSite, registerBootstrap),
		newCommand("recover", "continue from the replica of the first controller listed, after both replicas that the epoch record names were lost; without change and revision it only prints these", recoverSite, registerRecover),
		newCommand("put", "submit a whole description", func() { submit(http.MethodPut) }, registerSubmit),
		newCommand("patch", "submit changes of named parts", func() { submit(http.MethodPatch) }, registerSubmit),
		newCommand("get", "print the active description", get, nil),
		newCommand("history", "list the latest revisions", func() { show("/history") }, nil),
		newCommand("status", "print the status of each controller", status, nil),
	}
	topologyCommand := newCommand("topology", "convert the machines of a GeoJSON file to a change for patch; needs no controller", printTopology, registerTopology)
	topologyCommand.needsNoController = true
	return append(commands, topologyCommand)
}

// newCommand registers a command; registerFlags may be nil.
func newCommand(name, description string, run func(), registerFlags func(*flaggy.Subcommand)) command {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	if registerFlags != nil {
		registerFlags(subcommand)
	}
	flaggy.AttachSubcommand(subcommand, 1)
	return command{subcommand: subcommand, run: run}
}

func registerBootstrap(s *flaggy.Subcommand) {
	s.String(&witnesses, "", "witnesses", "names of three controllers, separated by commas")
	s.String(&backup, "", "backup", "name of the controller that becomes the first follower")
}

func registerRecover(s *flaggy.Subcommand) {
	s.String(&witnesses, "", "witnesses", "names of three live controllers, separated by commas")
	s.String(&backup, "", "backup", "name of the live controller that becomes the next follower")
	s.UInt64(&change, "", "change", "the last change in the replica, as printed without this flag")
	s.UInt64(&revision, "", "revision", "the revision in the replica, as printed without this flag")
}

func registerSubmit(s *flaggy.Subcommand) {
	s.String(&file, "f", "file", "the file with the JSON")
	s.String(&base, "b", "base", "the revision that this is based on; 0 if there is none yet")
}

func registerTopology(s *flaggy.Subcommand) {
	s.String(&file, "f", "file", "the GeoJSON file")
}

// submit sends a description, or a change of one, to the primary.
func submit(method string) {
	text := readFile()
	if base == "" {
		cli.UsageError("base: must be given")
	}
	callPrimary(method, "/description", text)
}

func get() {
	callPrimary(http.MethodGet, "/description", nil)
	fmt.Println()
}

// printTopology converts a GeoJSON file. It rejects a file that has any fault.
func printTopology() {
	parts, faults := topology.Read(readFile())
	if len(faults) > 0 {
		printFaults(faults)
		cli.UsageError("file: %s cannot be converted", file)
	}
	fmt.Println(string(parts.Text()))
}

// readFile reads the file that the flag names, or ends the program.
func readFile() []byte {
	text, err := os.ReadFile(file)
	if err != nil {
		cli.UsageError("file: %v", err)
	}
	return text
}

func printFaults(faults []string) {
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, "  "+fault)
	}
}
