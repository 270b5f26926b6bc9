// Program cluster runs a whole site in one process over loopback, with traffic,
// and reports what it saw; or it writes the settings for separate processes.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/simulation/localcluster"
	"myrtlewinch/internal/simulation/testbackend"
)

const patience = 60 * time.Second

func main() {
	cli.Setup("localcluster", "Runs a whole site in one process with traffic, or writes settings for separate processes.")
	file, write := "examples/zagreb.json", ""
	seconds, port := 15, 7100
	small, other := 30.0, 4.0
	var loadMs, workMs int64 = 2000, 40
	quiet, measure := false, false
	flaggy.String(&file, "d", "description", "the description of the site")
	flaggy.String(&write, "w", "write", "write settings and run.sh into this folder and stop")
	flaggy.Int(&port, "", "port", "with --write: the ports begin after this one")
	flaggy.Int(&seconds, "", "seconds", "how long to send requests")
	flaggy.Float64(&small, "", "small", "requests a second to each repeatable service")
	flaggy.Float64(&other, "", "other", "requests a second to each other service")
	flaggy.Int64(&loadMs, "", "loadMs", "how long a load takes at a runner")
	flaggy.Int64(&workMs, "", "workMs", "how long an answer takes, or a piece of a telling")
	flaggy.Bool(&measure, "", "measure", "no traffic: measure the way through a router against a direct call, and a total loss")
	flaggy.Bool(&quiet, "q", "quiet", "no log of the daemons")
	cli.Parse()
	if seconds <= 0 || small <= 0 || other <= 0 || loadMs < 0 || workMs < 0 {
		cli.UsageError("seconds, small, other, loadMs, workMs: must not be negative or nought")
	}
	if port < 1 || port > 65000 {
		cli.UsageError("port: %d is not from 1 to 65000", port)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		cli.UsageError("description: %v", err)
	}
	if write != "" {
		writeSite(text, write, port)
		return
	}
	if measure {
		workMs = 0
	}
	run(text, loadMs, workMs, quiet, func(cluster *localcluster.Cluster) (int, error) {
		if measure {
			return 0, cluster.Measure(os.Stdout)
		}
		client := testbackend.NewClient("s", cluster.RouterAddresses(), testbackend.WorkloadsOf(cluster.Description, small, other), cluster.Checker, cluster.Clock.NowMs, 1)
		client.RunFor(time.Duration(seconds) * time.Second)
		return cluster.Report(os.Stdout, client)
	})
}

func writeSite(text []byte, folder string, port int) {
	var named struct{ Site string }
	_ = json.Unmarshal(text, &named)
	d, faults := description.Read(text, named.Site)
	if len(faults) > 0 {
		cli.UsageError("description: %v", faults)
	}
	if len(d.Controllers) < 3 {
		cli.UsageError("description: a site has at least three controllers")
	}
	if err := localcluster.WriteSettings(d, text, folder, port); err != nil {
		cli.Fatal("write: %v", err)
	}
	fmt.Println("wrote", folder)
}

func run(text []byte, loadMs, workMs int64, quiet bool, work func(*localcluster.Cluster) (int, error)) {
	data, clean, err := localcluster.TempData()
	if err != nil {
		cli.Fatal("data: %v", err)
	}
	defer clean()
	logger := cli.NewLogger("cluster")
	if quiet {
		logger = log.New(io.Discard)
	}
	cluster, err := localcluster.New(localcluster.Options{Text: text, Data: data, LoadMs: loadMs, WorkMs: workMs, Pieces: 8, Log: logger})
	if err != nil {
		cli.UsageError("%v", err)
	}
	broken, err := 0, begin(cluster, text)
	if err == nil {
		broken, err = work(cluster)
	}
	cluster.Stop()
	if err != nil {
		clean()
		cli.Fatal("%v", err)
	}
	if broken > 0 {
		clean()
		os.Exit(cli.ExitFailed)
	}
}

// begin founds the site, hands the description over and waits for the routers.
func begin(cluster *localcluster.Cluster, text []byte) error {
	if err := cluster.Bootstrap(patience); err != nil {
		return err
	}
	if err := cluster.SubmitDescription("0", text, patience); err != nil {
		return err
	}
	return cluster.WaitReady(patience)
}
