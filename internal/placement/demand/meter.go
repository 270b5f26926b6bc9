// Package demand measures how often models and adapters are requested. It is a pure state
// machine: the caller passes the time in.
package demand

import "math"

const (
	// FastHalfLifeMs is the half-life of the fast rate, which shows a shift of demand early.
	FastHalfLifeMs = 1_500
	// SlowHalfLifeMs is the half-life of the slow rate, which shows the usual demand.
	SlowHalfLifeMs = 10_000
	// waitingHalfLifeMs is the half-life of the number of waiting requests. It is short because
	// the look-up of a request that still waits is repeated.
	waitingHalfLifeMs = 2_000
	// idleGapMs is the time without a request after which the next request starts a new active
	// period.
	idleGapMs = 2 * FastHalfLifeMs
	// maxActiveRequests limits the count of requests in an active period; only small counts
	// matter.
	maxActiveRequests = 1_000
	// minCorrectedRequests is how many requests an active period must have before the fast rate
	// is corrected for the short time that it covers.
	minCorrectedRequests = 8
	// minCorrectedAgeMs limits that correction, which would grow without bound as the age of
	// the active period approaches zero.
	minCorrectedAgeMs = 300
	// fastRateRequests is the number of requests in a fast half-life at which the fast and the
	// slow rate have the same weight in Rate.
	fastRateRequests = 3
	// Demand counts as rising if the fast rate per second is above minRisingRate and more than
	// risingFactor times the slow rate.
	minRisingRate = 0.5
	risingFactor  = 1.5
	// minWaiting is the decayed number of waiting requests below which none counts as waiting.
	minWaiting = 0.25
	// perSecFactor, divided by a half-life in ms, is what one request adds to an exponentially
	// decaying rate per second.
	perSecFactor = math.Ln2 * 1000
)

// Meter measures the demand for one model or adapter. Its zero value is ready for use and has
// seen no request.
type Meter struct {
	// updatedMs is the time to which the figures below have decayed.
	updatedMs int64
	// fastRate and slowRate are requests per second.
	fastRate, slowRate float64
	// tokenRate is the rate of expected tokens per second. It decays with the slow half-life.
	tokenRate float64
	// waiting is the decayed number of requests that wait for a load. lastWaitingMs is when the
	// last of them was added, 0 for never.
	waiting       float64
	lastWaitingMs int64
	// lastRequestMs is when the last request was added, 0 for never.
	lastRequestMs int64
	// activeSinceMs is when the current active period began, and activeRequests is how many
	// requests it has. An active period begins with the first request after idleGapMs without
	// one.
	activeSinceMs  int64
	activeRequests int
}

// DecayFactor returns the fraction of a value counted at atMs that is left at nowMs.
func DecayFactor(nowMs, atMs, halfLifeMs int64) float64 {
	if nowMs <= atMs {
		return 1
	}
	return math.Exp2(-float64(nowMs-atMs) / float64(halfLifeMs))
}

// Decay updates the decaying figures to the current time.
func (m *Meter) Decay(nowMs int64) {
	if nowMs <= m.updatedMs {
		return
	}
	m.fastRate *= DecayFactor(nowMs, m.updatedMs, FastHalfLifeMs)
	slow := DecayFactor(nowMs, m.updatedMs, SlowHalfLifeMs)
	m.slowRate *= slow
	m.tokenRate *= slow
	m.waiting *= DecayFactor(nowMs, m.updatedMs, waitingHalfLifeMs)
	m.updatedMs = nowMs
}

// Add counts requests, their expected tokens, and how many of them wait for a load.
func (m *Meter) Add(nowMs int64, requests, tokens, waiting float64) {
	m.Decay(nowMs)
	if m.lastRequestMs == 0 || nowMs-m.lastRequestMs > idleGapMs {
		m.activeSinceMs, m.activeRequests = nowMs, 0
	}
	m.lastRequestMs = nowMs
	m.activeRequests = min(m.activeRequests+int(requests), maxActiveRequests)
	m.fastRate += requests * perSecFactor / FastHalfLifeMs
	m.slowRate += requests * perSecFactor / SlowHalfLifeMs
	m.tokenRate += tokens * perSecFactor / SlowHalfLifeMs
	if waiting > 0 {
		m.waiting += waiting
		m.lastWaitingMs = nowMs
	}
}

// Rate returns the best estimate of requests per second: close to the fast rate if that is
// based on many requests, close to the slow rate if there are few.
func (m *Meter) Rate() float64 {
	fast := m.fastRate
	// The fast rate is too low until the active period has lasted for some half-lives.
	ageMs := m.updatedMs - m.activeSinceMs
	if m.activeRequests >= minCorrectedRequests && ageMs < idleGapMs {
		fast /= 1 - math.Exp2(-float64(max(ageMs, minCorrectedAgeMs))/FastHalfLifeMs)
	}
	weight := max(fast, m.slowRate) * FastHalfLifeMs / 1000
	weight /= weight + fastRateRequests
	return weight*fast + (1-weight)*m.slowRate
}

// FastRate returns the rate of requests per second that decays with the fast half-life.
func (m *Meter) FastRate() float64 { return m.fastRate }

// SlowRate returns the rate of requests per second that decays with the slow half-life.
func (m *Meter) SlowRate() float64 { return m.slowRate }

// TokensPerRequest returns the mean of the expected tokens of a request. It returns 0 if there
// was no request.
func (m *Meter) TokensPerRequest() float64 {
	if m.slowRate > 0 {
		return m.tokenRate / m.slowRate
	}
	return 0
}

// Rising reports whether requests arrive clearly more often than usual.
func (m *Meter) Rising() bool {
	return m.fastRate > minRisingRate && m.fastRate > risingFactor*m.slowRate
}

// Waiting returns the number of requests that wait for a load, as of the last Decay.
func (m *Meter) Waiting() float64 { return m.waiting }

// HasWaiting reports whether a request waits for a load now.
func (m *Meter) HasWaiting(nowMs int64) bool {
	return m.lastWaitingMs > 0 && m.waiting*DecayFactor(nowMs, m.updatedMs, waitingHalfLifeMs) >= minWaiting
}

// ClearWaiting resets the number of waiting requests after a load has served them.
func (m *Meter) ClearWaiting() { m.waiting = 0 }

// Requested reports whether there ever was a request.
func (m *Meter) Requested() bool { return m.lastRequestMs != 0 }

// SinceRequestMs returns the time since the last request in ms, or a very large value if there
// was none.
func (m *Meter) SinceRequestMs(nowMs int64) int64 {
	if m.lastRequestMs == 0 {
		return math.MaxInt32
	}
	return nowMs - m.lastRequestMs
}
