// Command loadgen stands in for clients: it sends requests to the services of a
// description at given rates and counts the outcomes.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/simulation/invariants"
	"myrtlewinch/internal/simulation/localcluster"
	"myrtlewinch/internal/simulation/testbackend"
)

// options are the program's flags.
type options struct {
	description, routers     string
	seconds                  int
	smallPerSec, otherPerSec float64
}

func parseOptions() options {
	o := options{seconds: 10, smallPerSec: 30, otherPerSec: 4}
	flaggy.String(&o.description, "d", "description", "file with the description whose services get the requests")
	flaggy.String(&o.routers, "", "routers", "IP:port of routers, separated by commas")
	flaggy.Int(&o.seconds, "", "seconds", "how many seconds to send requests")
	flaggy.Float64(&o.smallPerSec, "", "small", "requests per second to each repeatable service")
	flaggy.Float64(&o.otherPerSec, "", "other", "requests per second to each other service")
	cli.Parse()
	if len(cli.SplitList(o.routers)) == 0 {
		cli.UsageError("routers: must be given")
	}
	if o.seconds <= 0 || o.smallPerSec <= 0 || o.otherPerSec <= 0 {
		cli.UsageError("seconds, small, other: must be above 0")
	}
	return o
}

func main() {
	cli.Setup("loadgen", "Stand-in for clients: sends requests to the services of a description and counts the outcomes.")
	o := parseOptions()
	text, err := os.ReadFile(o.description)
	if err != nil {
		cli.UsageError("description: %v", err)
	}
	d, err := localcluster.ReadDescription(text)
	if err != nil {
		cli.UsageError("%v", err)
	}
	checker := invariants.New(d.Store.LoadsPer10s, d.RetryAllowance)
	name := fmt.Sprintf("client-%d", os.Getpid())
	workloads := testbackend.WorkloadsOf(d, o.smallPerSec, o.otherPerSec)
	client := testbackend.NewClient(name, cli.SplitList(o.routers), workloads, checker, process.NewClock().NowMs, 1)
	client.RunFor(time.Duration(o.seconds) * time.Second)
	for _, line := range client.OutcomeLines() {
		fmt.Println(line)
	}
	violations := checker.Violations()
	for _, violation := range violations {
		fmt.Println("rule broken:", violation)
	}
	if len(violations) > 0 {
		os.Exit(cli.ExitFailed)
	}
}
