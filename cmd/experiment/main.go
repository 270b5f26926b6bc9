// Command experiment compares two or more source trees on the platform's bench. It
// plays the same days (scenarios of the bench) on each tree in turn and prints how the
// other trees differ from the first one. For each site and day it prints the median
// difference of the scores over pairs with the same day and seed, the confidence interval
// of the median, and the differences of the score's parts and prices. Results are saved
// in a file. If the program is called again with this file, it plays only what is missing.
package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/experiment"
)

// options are the values of the flags.
type options struct {
	bench, trees, sites, days, seeds, why, records, picture string
	jobs                                                    int
	noCPU                                                   bool
}

func main() {
	o := options{seeds: "1,2,3,4,5", records: "experiment.jsonl", jobs: 2}
	cli.Setup("experiment", "Plays the same days of the platform's bench on several source trees, and compares the scores with those of the first one.")
	flaggy.String(&o.bench, "", "bench", "path of the bench program")
	flaggy.String(&o.trees, "", "trees", "NAME=FOLDER of each tree, separated by commas; the first is the base")
	flaggy.String(&o.sites, "", "sites", "paths of site files, separated by commas")
	flaggy.String(&o.days, "", "days", "names of days, or paths of files with days, separated by commas")
	flaggy.String(&o.seeds, "", "seeds", "seeds, separated by commas")
	flaggy.String(&o.why, "", "why", "reason to note in the bench's journal")
	flaggy.String(&o.records, "", "records", "file in which the results are saved")
	flaggy.String(&o.picture, "", "picture", "SVG file in which to draw the differences of the scores")
	flaggy.Int(&o.jobs, "", "jobs", "days played at the same time")
	flaggy.Bool(&o.noCPU, "", "noCpu", "do not count the daemons' CPU time")
	cli.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	run(ctx, o)
}

// run plays the experiment and prints the report, even if some plays failed.
func run(ctx context.Context, o options) {
	plan := o.plan()
	benchPath, err := filepath.Abs(o.bench)
	if err != nil {
		cli.UsageError("bench: %v", err)
	}
	bench := experiment.Bench{Path: benchPath, Why: o.why, NoCPU: o.noCPU}
	if err := bench.Check(plan); err != nil {
		cli.UsageError("%v", err)
	}
	records, err := experiment.OpenRecordFile(o.records)
	if err != nil {
		cli.UsageError("%v", err)
	}
	playErr := experiment.Run(ctx, bench, plan, records, max(1, o.jobs))
	report(o, plan, records)
	if err := records.Close(); err != nil {
		cli.Fatal("%v", err)
	}
	if playErr != nil {
		cli.Fatal("%v", playErr)
	}
}

// plan returns what the flags ask to play.
func (o options) plan() experiment.Plan {
	trees, err := experiment.ParseTrees(o.trees)
	if err != nil {
		cli.UsageError("trees: %v", err)
	}
	seeds, err := experiment.ParseSeeds(o.seeds)
	if err != nil {
		cli.UsageError("seeds: %v", err)
	}
	plan := experiment.Plan{Trees: trees, Sites: experiment.SplitList(o.sites), Days: experiment.SplitList(o.days), Seeds: seeds}
	for i, site := range plan.Sites {
		if plan.Sites[i], err = filepath.Abs(site); err != nil {
			cli.UsageError("sites: %v", err)
		}
	}
	if len(plan.Sites) == 0 || len(plan.Days) == 0 {
		cli.UsageError("sites, days: must be given")
	}
	return plan
}

// report prints the comparisons, and draws them if the flags name a picture.
func report(o options, plan experiment.Plan, records *experiment.RecordFile) {
	all := records.Records()
	comparisons := experiment.Compare(all, plan.Trees[0].Name)
	if err := experiment.WriteReport(os.Stdout, all, comparisons); err != nil {
		cli.Fatal("%v", err)
	}
	if o.picture == "" {
		return
	}
	if err := experiment.WritePicture(o.picture, comparisons); err != nil {
		cli.Fatal("%v", err)
	}
}
