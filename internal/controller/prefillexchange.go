package controller

import (
	"cmp"
	"maps"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

const (
	// minPrefillIntervalMs is the least time between two rounds of reports. In a
	// replay of a day's bursts 7.7% of streams met four prompts with figures 100 ms
	// old, 5.3% with figures 50 ms old, and 2.5% with perfect ones.
	minPrefillIntervalMs = 20
	// prefillIntervalPerRouterMs lengthens it, so that a controller sends its
	// routers at most 500 reports a second, however many there are.
	prefillIntervalPerRouterMs = 2
	// prefillRouterMs is for how long after its last report a router gets reports.
	prefillRouterMs = 10_000
	// prefillStepMs is the least change of a figure that is reported.
	prefillStepMs = 20
	// maxReportedRunners bounds the runners in a report; the others follow in the
	// next one.
	maxReportedRunners = 64
	// maxPrefillRunners bounds the runners that are kept of one sender.
	maxPrefillRunners = 4096
	// unsentFigure differs by more than a step from every figure.
	unsentFigure = -prefillStepMs
)

// prefillExchange adds up the prefill that routers report. Every controller tells
// the others the sum of its routers, and its routers the sum of all.
type prefillExchange struct {
	// senders holds the reports of each router and of each other controller, by
	// name.
	senders map[string]*prefillSender
	// totals is the prefill in ms of all senders by runner, fromRouters that of the
	// routers alone.
	totals, fromRouters map[string]int64
	// toRouters and toControllers are the reports for the two kinds of receivers.
	toRouters, toControllers pendingReport
	sentMs, refreshedMs      int64
}

// prefillSender is what a router or another controller reported last.
type prefillSender struct {
	node    protocol.Node
	heardMs int64
	ms      map[string]int64
}

// pendingReport is what one kind of receivers must be told yet.
type pendingReport struct {
	// sent holds the last figure of each runner that was not 0, changed the runners
	// whose figure may differ from it.
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

// sender returns the state of a sender, and notes that it was heard of now.
func (p *prefillExchange) sender(nowMs int64, node protocol.Node) *prefillSender {
	s := p.senders[node.Name]
	if s == nil {
		s = &prefillSender{ms: map[string]int64{}}
		p.senders[node.Name] = s
	}
	s.node, s.heardMs = node, nowMs
	return s
}

// set takes a sender's figure for a runner.
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

// setOrDelete keeps figures that are not 0.
func setOrDelete(figures map[string]int64, runner string, ms int64) {
	if ms == 0 {
		delete(figures, runner)
	} else {
		figures[runner] = ms
	}
}

// expire forgets the figures of senders that have not repeated them, and routers
// that have reported nothing for long.
func (p *prefillExchange) expire(nowMs int64) {
	for name, s := range p.senders {
		silentMs := nowMs - s.heardMs
		if silentMs > protocol.PrefillMaxAgeMs {
			for runner := range maps.Clone(s.ms) {
				p.set(s, runner, 0)
			}
		}
		if silentMs > prefillRouterMs {
			delete(p.senders, name)
		}
	}
}

// routers are the routers that get reports, by name.
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

// take returns the figures that changed enough, the highest first, and takes them
// as sent.
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
	for _, one := range report {
		delete(r.changed, one.Runner)
		setOrDelete(r.sent, one.Runner, one.Ms)
	}
	return report
}

// refresh has all figures sent again.
func (r *pendingReport) refresh(totals map[string]int64) {
	for runner := range totals {
		r.changed[runner] = true
		r.sent[runner] = unsentFigure
	}
}

// noteLookUp adds the prefill of a request that was sent together with its
// look-up to what its router reported.
func (c *Controller) noteLookUp(h consensus.Host, from protocol.Node, lookUp protocol.IndexLookUp) {
	if lookUp.Runner == "" {
		return
	}
	sender := c.prefill.sender(h.NowMs(), from)
	c.prefill.set(sender, lookUp.Runner, sender.ms[lookUp.Runner]+lookUp.PrefillMs)
	c.sharePrefill(h)
}

// handlePrefillReport takes the figures of a router or of another controller.
func (c *Controller) handlePrefillReport(h consensus.Host, from protocol.Node, report protocol.PrefillReport) {
	sender := c.prefill.sender(h.NowMs(), from)
	for _, one := range report.Runners {
		c.prefill.set(sender, one.Runner, one.Ms)
	}
	c.sharePrefill(h)
}

// tickPrefill does what is due by the time.
func (c *Controller) tickPrefill(h consensus.Host) {
	c.prefill.expire(h.NowMs())
	if h.NowMs()-c.prefill.refreshedMs >= protocol.PrefillRefreshMs {
		c.prefill.refreshedMs = h.NowMs()
		c.prefill.toRouters.refresh(c.prefill.totals)
		c.prefill.toControllers.refresh(c.prefill.fromRouters)
	}
	c.sharePrefill(h)
}

// sharePrefill reports what is new, if the last time is long enough ago.
func (c *Controller) sharePrefill(h consensus.Host) {
	if len(c.prefill.toRouters.changed) == 0 {
		return
	}
	routers := c.prefill.routers()
	intervalMs := max(minPrefillIntervalMs, prefillIntervalPerRouterMs*int64(len(routers)))
	if h.NowMs()-c.prefill.sentMs < intervalMs {
		return
	}
	c.prefill.sentMs = h.NowMs()
	c.reportToControllers(h)
	report := protocol.PrefillReport{Runners: c.prefill.toRouters.take(c.prefill.totals)}
	if len(report.Runners) == 0 {
		return
	}
	for _, router := range routers {
		h.Send(router, report)
	}
}

// reportToControllers tells the other controllers of this one's routers. With few
// routers all look-ups come to the primary, and no other controller needs it. A
// follower that gets any knows by that that there are many; it need not know all
// of them.
func (c *Controller) reportToControllers(h consensus.Host) {
	isOnly := c.isPrimary && len(h.Routers()) <= protocol.SpreadLookUpsFrom
	report := protocol.PrefillReport{Runners: c.prefill.toControllers.take(c.prefill.fromRouters)}
	if isOnly || len(report.Runners) == 0 {
		return
	}
	for _, controller := range h.Controllers() {
		h.Send(controller, report)
	}
}
