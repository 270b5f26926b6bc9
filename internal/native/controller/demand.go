package controller

import (
	"math"
	"strings"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// demandHalfLifeMs is the half-life of the score of an item.
	demandHalfLifeMs = 10_000
	// waitReportValidMs is how long a router's report that a request waits for an item stays valid.
	waitReportValidMs = 1500
)

// itemDemand is the demand for a model or adapter.
type itemDemand struct {
	// score is the exponentially decaying count of look-ups, as of atMs.
	score float64
	atMs  int64
	// lastWaitMs is when a router last reported that a request waits for the item.
	lastWaitMs int64
	// missingSinceMs is the time since which the item has been wanted but held by no runner, or 0.
	missingSinceMs int64
	lastRequestMs  int64
	// wantedUntilMs is the time until which the item stays wanted, because clients were told to
	// retry by then.
	wantedUntilMs int64
}

// wanted reports whether requests wait for the item, clients were told to retry later, or the
// score is at least 1.
func (d *itemDemand) wanted(nowMs int64) bool {
	waits := d.lastWaitMs > 0 && nowMs-d.lastWaitMs < waitReportValidMs
	return waits || nowMs < d.wantedUntilMs || d.scoreAt(nowMs) >= 1
}

// scoreAt returns the score, decayed up to nowMs.
func (d *itemDemand) scoreAt(nowMs int64) float64 {
	return d.score * math.Exp2(-float64(nowMs-d.atMs)/demandHalfLifeMs)
}

// handleDemandReport adds the look-ups that a controller has answered.
func (a *application) handleDemandReport(report protocol.DemandReport) {
	if a.host.IsPrimary() {
		a.primary.addDemandReport(a.host.NowMs(), report)
	}
}

func (p *primaryState) addDemandReport(nowMs int64, report protocol.DemandReport) {
	for key, count := range report.Counts {
		// A key has the form service/model/adapter.
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

// addDemand counts look-ups of an item. A count of 0 means that a request is waiting for the
// item; its look-up was counted before.
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

// recordWaiting records that requests are waiting for a model, and for the adapter if one is
// named.
func (p *primaryState) recordWaiting(nowMs int64, model, adapter string) {
	if model == "" {
		return
	}
	p.addDemand(nowMs, ledger.Item{Model: model}, 0)
	if adapter != "" {
		p.addDemand(nowMs, ledger.Item{Model: model, Adapter: adapter}, 0)
	}
}
