package controller

import (
	"cmp"
	"maps"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

const (
	// minPrefillIntervalMs is the minimum time between two rounds of reports. In a
	// replay of a day's bursts, 7.7% of streams had four concurrent prompts at their
	// runner if the values were 100 ms old, 5.3% if they were 50 ms old, and 2.5% if
	// they were exact.
	minPrefillIntervalMs = 20
	// prefillIntervalPerRouterMs is the minimum time between two rounds per router.
	// It limits a controller to 500 reports a second to all routers together.
	prefillIntervalPerRouterMs = 2
	// prefillRouterMs is how long a router is sent reports after its own last report.
	prefillRouterMs = 10_000
	// prefillStepMs is the smallest change of a value that is reported. A change to 0
	// is always reported.
	prefillStepMs = 20
	// maxReportedRunners bounds the runners in a report; the others are in the next
	// one.
	maxReportedRunners = 64
	// maxPrefillRunners bounds the runners that are kept for one sender.
	maxPrefillRunners = 4096
	// notSentMs stands for a value that was not sent. It differs from every value by
	// prefillStepMs or more.
	notSentMs = -prefillStepMs
)

// prefillExchange adds up the prefill that routers report. Every controller reports
// the sum over its routers to the other controllers, and the sum over all senders to
// its routers.
type prefillExchange struct {
	// senders holds the reports of each router and of each other controller, by
	// name.
	senders map[string]*prefillSender
	// totals is the prefill in ms by runner, added up over all senders; fromRouters
	// is added up over the routers alone.
	totals, fromRouters map[string]int64
	// toRouters and toControllers are the next reports to routers and to the other
	// controllers.
	toRouters, toControllers pendingReport
	sentMs, refreshedMs      int64
}

// prefillSender is what a router or another controller reported last.
type prefillSender struct {
	node       protocol.Node
	reportedMs int64
	// ms holds the prefill of each runner in ms.
	ms map[string]int64
}

// pendingReport tracks which values one kind of receiver must still be sent.
type pendingReport struct {
	// sent has the value that was last sent for each runner, unless it was 0. changed
	// has the runners whose current value may differ from the value in sent.
	sent    map[string]int64
	changed map[string]bool
}

func newPendingReport() pendingReport {
	return pendingReport{sent: map[string]int64{}, changed: map[string]bool{}}
}

func newPrefillExchange() prefillExchange {
	return prefillExchange{
		senders: map[string]*prefillSender{}, totals: map[string]int64{}, fromRouters: map[string]int64{},
		toRouters: newPendingReport(), toControllers: newPendingReport(),
	}
}

// sender returns the state of a sender and records that it sent values now.
func (p *prefillExchange) sender(nowMs int64, node protocol.Node) *prefillSender {
	s := p.senders[node.Name]
	if s == nil {
		s = &prefillSender{ms: map[string]int64{}}
		p.senders[node.Name] = s
	}
	s.node, s.reportedMs = node, nowMs
	return s
}

// set records a sender's value for a runner and updates the totals.
func (p *prefillExchange) set(s *prefillSender, runner string, ms int64) {
	if _, known := s.ms[runner]; !known && len(s.ms) >= maxPrefillRunners {
		return
	}
	change := max(0, ms) - s.ms[runner]
	setOrDelete(s.ms, runner, max(0, ms))
	p.addTotal(p.totals, &p.toRouters, runner, change)
	if s.node.Part != protocol.RoleController {
		p.addTotal(p.fromRouters, &p.toControllers, runner, change)
	}
}

func (p *prefillExchange) addTotal(totals map[string]int64, pending *pendingReport, runner string, change int64) {
	if change != 0 {
		setOrDelete(totals, runner, totals[runner]+change)
		pending.changed[runner] = true
	}
}

// setOrDelete sets a runner's value. A value of 0 is not stored.
func setOrDelete(values map[string]int64, runner string, ms int64) {
	if ms == 0 {
		delete(values, runner)
	} else {
		values[runner] = ms
	}
}

// expire drops the values of senders that have sent nothing within PrefillMaxAgeMs,
// and the senders that have sent nothing within prefillRouterMs.
func (p *prefillExchange) expire(nowMs int64) {
	for name, s := range p.senders {
		ageMs := nowMs - s.reportedMs
		if ageMs > protocol.PrefillMaxAgeMs {
			for runner := range maps.Clone(s.ms) {
				p.set(s, runner, 0)
			}
		}
		if ageMs > prefillRouterMs {
			delete(p.senders, name)
		}
	}
}

// routers returns the routers that are sent reports, sorted by name.
func (p *prefillExchange) routers() []protocol.Node {
	var nodes []protocol.Node
	for _, s := range p.senders {
		if s.node.Part != protocol.RoleController {
			nodes = append(nodes, s.node)
		}
	}
	slices.SortFunc(nodes, func(a, b protocol.Node) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}

// take returns the values that changed enough, the highest first, and marks them as
// sent.
func (r *pendingReport) take(totals map[string]int64) []protocol.RunnerPrefill {
	var report []protocol.RunnerPrefill
	for runner := range r.changed {
		ms, sentMs := totals[runner], r.sent[runner]
		isSmall := max(ms-sentMs, sentMs-ms) < prefillStepMs
		if ms == sentMs || isSmall && ms > 0 {
			delete(r.changed, runner)
			continue
		}
		report = append(report, protocol.RunnerPrefill{Runner: runner, Ms: ms})
	}
	slices.SortFunc(report, func(a, b protocol.RunnerPrefill) int {
		return cmp.Or(cmp.Compare(b.Ms, a.Ms), cmp.Compare(a.Runner, b.Runner))
	})
	report = report[:min(len(report), maxReportedRunners)]
	for _, entry := range report {
		delete(r.changed, entry.Runner)
		setOrDelete(r.sent, entry.Runner, entry.Ms)
	}
	return report
}

// refresh marks all values to be sent again.
func (r *pendingReport) refresh(totals map[string]int64) {
	for runner := range totals {
		r.changed[runner] = true
		r.sent[runner] = notSentMs
	}
}

// addLookUpPrefill adds the prefill of the look-up's request to what its router
// reported, if the request was sent to a runner together with the look-up.
func (c *Controller) addLookUpPrefill(h consensus.Host, from protocol.Node, lookUp protocol.IndexLookUp) {
	if lookUp.Runner == "" {
		return
	}
	sender := c.prefill.sender(h.NowMs(), from)
	c.prefill.set(sender, lookUp.Runner, sender.ms[lookUp.Runner]+lookUp.PrefillMs)
	c.sendPrefillReports(h)
}

// handlePrefillReport records the values from a router or from another controller.
func (c *Controller) handlePrefillReport(h consensus.Host, from protocol.Node, report protocol.PrefillReport) {
	sender := c.prefill.sender(h.NowMs(), from)
	for _, entry := range report.Runners {
		c.prefill.set(sender, entry.Runner, entry.Ms)
	}
	c.sendPrefillReports(h)
}

// tickPrefill expires old values, refreshes the reports and sends them when due.
func (c *Controller) tickPrefill(h consensus.Host) {
	c.prefill.expire(h.NowMs())
	if h.NowMs()-c.prefill.refreshedMs >= protocol.PrefillRefreshMs {
		c.prefill.refreshedMs = h.NowMs()
		c.prefill.toRouters.refresh(c.prefill.totals)
		c.prefill.toControllers.refresh(c.prefill.fromRouters)
	}
	c.sendPrefillReports(h)
}

// sendPrefillReports sends the changed values, unless the interval since the last
// reports is too short.
func (c *Controller) sendPrefillReports(h consensus.Host) {
	if len(c.prefill.toRouters.changed) == 0 {
		return
	}
	routers := c.prefill.routers()
	intervalMs := max(minPrefillIntervalMs, prefillIntervalPerRouterMs*int64(len(routers)))
	if h.NowMs()-c.prefill.sentMs < intervalMs {
		return
	}
	c.prefill.sentMs = h.NowMs()
	c.sendPrefillToControllers(h)
	report := protocol.PrefillReport{Runners: c.prefill.toRouters.take(c.prefill.totals)}
	if len(report.Runners) == 0 {
		return
	}
	for _, router := range routers {
		h.Send(router, report)
	}
}

// sendPrefillToControllers reports the sum over this controller's routers to the other
// controllers. With few routers all look-ups go to the primary, which then sends no
// report because no other controller needs it. A follower always reports: if it
// receives look-ups there are many routers, even if it does not know all of them.
func (c *Controller) sendPrefillToControllers(h consensus.Host) {
	receivesAllLookUps := c.isPrimary && len(h.Routers()) <= protocol.SpreadLookUpsAbove
	report := protocol.PrefillReport{Runners: c.prefill.toControllers.take(c.prefill.fromRouters)}
	if receivesAllLookUps || len(report.Runners) == 0 {
		return
	}
	for _, controller := range h.Controllers() {
		h.Send(controller, report)
	}
}
