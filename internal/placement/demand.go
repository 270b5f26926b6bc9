package placement

import (
	"math"
	"strconv"
	"strings"

	"myrtlewinch/internal/config"
)

const (
	// The two half-lives of demand: one to see a shift, one to know the usual.
	fastHalfMs = 1_500
	slowHalfMs = 10_000
	// waitHalfMs is how quickly those who wait are forgotten: what still waits
	// asks again or was answered.
	waitHalfMs = 2_000
)

// demand is how often something is asked for, lately and usually, a second.
type demand struct {
	atMs       int64
	fast, slow float64
	// tokens is the work asked for a second, by the slow half-life.
	tokens float64
	// waits counts the requests that can't go on without a holder.
	waits float64
	// waitMs is when the last of them asked.
	waitMs int64
	// askedMs is when anyone asked, or nought; fromMs when it was asked for
	// after a silence; count how often since then, up to some.
	askedMs, fromMs int64
	count           int
}

func halved(nowMs, atMs, halfMs int64) float64 {
	if nowMs <= atMs {
		return 1
	}
	return math.Exp2(-float64(nowMs-atMs) / float64(halfMs))
}

// turn brings the figures to the present.
func (d *demand) turn(nowMs int64) {
	if nowMs <= d.atMs {
		return
	}
	d.fast *= halved(nowMs, d.atMs, fastHalfMs)
	slow := halved(nowMs, d.atMs, slowHalfMs)
	d.slow *= slow
	d.tokens *= slow
	d.waits *= halved(nowMs, d.atMs, waitHalfMs)
	d.atMs = nowMs
}

func (d *demand) add(nowMs int64, requests, tokens, waits float64) {
	d.turn(nowMs)
	// After a silence the rise is measured from its first request.
	if d.askedMs == 0 || nowMs-d.askedMs > 2*fastHalfMs {
		d.fromMs, d.count = nowMs, 0
	}
	d.askedMs = nowMs
	d.count = min(d.count+int(requests), 1_000)
	perSec := math.Ln2 * 1000
	d.fast += requests * perSec / fastHalfMs
	d.slow += requests * perSec / slowHalfMs
	d.tokens += tokens * perSec / slowHalfMs
	if waits > 0 {
		d.waits += waits
		d.waitMs = nowMs
	}
}

// rate is the best guess of requests a second: the fast figure where it rests
// on many requests, the slow one where few come.
func (d *demand) rate() float64 {
	fast := d.fast
	// A meter that has run for less than its half-life reads low.
	if ageMs := d.atMs - d.fromMs; d.count >= 8 && ageMs < 2*fastHalfMs {
		fast /= 1 - math.Exp2(-float64(max(ageMs, 300))/fastHalfMs)
	}
	weight := max(fast, d.slow) * fastHalfMs / 1000
	weight /= weight + 3
	return weight*fast + (1-weight)*d.slow
}

// rising says whether it is asked for clearly more than usual.
func (d *demand) rising() bool { return d.fast > 0.5 && d.fast > 1.5*d.slow }

// waiting says whether someone waits for it.
func (d *demand) waiting(nowMs int64) bool {
	return d.waitMs > 0 && d.waits*halved(nowMs, d.atMs, waitHalfMs) >= 0.25
}

// served forgets those who waited.
func (d *demand) served() { d.waits = 0 }

// askedAgoMs is how long ago anyone asked; very long where nobody did.
func (d *demand) askedAgoMs(nowMs int64) int64 {
	if d.askedMs == 0 {
		return math.MaxInt32
	}
	return nowMs - d.askedMs
}

// count adds to the demand.
func (k *Keeper) count(nowMs int64, key demandKey, requests, tokens, waits float64) {
	s := k.services[key.Service]
	if s == nil || s.engine == nil {
		return
	}
	m := s.models[key.Model]
	if m == nil || !m.mapped {
		return
	}
	m.want.add(nowMs, requests, tokens, waits)
	if key.Adapter != "" && adapterOf(&m.spec, key.Adapter) {
		m.adapter(key.Adapter).want.add(nowMs, requests, tokens, waits)
	}
	if waits > 0 {
		k.replan = true
	}
}

// adapterOf says whether a model has an adapter of that name.
func adapterOf(m *config.Model, name string) bool {
	number, found := strings.CutPrefix(name, "a")
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= m.Adapters && number[0] != '+' && number[0] != '0'
}
