package proxy

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBodyTimeout(t *testing.T) {
	for _, test := range []struct {
		timeoutMs int64
		want      time.Duration
	}{
		{0, defaultDeadlineMs * time.Millisecond}, {-1, defaultDeadlineMs * time.Millisecond},
		{20_000, 20 * time.Second}, {math.MaxInt64, maxTimeout},
	} {
		qt.Check(t, bodyTimeout(test.timeoutMs), qt.Equals, test.want)
	}
}

// What the open files allow, bounds requests and connections; the memory bounds them by the
// account.
func TestMaxRequestsByOpenFiles(t *testing.T) {
	for _, test := range []struct {
		openFiles int
		want      int64
	}{{0, maxRequestsCeiling}, {1, minRequestsLimit}, {700, 150}, {4100, 1850}, {1 << 20, maxRequestsCeiling}} {
		qt.Check(t, maxRequestsOf(Settings{OpenFiles: test.openFiles}), qt.Equals, test.want)
	}
}
