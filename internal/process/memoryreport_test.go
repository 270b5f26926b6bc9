package process

import (
	"bytes"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/memory"
)

// Each step of the peak is logged once, with the parts at the peak.
func TestPeaksOfTheAccountAreLogged(t *testing.T) {
	c := qt.New(t)
	const limit = 64 << 20
	account := memory.NewAccount(limit)
	var output bytes.Buffer
	reporter := memoryReporter{account: account, log: log.New(&output)}
	lines := func() int {
		reporter.reportPeak()
		return strings.Count(output.String(), "\n")
	}
	c.Assert(lines(), qt.Equals, 0)
	c.Assert(account.Take(memory.Bodies, limit/4), qt.IsTrue)
	c.Assert(lines(), qt.Equals, 0, qt.Commentf("less than a half"))
	c.Assert(account.Take(memory.Requests, limit/4), qt.IsTrue)
	account.Release(memory.Bodies, limit/4)
	c.Assert(lines(), qt.Equals, 1)
	for _, part := range []string{"account_mb=32", "limit_mb=64", "bodies_mb=16", "requests_mb=16", "messages_mb=0", "resident_mb=", "heap_mb="} {
		c.Check(output.String(), qt.Contains, part)
	}
	c.Assert(lines(), qt.Equals, 1)
	c.Assert(account.Take(memory.Bodies, limit/4+1), qt.IsTrue)
	c.Assert(lines(), qt.Equals, 1, qt.Commentf("the same step"))
	c.Assert(account.Take(memory.Requests, limit/8), qt.IsTrue)
	c.Assert(lines(), qt.Equals, 2)
}
