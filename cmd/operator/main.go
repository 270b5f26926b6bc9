// Program operator submits descriptions to a site of the own interface, reads
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
	// needsNoController says that the command works without a site.
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
	flaggy.String(&controllers, "c", "controllers", "http addresses of controllers, with commas")
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
		newCommand("found", "bootstrap a new site on the first controller named; all witnesses must be blank", found, registerFound),
		newCommand("recover", "go on from the replica of the first controller named, after both replicas of the record were lost; without change and revision it only shows what that would be", recoverSite, registerRecover),
		newCommand("put", "submit a whole description", func() { submit(http.MethodPut) }, registerSubmit),
		newCommand("patch", "submit changes of named parts", func() { submit(http.MethodPatch) }, registerSubmit),
		newCommand("get", "print the description in force and, on standard error, its revision", get, nil),
		newCommand("history", "list the latest revisions", func() { show("/history") }, nil),
		newCommand("status", "show what each controller believes", status, nil),
	}
	topologyCommand := newCommand("topology", "print the machines of a GeoJSON file as a change for patch; needs no controller", printTopology, registerTopology)
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

func registerFound(s *flaggy.Subcommand) {
	s.String(&witnesses, "", "witnesses", "names of three controllers, with commas")
	s.String(&backup, "", "backup", "name of the controller that is the first backup")
}

func registerRecover(s *flaggy.Subcommand) {
	s.String(&witnesses, "", "witnesses", "names of three live controllers, with commas")
	s.String(&backup, "", "backup", "name of the live controller that is the next backup")
	s.UInt64(&change, "", "change", "the change that the copy goes up to, as shown")
	s.UInt64(&revision, "", "revision", "the revision that the copy has, as shown")
}

func registerSubmit(s *flaggy.Subcommand) {
	s.String(&file, "f", "file", "the file with the JSON")
	s.String(&base, "b", "base", "the revision that this is based on; 0 where there is none yet")
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

// printTopology converts a map. One with faults is refused as a whole.
func printTopology() {
	parts, faults := topology.Read(readFile())
	if len(faults) > 0 {
		printFaults(faults)
		cli.UsageError("file: %s does not fit", file)
	}
	fmt.Println(string(parts.Text()))
}

// readFile reads the file of the flag, or ends the program.
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
