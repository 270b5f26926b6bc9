package invariants

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// retryRatio is how many retries per first attempt of a window are allowed, in
// addition to the allowance.
const retryRatio = 0.2

// attempt is one attempt of a router to run a request on a runner.
type attempt struct {
	atMs  int64
	retry bool
}

// attemptLog lists the attempts of each service.
type attemptLog struct {
	byService map[string][]attempt
	// seen holds the requests that had an attempt since their client last sent them.
	seen map[requestKey]bool
}

func newAttemptLog() attemptLog {
	return attemptLog{byService: map[string][]attempt{}, seen: map[requestKey]bool{}}
}

func (l *attemptLog) add(atMs int64, key requestKey) {
	l.byService[key.service] = append(l.byService[key.service], attempt{atMs: atMs, retry: l.seen[key]})
	l.seen[key] = true
}

// retryLog records attempts twice: when routers send them, and when runners
// receive them.
type retryLog struct {
	sent, arrived attemptLog
	// allowance is the number of retries in a window that is always allowed.
	allowance int64
}

func newRetryLog(allowance int64) retryLog {
	return retryLog{sent: newAttemptLog(), arrived: newAttemptLog(), allowance: allowance}
}

// forget makes the next attempt of a request count as a first one again.
func (l *retryLog) forget(key requestKey) {
	delete(l.arrived.seen, key)
	delete(l.sent.seen, key)
}

// violations returns a violation for each service for which a window exceeds the
// retry budget. Attempts that routers sent and attempts that runners received are
// checked separately.
func (l *retryLog) violations() []Violation {
	var found []Violation
	for _, log := range []attemptLog{l.arrived, l.sent} {
		for _, service := range slices.Sorted(maps.Keys(log.byService)) {
			worst, exceeded := l.worstWindow(log.byService[service])
			if !exceeded {
				continue
			}
			detail := fmt.Sprintf("%s: %d retries and %d first attempts within 10 s", service, worst.retries, worst.firsts)
			found = append(found, Violation{Rule: RuleRetryBudget, AtMs: worst.endMs, Detail: detail})
		}
	}
	return found
}

// window counts the attempts in the RetryWindowMs up to endMs.
type window struct {
	endMs           int64
	retries, firsts int
}

func (w *window) count(a attempt, by int) {
	if a.retry {
		w.retries += by
	} else {
		w.firsts += by
	}
}

// worstWindow slides a window over the attempts of a service. It returns the
// first window that exceeds the retry budget. If none does, it returns the
// window with the most retries.
func (l *retryLog) worstWindow(attempts []attempt) (worst window, exceeded bool) {
	slices.SortStableFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.atMs, b.atMs) })
	var sliding window
	oldest := 0
	for _, newest := range attempts {
		sliding.endMs = newest.atMs
		sliding.count(newest, 1)
		for attempts[oldest].atMs <= newest.atMs-RetryWindowMs {
			sliding.count(attempts[oldest], -1)
			oldest++
		}
		if float64(sliding.retries) > retryRatio*float64(sliding.firsts)+float64(l.allowance) {
			return sliding, true
		}
		if sliding.retries > worst.retries {
			worst = sliding
		}
	}
	return worst, false
}

// WorstRetryWindow returns the retries and first attempts that runners received
// in the worst RetryWindowMs of a service. This is the first window that
// exceeds the retry budget. If none does, it is the window with the most
// retries.
func (c *Checker) WorstRetryWindow(service string) (retries, firsts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worst, _ := c.retries.worstWindow(c.retries.arrived.byService[service])
	return worst.retries, worst.firsts
}
