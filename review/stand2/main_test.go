// Package stand2 holds the stand-ins and the cases of the second review. They run only if
// REVIEW_CASE or REVIEW_ROLE is set, so the default test run does nothing here.
package stand2

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the number of their folder.
var cases = map[string]func(*record) (broken bool, err error){
	"6": cutStream,
}

func TestMain(_ *testing.M) {
	if role := os.Getenv("REVIEW_ROLE"); role != "" {
		runRole(role)
		return
	}
	run, found := cases[os.Getenv("REVIEW_CASE")]
	if !found {
		os.Exit(exitHeld)
	}
	os.Exit(runCase(run))
}

// runCase runs one case and returns its exit code.
func runCase(run func(*record) (bool, error)) int {
	out, err := newRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer out.close()
	time.AfterFunc(115*time.Second, func() {
		out.printf("the case took too long")
		stopAll()
		os.Exit(exitNotRun)
	})
	broken, err := run(out)
	stopAll()
	switch {
	case err != nil:
		out.printf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		out.printf("the rule was broken")
		return exitBroken
	}
	out.printf("the rule held")
	return exitHeld
}

// hasTrouble reports whether the disruption is to be made.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
