// Package demand measures how often models and adapters are requested. It is
// pure state: the caller passes the time in.
package demand

import "math"

const (
	// FastHalfLifeMs is the half-life of the fast rate, which shows a shift of
	// demand early.
	FastHalfLifeMs = 1_500
	// SlowHalfLifeMs is the half-life of the slow rate, which shows the usual
	// demand.
	SlowHalfLifeMs = 10_000
	// waitingHalfLifeMs is the half-life of the number of waiting requests. It is
	// short because a request that still waits asks again.
	waitingHalfLifeMs = 2_000
	// silenceMs without a request start a new rise of demand.
	silenceMs = 2 * FastHalfLifeMs
	// maxRisingRequests bounds the count of requests since the last silence; only
	// small counts matter.
	maxRisingRequests = 1_000
	// minRisingRequests is how many requests must have come since a silence
	// before the fast rate is corrected for the short time that it covers.
	minRisingRequests = 8
	// minRisingAgeMs bounds that correction, which grows without limit as the
	// time since the silence goes to zero.
	minRisingAgeMs = 300
	// fastRateRequests is the number of requests in a fast half-life at which the
	// fast and the slow rate weigh the same in Rate.
	fastRateRequests = 3
	// minRisingRate is the fast rate per second, and risingFactor its ratio to
	// the slow rate, above which demand counts as rising.
	minRisingRate = 0.5
	risingFactor  = 1.5
	// minWaiting is the decayed number of waiting requests below which nobody
	// counts as waiting.
	minWaiting = 0.25
	// perSecond converts one request into its share of an exponentially decaying
	// rate per second, when divided by the half-life in ms.
	perSecond = math.Ln2 * 1000
)

// Meter measures the demand for one model or adapter. Its zero value is ready
// for use and has seen no request.
type Meter struct {
	// updatedMs is the time to which the figures below have decayed.
	updatedMs int64
	// fastRate and slowRate are requests per second.
	fastRate, slowRate float64
	// tokenRate is the requested work in tokens per second, over the slow
	// half-life.
	tokenRate float64
	// waiting is the decayed number of requests that no runner can serve before a
	// load; waitingMs is when the last of them was added, 0 for never.
	waiting   float64
	waitingMs int64
	// requestedMs is when the last request came, 0 for never.
	requestedMs int64
	// risingSinceMs is when the first request after the last silence came, and
	// requestsSinceSilence how many came since.
	risingSinceMs        int64
	requestsSinceSilence int
}

// DecayFactor is what is left at nowMs of one that was counted at atMs.
func DecayFactor(nowMs, atMs, halfLifeMs int64) float64 {
	if nowMs <= atMs {
		return 1
	}
	return math.Exp2(-float64(nowMs-atMs) / float64(halfLifeMs))
}

// Decay updates the decaying figures to the present time.
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

// Add counts requests, their work in tokens, and how many of them wait for a
// load.
func (m *Meter) Add(nowMs int64, requests, tokens, waiting float64) {
	m.Decay(nowMs)
	if m.requestedMs == 0 || nowMs-m.requestedMs > silenceMs {
		m.risingSinceMs, m.requestsSinceSilence = nowMs, 0
	}
	m.requestedMs = nowMs
	m.requestsSinceSilence = min(m.requestsSinceSilence+int(requests), maxRisingRequests)
	m.fastRate += requests * perSecond / FastHalfLifeMs
	m.slowRate += requests * perSecond / SlowHalfLifeMs
	m.tokenRate += tokens * perSecond / SlowHalfLifeMs
	if waiting > 0 {
		m.waiting += waiting
		m.waitingMs = nowMs
	}
}

// Rate is the best estimate of requests per second: the fast rate where it
// rests on many requests, the slow rate where few come.
func (m *Meter) Rate() float64 {
	fast := m.fastRate
	// A meter that has run for less than its half-life reads low.
	ageMs := m.updatedMs - m.risingSinceMs
	if m.requestsSinceSilence >= minRisingRequests && ageMs < silenceMs {
		fast /= 1 - math.Exp2(-float64(max(ageMs, minRisingAgeMs))/FastHalfLifeMs)
	}
	weight := max(fast, m.slowRate) * FastHalfLifeMs / 1000
	weight /= weight + fastRateRequests
	return weight*fast + (1-weight)*m.slowRate
}

// FastRate is the rate of requests per second over the fast half-life.
func (m *Meter) FastRate() float64 { return m.fastRate }

// SlowRate is the rate of requests per second over the slow half-life.
func (m *Meter) SlowRate() float64 { return m.slowRate }

// TokensPerRequest is the mean work of a request in tokens, 0 if there was none
// lately.
func (m *Meter) TokensPerRequest() float64 {
	if m.slowRate > 0 {
		return m.tokenRate / m.slowRate
	}
	return 0
}

// Rising says whether requests come clearly more often than usual.
func (m *Meter) Rising() bool {
	return m.fastRate > minRisingRate && m.fastRate > risingFactor*m.slowRate
}

// Waiting is the number of requests that wait for a load, as of the last Decay.
func (m *Meter) Waiting() float64 { return m.waiting }

// HasWaiting says whether a request waits for a load now.
func (m *Meter) HasWaiting(nowMs int64) bool {
	return m.waitingMs > 0 && m.waiting*DecayFactor(nowMs, m.updatedMs, waitingHalfLifeMs) >= minWaiting
}

// ClearWaiting forgets the waiting requests once a load has served them.
func (m *Meter) ClearWaiting() { m.waiting = 0 }

// Requested says whether any request ever came.
func (m *Meter) Requested() bool { return m.requestedMs != 0 }

// SinceRequestMs is the time since the last request in ms; very long if none
// ever came.
func (m *Meter) SinceRequestMs(nowMs int64) int64 {
	if m.requestedMs == 0 {
		return math.MaxInt32
	}
	return nowMs - m.requestedMs
}
