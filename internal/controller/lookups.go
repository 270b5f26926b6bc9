package controller

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// snapshotIntervalMs is how often the primary sends the other controllers a
	// snapshot of the index, so that they can answer look-ups too.
	snapshotIntervalMs = 500
	// demandIntervalMs is how often a follower reports to the primary the demand
	// from the look-ups that it answered.
	demandIntervalMs = 500
)

// indexExchange is the state of the messages between controllers that let all of
// them answer look-ups and give the primary the demand from all controllers.
type indexExchange struct {
	snapshotSentMs int64
	demandSentMs   int64
	// sequence counts the snapshots that this controller has sent.
	sequence uint64
	// applied is the newest snapshot that this controller has received.
	applied snapshotVersion
}

// handleLookUp answers a look-up from the index. A controller that has lost contact
// with the majority sends no reply, because its index may list runners that no
// longer exist; the router then asks another controller.
func (c *Controller) handleLookUp(h consensus.Host, from protocol.Node, lookUp protocol.IndexLookUp) {
	if !h.QuorumContact() {
		h.Count(string(errkind.NoQuorumContact))
		return
	}
	reply := c.placement.LookUp(h.NowMs(), from, lookUp)
	for i := range reply.Holders {
		reply.Holders[i].PrefillMs = c.prefill.totals[reply.Holders[i].ID]
	}
	h.Send(from, reply)
	c.addLookUpPrefill(h, from, lookUp)
	if lookUp.Waits {
		c.expediteLookUp(h)
	}
}

// expediteLookUp acts at once on the demand of a waiting request: the primary runs
// the placement, a follower reports the demand to the primary.
func (c *Controller) expediteLookUp(h consensus.Host) {
	if c.isPrimary {
		c.advancePlacement(h)
	} else if c.placement.HasWaitingRequests() {
		c.reportDemand(h)
	}
}

// handleIndexSnapshot updates a follower's index.
func (c *Controller) handleIndexSnapshot(h consensus.Host, snapshot IndexSnapshot) {
	if c.isPrimary || snapshot.Epoch < h.Epoch() || !c.index.applied.advance(snapshot) {
		h.Count(string(errkind.StaleMessage))
		return
	}
	c.placement.ApplySnapshot(h.NowMs(), snapshot.Ledger)
}

// handleDemandReport adds a follower's demand to the primary's.
func (c *Controller) handleDemandReport(h consensus.Host, report DemandReport) {
	if c.isPrimary {
		c.placement.AddDemand(h.NowMs(), report.Counts)
	}
}

func (c *Controller) tickFollower(h consensus.Host) {
	if h.NowMs()-c.index.demandSentMs >= demandIntervalMs {
		c.reportDemand(h)
	}
}

// reportDemand sends the primary the demand since the last report. If no primary is
// known the demand is discarded: it would be outdated by the time there is one.
func (c *Controller) reportDemand(h consensus.Host) {
	c.index.demandSentMs = h.NowMs()
	if counts := c.placement.DrainDemand(); len(counts) > 0 && h.Primary().Name != "" {
		h.Send(h.Primary(), DemandReport{Counts: counts})
	}
}

// sendSnapshots sends the index to the other controllers when it is due.
func (c *Controller) sendSnapshots(h consensus.Host) {
	if h.NowMs()-c.index.snapshotSentMs < snapshotIntervalMs {
		return
	}
	c.index.snapshotSentMs = h.NowMs()
	c.index.sequence++
	snapshot := IndexSnapshot{Epoch: h.Epoch(), Sequence: c.index.sequence, Ledger: c.placement.Snapshot()}
	for _, controller := range h.Controllers() {
		h.Send(controller, snapshot)
	}
}
