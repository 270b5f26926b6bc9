package controller

import (
	"math"
	"strings"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// demandHalfLifeMs is the time in which the score of an item halves.
	demandHalfLifeMs = 10_000
	// waitFreshMs is how long a router's report that a request waits stays valid.
	waitFreshMs = 1500
)

// itemDemand is the demand for a model or adapter.
type itemDemand struct {
	// score is the count of look-ups as of atMs; it decays exponentially.
	score float64
	atMs  int64
	// lastWaitMs is when a router last reported that a request waits for the item.
	lastWaitMs int64
	// missingSinceMs is since when the item is wanted and no runner holds it, or 0.
	missingSinceMs int64
	lastRequestMs  int64
	// keepUntilMs is until when the item stays wanted because clients were told to
	// come back for it.
	keepUntilMs int64
}

// wanted says whether anyone asked lately, waits now, or was told to come back.
func (d *itemDemand) wanted(nowMs int64) bool {
	waits := d.lastWaitMs > 0 && nowMs-d.lastWaitMs < waitFreshMs
	return waits || nowMs < d.keepUntilMs || d.scoreAt(nowMs) >= 1
}

// scoreAt is the score decayed to a time.
func (d *itemDemand) scoreAt(nowMs int64) float64 {
	return d.score * math.Exp2(-float64(nowMs-d.atMs)/demandHalfLifeMs)
}

// handleDemandReport adds the look-ups that another controller has answered.
func (a *application) handleDemandReport(report protocol.DemandReport) {
	if a.host.IsPrimary() {
		a.primary.addDemandReport(a.host.NowMs(), report)
	}
}

func (p *primaryState) addDemandReport(nowMs int64, report protocol.DemandReport) {
	for key, count := range report.Counts {
		// A key is service/model/adapter.
		parts := strings.SplitN(key, "/", 3)
		if len(parts) != 3 || parts[1] == "" {
			continue
		}
		p.addDemand(nowMs, ledger.Item{Model: parts[1]}, count)
		if parts[2] != "" {
			p.addDemand(nowMs, ledger.Item{Model: parts[1], Adapter: parts[2]}, count)
		}
	}
}

// addDemand counts look-ups of an item. A count of 0 says that a request waits for it,
// which was counted when it came.
func (p *primaryState) addDemand(nowMs int64, item ledger.Item, count int64) {
	d := p.demand[item]
	if d == nil {
		d = &itemDemand{}
		p.demand[item] = d
	}
	d.score = d.scoreAt(nowMs) + float64(count)
	d.atMs = nowMs
	d.lastRequestMs = nowMs
	if count == 0 {
		d.lastWaitMs = nowMs
	}
}

// noteWaiting notes that requests wait for a model, and for its adapter where one is
// named.
func (p *primaryState) noteWaiting(nowMs int64, model, adapter string) {
	if model == "" {
		return
	}
	p.addDemand(nowMs, ledger.Item{Model: model}, 0)
	if adapter != "" {
		p.addDemand(nowMs, ledger.Item{Model: model, Adapter: adapter}, 0)
	}
}
