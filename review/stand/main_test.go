// Package stand runs one case of the review: it starts the project's own programs
// as processes on loopback addresses, plays platform, runners, operator and clients
// by the users' pages, and checks one rule.
package stand

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	reason string
}

// cases has the cases by name. Each gets a running site and whether to make the
// disruption.
var cases = map[string]struct {
	options siteOptions
	run     func(s *site, trouble bool) (verdict, error)
}{
	"growth": {siteOptions{routers: 2}, runGrowth},
	"chunks": {siteOptions{routers: 2}, runChunks},
	"plain":  {siteOptions{routers: 2}, runPlain},
	"slow":   {siteOptions{routers: 2}, runSlow},
	"birth":  {siteOptions{routers: 2, unstarted: true}, runBirth},
}

// TestMain runs the case that the environment names. Without one, as in a usual test
// run, there is nothing to do.
func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	os.Exit(runCase(name, os.Getenv("REVIEW_RECORD")))
}

// runCase runs a case and returns its exit code.
func runCase(name, recordPath string) int {
	chosen, found := cases[name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitUnknown
	}
	log, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnknown
	}
	defer log.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.addf("case %s, trouble %v", name, trouble)
	s, err := newSite(chosen.options, log)
	if err != nil {
		log.addf("could not run: %v", err)
		return exitUnknown
	}
	defer s.stop()
	giveUp := func(why string) {
		log.addf("could not run: %s", why)
		s.stop()
		os.Exit(exitUnknown)
	}
	defer time.AfterFunc(maxTime, func() { giveUp("not done in time") }).Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		giveUp("stopped by a signal")
	}()
	if err := s.start(); err != nil {
		log.addf("could not run: %v", err)
		return exitUnknown
	}
	result, err := chosen.run(s, trouble)
	if err != nil {
		log.addf("could not run: %v", err)
		return exitUnknown
	}
	log.addf("broken: %v; %s", result.broken, result.reason)
	fmt.Printf("%s: broken=%v: %s\n", name, result.broken, result.reason)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}
