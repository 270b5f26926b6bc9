// Program localcluster runs a whole site in one process over loopback, with
// traffic, and reports what it saw; or it writes the settings for separate
// processes.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/localcluster"
	"myrtlewinch/internal/simulation/testbackend"
)

const (
	// patience bounds each step that begins a site.
	patience = 60 * time.Second
	// maxPort leaves room for the ports of a site.
	maxPort = 65000
	// minControllers is how many controllers a site must have.
	minControllers = 3
	// streamPieces is the number of pieces of each streamed answer.
	streamPieces = 8
)

// options are the program's flags.
type options struct {
	description, write string
	port, seconds      int
	small, other       float64
	loadMs, workMs     int64
	measure, quiet     bool
}

func parseOptions() options {
	o := options{description: "examples/zagreb.json", port: 7100, seconds: 15, small: 30, other: 4, loadMs: 2000, workMs: 40}
	flaggy.String(&o.description, "d", "description", "the description of the site")
	flaggy.String(&o.write, "w", "write", "write settings and run.sh into this folder and stop")
	flaggy.Int(&o.port, "", "port", "with --write: the ports begin after this one")
	flaggy.Int(&o.seconds, "", "seconds", "how long to send requests")
	flaggy.Float64(&o.small, "", "small", "requests a second to each repeatable service")
	flaggy.Float64(&o.other, "", "other", "requests a second to each other service")
	flaggy.Int64(&o.loadMs, "", "loadMs", "how long a load takes at a runner")
	flaggy.Int64(&o.workMs, "", "workMs", "how long an answer takes, or a piece of a stream")
	flaggy.Bool(&o.measure, "", "measure", "no traffic: measure the way through a router against a direct call, and a total loss")
	flaggy.Bool(&o.quiet, "q", "quiet", "no log of the daemons")
	cli.Parse()
	o.check()
	if o.measure {
		o.workMs = 0
	}
	return o
}

// check ends the program if an option is out of range.
func (o options) check() {
	if o.seconds <= 0 || o.small <= 0 || o.other <= 0 {
		cli.UsageError("seconds, small, other: must be above 0")
	}
	if o.loadMs < 0 || o.workMs < 0 {
		cli.UsageError("loadMs, workMs: must not be negative")
	}
	if o.port < 1 || o.port > maxPort {
		cli.UsageError("port: %d is not from 1 to %d", o.port, maxPort)
	}
}

func main() {
	cli.Setup("localcluster", "Runs a whole site in one process with traffic, or writes settings for separate processes.")
	o := parseOptions()
	text, err := os.ReadFile(o.description)
	if err != nil {
		cli.UsageError("description: %v", err)
	}
	if o.write != "" {
		writeSettings(text, o.write, o.port)
		return
	}
	violations, err := run(text, o)
	if err != nil {
		cli.Fatal("%v", err)
	}
	if violations > 0 {
		os.Exit(cli.ExitFailed)
	}
}

func writeSettings(text []byte, folder string, port int) {
	d, err := localcluster.ReadDescription(text)
	if err != nil {
		cli.UsageError("%v", err)
	}
	if len(d.Controllers) < minControllers {
		cli.UsageError("description: a site has at least three controllers")
	}
	if err := localcluster.WriteSettings(d, text, folder, port); err != nil {
		cli.Fatal("write: %v", err)
	}
	fmt.Println("wrote", folder)
}

// run starts a cluster, does what the options ask for, and stops it. It gives
// how many violations of the rules there were.
func run(text []byte, o options) (violations int, err error) {
	data, removeData, err := localcluster.TempData()
	if err != nil {
		cli.Fatal("data: %v", err)
	}
	defer removeData()
	logger := cli.NewLogger("cluster")
	if o.quiet {
		logger = log.New(io.Discard)
	}
	cluster, err := localcluster.New(localcluster.Options{
		Text: text, Data: data, LoadMs: o.loadMs, WorkMs: o.workMs, Pieces: streamPieces, Log: logger,
	})
	if err != nil {
		removeData()
		cli.UsageError("%v", err)
	}
	defer cluster.Stop()
	if err := begin(cluster, text); err != nil {
		return 0, err
	}
	if o.measure {
		return 0, cluster.Measure(os.Stdout)
	}
	workloads := testbackend.WorkloadsOf(cluster.Description, o.small, o.other)
	client := testbackend.NewClient("s", cluster.RouterAddresses(), workloads, cluster.Checker, cluster.Clock.NowMs, 1)
	client.RunFor(time.Duration(o.seconds) * time.Second)
	return cluster.Report(os.Stdout, client)
}

// begin bootstraps the site, submits its description and waits for the routers.
func begin(cluster *localcluster.Cluster, text []byte) error {
	if err := cluster.Bootstrap(patience); err != nil {
		return err
	}
	if err := cluster.SubmitDescription("0", text, patience); err != nil {
		return err
	}
	return cluster.WaitReady(patience)
}
