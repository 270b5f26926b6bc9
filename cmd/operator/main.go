// Program operator hands descriptions over, reads them, and shows the state
// of a site.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/topology"
	"myrtlewinch/internal/simulation/localcluster"
)

type command struct {
	sub  *flaggy.Subcommand
	work func()
	// alone says that it asks no controller.
	alone bool
}

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
	cli.Setup("operator", "Hands descriptions over, reads them, and shows the state of a site.")
	flaggy.String(&controllers, "c", "controllers", "http addresses of controllers, with commas")
	commands := []command{
		add("found", "begin a new site on the first controller named; all witnesses must be blank", found, func(s *flaggy.Subcommand) {
			s.String(&witnesses, "", "witnesses", "names of three controllers, with commas")
			s.String(&backup, "", "backup", "name of the controller that is the first backup")
		}),
		add("recover", "go on from the copy of the first controller named, after both disks of the pair were lost; without change and revision it only shows what that would be", recovered, func(s *flaggy.Subcommand) {
			s.String(&witnesses, "", "witnesses", "names of three live controllers, with commas")
			s.String(&backup, "", "backup", "name of the live controller that is the next backup")
			s.UInt64(&change, "", "change", "the change that the copy goes up to, as shown")
			s.UInt64(&revision, "", "revision", "the revision that the copy has, as shown")
		}),
		add("put", "hand a whole description over", func() { hand(http.MethodPut) }, handing),
		add("patch", "hand changes of named parts over", func() { hand(http.MethodPatch) }, handing),
		add("get", "print the description in force and, on standard error, its revision", get, nil),
		add("history", "list the latest revisions", func() { show("/history") }, nil),
		add("status", "show what each controller believes", status, nil),
		add("topology", "print the machines of a GeoJSON file as a change for patch; needs no controller", drawn, func(s *flaggy.Subcommand) {
			s.String(&file, "f", "file", "the GeoJSON file")
		}),
	}
	commands[len(commands)-1].alone = true
	cli.Parse()
	for _, c := range commands {
		if c.sub.Used {
			if len(cli.SplitList(controllers)) == 0 && !c.alone {
				cli.UsageError("controllers: must be given")
			}
			c.work()
			return
		}
	}
	cli.UsageError("a command must be given: found, recover, put, patch, get, history, topology or status")
}

func add(name, about string, work func(), flags func(*flaggy.Subcommand)) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = about
	if flags != nil {
		flags(sub)
	}
	flaggy.AttachSubcommand(sub, 1)
	return command{sub: sub, work: work}
}

func handing(s *flaggy.Subcommand) {
	s.String(&file, "f", "file", "the file with the JSON")
	s.String(&base, "b", "base", "the revision that this is based on; 0 where there is none yet")
}

// primary asks each controller until one does not say that it is another.
func primary(method, path string, body []byte) {
	var last string
	for _, address := range cli.SplitList(controllers) {
		code, text, err := localcluster.Call(method, address, path, base, body)
		if err != nil {
			// An answer that was lost on the way may still have taken effect;
			// one that was never dialled has not.
			var dial *net.OpError
			if method != http.MethodGet && !(errors.As(err, &dial) && dial.Op == "dial") {
				cli.Fatal("%s: no answer (%v); it may have taken effect: read the description to find out", address, err)
			}
			last = err.Error()
			continue
		}
		var said errkind.ErrorBody
		if code != http.StatusOK && json.Unmarshal(text, &said) == nil && said.Kind == errkind.NotPrimary {
			last = fmt.Sprintf("%s is not the primary (it knows of %q)", address, said.Primary)
			continue
		}
		if code != http.StatusOK {
			fmt.Fprintf(os.Stderr, "%s: %s\n", said.Kind, said.Detail)
			for _, fault := range said.Faults {
				fmt.Fprintln(os.Stderr, "  "+fault)
			}
			if said.Revision > 0 {
				fmt.Fprintf(os.Stderr, "  the revision in force is %d\n", said.Revision)
			}
			os.Exit(cli.ExitFailed)
		}
		_, _ = os.Stdout.Write(text)
		return
	}
	cli.Fatal("no controller answered as the primary: %s", last)
}

func found() {
	body, _ := json.Marshal(map[string]any{"witnesses": cli.SplitList(witnesses), "backup": backup})
	controllers = cli.SplitList(controllers)[0]
	primary(http.MethodPost, "/found", body)
}

func recovered() {
	body, _ := json.Marshal(map[string]any{"witnesses": cli.SplitList(witnesses), "backup": backup, "change": change, "revision": revision})
	controllers = cli.SplitList(controllers)[0]
	primary(http.MethodPost, "/recover", body)
}

func hand(method string) {
	text, err := os.ReadFile(file)
	if err != nil {
		cli.UsageError("file: %v", err)
	}
	if base == "" {
		cli.UsageError("base: must be given")
	}
	primary(method, "/description", text)
}

// drawn reads a map; a file that does not fit is refused whole.
func drawn() {
	text, err := os.ReadFile(file)
	if err != nil {
		cli.UsageError("file: %v", err)
	}
	parts, faults := topology.Read(text)
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "  "+fault)
		}
		cli.UsageError("file: %s does not fit", file)
	}
	fmt.Println(string(parts.Text()))
}

func get() {
	primary(http.MethodGet, "/description", nil)
	fmt.Println()
}

func show(path string) {
	for _, address := range cli.SplitList(controllers) {
		if code, text, err := localcluster.Call(http.MethodGet, address, path, "", nil); err == nil && code == http.StatusOK {
			indent(text)
			return
		}
	}
	cli.Fatal("no controller answered")
}

func status() {
	answered := false
	for _, address := range cli.SplitList(controllers) {
		code, text, err := localcluster.Call(http.MethodGet, address, "/status", "", nil)
		if err != nil || code != http.StatusOK {
			fmt.Fprintf(os.Stderr, "%s: no answer\n", address)
			continue
		}
		answered = true
		indent(text)
	}
	if !answered {
		cli.Fatal("no controller answered")
	}
}

func indent(text []byte) {
	var out bytes.Buffer
	if json.Indent(&out, text, "", "  ") != nil {
		out.Write(text)
	}
	fmt.Println(out.String())
}
