// Command localcluster runs a whole site in one process over loopback, sends it
// requests and reports the outcomes. With --write it writes the settings for
// separate processes instead.
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
	// startTimeout bounds each step of starting a site.
	startTimeout = 60 * time.Second
	// maxPort leaves enough ports above it for a site.
	maxPort = 65000
	// minControllers is how many controllers a site must have.
	minControllers = 3
	// streamChunks is the number of chunks of each streamed response.
	streamChunks = 8
)

// options are the program's flags.
type options struct {
	description, write       string
	port, seconds            int
	smallPerSec, otherPerSec float64
	loadMs, workMs           int64
	measure, quiet           bool
}

func parseOptions() options {
	o := options{description: "examples/zagreb.json", port: 7100, seconds: 15, smallPerSec: 30, otherPerSec: 4, loadMs: 2000, workMs: 40}
	flaggy.String(&o.description, "d", "description", "file with the description of the site")
	flaggy.String(&o.write, "w", "write", "write settings and run.sh into this folder and exit")
	flaggy.Int(&o.port, "", "port", "with --write: the site's ports begin after this one")
	flaggy.Int(&o.seconds, "", "seconds", "how many seconds to send requests")
	flaggy.Float64(&o.smallPerSec, "", "small", "requests per second to each repeatable service")
	flaggy.Float64(&o.otherPerSec, "", "other", "requests per second to each other service")
	flaggy.Int64(&o.loadMs, "", "loadMs", "how long a load takes on a runner")
	flaggy.Int64(&o.workMs, "", "workMs", "how long a response takes, or each chunk of a stream")
	flaggy.Bool(&o.measure, "", "measure", "send no traffic; measure the latency through a router relative to a direct call, and the outage after all daemons are killed and restarted")
	flaggy.Bool(&o.quiet, "q", "quiet", "do not print the daemons' logs")
	cli.Parse()
	o.check()
	if o.measure {
		o.workMs = 0
	}
	return o
}

// check ends the program if an option is out of range.
func (o options) check() {
	if o.seconds <= 0 || o.smallPerSec <= 0 || o.otherPerSec <= 0 {
		cli.UsageError("seconds, small, other: must be above 0")
	}
	if o.loadMs < 0 || o.workMs < 0 {
		cli.UsageError("loadMs, workMs: must not be negative")
	}
	if o.port < 1 || o.port > maxPort {
		cli.UsageError("port: %d is not between 1 and %d", o.port, maxPort)
	}
}

func main() {
	cli.Setup("localcluster", "Runs a whole site in one process and sends it requests, or writes settings for separate processes.")
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
		cli.UsageError("description: a site needs at least three controllers")
	}
	if err := localcluster.WriteSettings(d, text, folder, port); err != nil {
		cli.Fatal("writing the settings failed: %v", err)
	}
	fmt.Println("wrote", folder)
}

// run starts a cluster, does what the options ask for, and stops it. It returns
// the number of rule violations.
func run(text []byte, o options) (violations int, err error) {
	data, removeData, err := localcluster.TempData()
	if err != nil {
		cli.Fatal("creating the data folder failed: %v", err)
	}
	defer removeData()
	logger := cli.NewLogger("cluster")
	if o.quiet {
		logger = log.New(io.Discard)
	}
	cluster, err := localcluster.New(localcluster.Options{
		Text: text, Data: data, LoadMs: o.loadMs, WorkMs: o.workMs, ChunksPerStream: streamChunks, Log: logger,
	})
	if err != nil {
		removeData()
		cli.UsageError("%v", err)
	}
	defer cluster.Stop()
	if err := start(cluster, text); err != nil {
		return 0, err
	}
	if o.measure {
		return 0, cluster.Measure(os.Stdout)
	}
	workloads := testbackend.WorkloadsOf(cluster.Description, o.smallPerSec, o.otherPerSec)
	client := testbackend.NewClient("s", cluster.RouterAddresses(), workloads, cluster.Checker, cluster.Clock.NowMs, 1)
	client.RunFor(time.Duration(o.seconds) * time.Second)
	return cluster.Report(os.Stdout, client)
}

// start bootstraps the site, submits its description and waits for the routers.
func start(cluster *localcluster.Cluster, text []byte) error {
	if err := cluster.Bootstrap(startTimeout); err != nil {
		return err
	}
	if err := cluster.SubmitDescription("0", text, startTimeout); err != nil {
		return err
	}
	return cluster.WaitReady(startTimeout)
}
