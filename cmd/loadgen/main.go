// Program loadgen is the stand-in for clients: it asks the services of a
// description at a rate, and counts what it got.
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
	description, routers string
	seconds              int
	small, other         float64
}

func parseOptions() options {
	o := options{seconds: 10, small: 30, other: 4}
	flaggy.String(&o.description, "d", "description", "the description whose services are asked")
	flaggy.String(&o.routers, "", "routers", "IP:port of routers, with commas")
	flaggy.Int(&o.seconds, "", "seconds", "how long to ask")
	flaggy.Float64(&o.small, "", "small", "requests a second to each repeatable service")
	flaggy.Float64(&o.other, "", "other", "requests a second to each other service")
	cli.Parse()
	if len(cli.SplitList(o.routers)) == 0 {
		cli.UsageError("routers: must be given")
	}
	if o.seconds <= 0 || o.small <= 0 || o.other <= 0 {
		cli.UsageError("seconds, small, other: must be above 0")
	}
	return o
}

func main() {
	cli.Setup("loadgen", "Stand-in: asks the services of a description and tallies the answers.")
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
	workloads := testbackend.WorkloadsOf(d, o.small, o.other)
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
