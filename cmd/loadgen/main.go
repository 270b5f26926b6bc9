// Program client is the stand-in for callers: it asks the services of a
// description at a rate, and says what it got.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/simulation/invariants"
	"myrtlewinch/internal/simulation/testbackend"
)

func main() {
	cli.Setup("loadgen", "Stand-in: asks the services of a description and tallies the answers.")
	var file, routers string
	seconds, small, other := 10, 30.0, 4.0
	flaggy.String(&file, "d", "description", "the description whose services are asked")
	flaggy.String(&routers, "", "routers", "IP:port of routers, with commas")
	flaggy.Int(&seconds, "", "seconds", "how long to ask")
	flaggy.Float64(&small, "", "small", "requests a second to each repeatable service")
	flaggy.Float64(&other, "", "other", "requests a second to each other service")
	cli.Parse()
	text, err := os.ReadFile(file)
	if err != nil {
		cli.UsageError("description: %v", err)
	}
	var named struct{ Site string }
	_ = json.Unmarshal(text, &named)
	d, faults := description.Read(text, named.Site)
	if len(faults) > 0 {
		cli.UsageError("description: %v", faults)
	}
	if len(cli.SplitList(routers)) == 0 {
		cli.UsageError("routers: must be given")
	}
	if seconds <= 0 || small <= 0 || other <= 0 {
		cli.UsageError("seconds, small, other: must be above 0")
	}
	checker := invariants.New(d.Store.LoadsPer10s, d.SecondGoes)
	client := testbackend.NewClient(fmt.Sprintf("client-%d", os.Getpid()), cli.SplitList(routers), testbackend.WorkloadsOf(d, small, other), checker, process.NewClock().NowMs, 1)
	client.RunFor(time.Duration(seconds) * time.Second)
	for _, line := range client.OutcomeLines() {
		fmt.Println(line)
	}
	if breaches := checker.Violations(); len(breaches) > 0 {
		for _, breach := range breaches {
			fmt.Println("rule broken:", breach)
		}
		os.Exit(cli.ExitFailed)
	}
}
