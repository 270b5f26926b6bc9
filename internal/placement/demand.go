package placement

import (
	"math"
	"strconv"
	"strings"

	"myrtlewinch/internal/config"
)

const (
	// The two half-lives of demand: one to see a shift, one to know the usual.
	FastHalfLifeMs = 1_500
	SlowHalfLifeMs = 10_000
	// waitingHalfLifeMs is how quickly those who wait are forgotten: what still waits
	// asks again or was answered.
	waitingHalfLifeMs = 2_000
)

// Meter is how often something is asked for, lately and usually, a second.
type Meter struct {
	updatedMs  int64
	fast, slow float64
	// tokens is the work asked for a second, by the slow half-life.
	tokens float64
	// waiting counts the requests that can't go on without a holder.
	waiting float64
	// waitingMs is when the last of them asked.
	waitingMs int64
	// requestedMs is when anyone asked, or nought; risingSinceMs when it was asked for
	// after a silence; count how often since then, up to some.
	requestedMs, risingSinceMs int64
	requestsSinceSilence       int
}

func DecayFactor(nowMs, atMs, halfMs int64) float64 {
	if nowMs <= atMs {
		return 1
	}
	return math.Exp2(-float64(nowMs-atMs) / float64(halfMs))
}

// Decay brings the figures to the present.
func (d *Meter) Decay(nowMs int64) {
	if nowMs <= d.updatedMs {
		return
	}
	d.fast *= DecayFactor(nowMs, d.updatedMs, FastHalfLifeMs)
	slow := DecayFactor(nowMs, d.updatedMs, SlowHalfLifeMs)
	d.slow *= slow
	d.tokens *= slow
	d.waiting *= DecayFactor(nowMs, d.updatedMs, waitingHalfLifeMs)
	d.updatedMs = nowMs
}

func (d *Meter) Add(nowMs int64, requests, tokens, waits float64) {
	d.Decay(nowMs)
	// After a silence the rise is measured from its first request.
	if d.requestedMs == 0 || nowMs-d.requestedMs > 2*FastHalfLifeMs {
		d.risingSinceMs, d.requestsSinceSilence = nowMs, 0
	}
	d.requestedMs = nowMs
	d.requestsSinceSilence = min(d.requestsSinceSilence+int(requests), 1_000)
	perSec := math.Ln2 * 1000
	d.fast += requests * perSec / FastHalfLifeMs
	d.slow += requests * perSec / SlowHalfLifeMs
	d.tokens += tokens * perSec / SlowHalfLifeMs
	if waits > 0 {
		d.waiting += waits
		d.waitingMs = nowMs
	}
}

// Rate is the best guess of requests a second: the fast figure where it rests
// on many requests, the slow one where few come.
func (d *Meter) Rate() float64 {
	fast := d.fast
	// A meter that has run for less than its half-life reads low.
	if ageMs := d.updatedMs - d.risingSinceMs; d.requestsSinceSilence >= 8 && ageMs < 2*FastHalfLifeMs {
		fast /= 1 - math.Exp2(-float64(max(ageMs, 300))/FastHalfLifeMs)
	}
	weight := max(fast, d.slow) * FastHalfLifeMs / 1000
	weight /= weight + 3
	return weight*fast + (1-weight)*d.slow
}

// Rising says whether it is asked for clearly more than usual.
func (d *Meter) Rising() bool { return d.fast > 0.5 && d.fast > 1.5*d.slow }

// HasWaiting says whether someone waits for it.
func (d *Meter) HasWaiting(nowMs int64) bool {
	return d.waitingMs > 0 && d.waiting*DecayFactor(nowMs, d.updatedMs, waitingHalfLifeMs) >= 0.25
}

// ClearWaiting forgets those who waited.
func (d *Meter) ClearWaiting() { d.waiting = 0 }

// SinceRequestMs is how long ago anyone asked; very long where nobody did.
func (d *Meter) SinceRequestMs(nowMs int64) int64 {
	if d.requestedMs == 0 {
		return math.MaxInt32
	}
	return nowMs - d.requestedMs
}

// addDemand adds to the demand.
func (k *Manager) addDemand(nowMs int64, key DemandKey, requests, tokens, waits float64) {
	s := k.services[key.Service]
	if s == nil || s.Engine == nil {
		return
	}
	m := s.Models[key.Model]
	if m == nil || !m.Configured {
		return
	}
	m.Demand.Add(nowMs, requests, tokens, waits)
	if key.Adapter != "" && hasAdapter(&m.Spec, key.Adapter) {
		m.Adapter(key.Adapter).Demand.Add(nowMs, requests, tokens, waits)
	}
	if waits > 0 {
		k.replanNeeded = true
	}
}

// hasAdapter says whether a model has an adapter of that name.
func hasAdapter(m *config.Model, name string) bool {
	number, found := strings.CutPrefix(name, "a")
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= m.AdapterCount && number[0] != '+' && number[0] != '0'
}
