package controller

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

const (
	// routerTimeoutMs is how long a router counts among the routers that share the
	// retry budget after its last poll, or after it was last known to be alive.
	routerTimeoutMs = 30_000
	// summaryMaxAgeMs is how long the summary of the site is reused. Hundreds
	// of routers poll within that time, and computing it iterates over all of them.
	summaryMaxAgeMs = 100
	// resendIntervalMs is how long a configuration that was sent to a router
	// is assumed to be in transit. Over a slow link a router polls several times
	// before a large configuration has arrived, and sending it again would only
	// delay it.
	resendIntervalMs = 700
	// maxConfigsSent bounds routerRegistry.configSent, which also has earlier
	// incarnations of routers.
	maxConfigsSent = 4096
)

// routerRegistry is what the primary knows about the routers, and what it sends them
// besides the configuration. The other controllers do not use it.
type routerRegistry struct {
	// lastSeenMs is when each router last polled or was last known to be alive, by
	// name.
	lastSeenMs map[string]int64
	// configSent has the version of the configuration that was last sent to each
	// router. A restarted router has another key, because its incarnation differs.
	configSent map[protocol.Node]sentConfig
	// announced is the last update that was sent to all routers without waiting for their
	// polls.
	announced announcement
	summary   siteSummary
	leaving   leavingRunners
}

type sentConfig struct {
	version uint64
	sentMs  int64
}

// announcement identifies an update that was sent to all routers. The zero value
// means none, because a primary's epoch is never 0.
type announcement struct{ version, epoch uint64 }

// siteSummary is the part of ConfigUpdate about the processes of the site.
type siteSummary struct {
	isComputed bool
	computedMs int64
	// routers is how many routers share the retry budget. It is at least 1.
	routers int
	// controllers are the controllers that are alive, including this one, and
	// controllersSum is the hash of the list.
	controllers    []protocol.Node
	controllersSum uint64
}

// leavingRunners is the list of runners that are draining or were removed recently,
// with its hash.
type leavingRunners struct {
	ids []string
	sum uint64
}

func newRouterRegistry() routerRegistry {
	return routerRegistry{lastSeenMs: map[string]int64{}, configSent: map[protocol.Node]sentConfig{}}
}

func (r *routerRegistry) beginPrimacy(leaving []string) {
	r.summary = siteSummary{}
	r.setLeaving(leaving)
}

func (r *routerRegistry) endPrimacy() {
	r.announced = announcement{}
	r.lastSeenMs = map[string]int64{}
	clear(r.configSent)
}

func (r *routerRegistry) setLeaving(ids []string) {
	r.leaving = leavingRunners{ids, protocol.DigestStrings(ids)}
}

// shouldSendConfig reports whether a version is to be sent to a router, and if so
// records it as sent. It returns false while that version is assumed to be in
// transit.
func (r *routerRegistry) shouldSendConfig(nowMs int64, router protocol.Node, version uint64) bool {
	last := r.configSent[router]
	inTransit := last.version == version && nowMs-last.sentMs < resendIntervalMs
	if inTransit {
		return false
	}
	if len(r.configSent) > maxConfigsSent {
		clear(r.configSent)
	}
	r.configSent[router] = sentConfig{version, nowMs}
	return true
}

// refreshSummary computes the summary again if it is too old.
func (r *routerRegistry) refreshSummary(h consensus.Host) {
	if r.summary.isComputed && h.NowMs()-r.summary.computedMs < summaryMaxAgeMs {
		return
	}
	r.refreshLastSeen(h)
	// Messages that were sent share this slice, so it is never changed in place.
	controllers := append(h.Controllers(), h.Self())
	r.summary = siteSummary{
		isComputed: true, computedMs: h.NowMs(), routers: max(1, len(r.lastSeenMs)),
		controllers: controllers, controllersSum: protocol.DigestNodes(controllers),
	}
}

// refreshLastSeen marks the routers that are alive as seen now, and removes those
// that have not been seen within routerTimeoutMs.
func (r *routerRegistry) refreshLastSeen(h consensus.Host) {
	for _, router := range h.Routers() {
		r.lastSeenMs[router.Name] = max(r.lastSeenMs[router.Name], h.NowMs())
	}
	for name, seenMs := range r.lastSeenMs {
		if h.NowMs()-seenMs > routerTimeoutMs {
			delete(r.lastSeenMs, name)
		}
	}
}

// handlePoll replies to a router's poll. It leaves out what the router already has,
// so the cost of the reply does not depend on the size of the site.
func (c *Controller) handlePoll(h consensus.Host, from protocol.Node, poll protocol.ConfigPoll) {
	if !c.isPrimary || !h.Serves() {
		return
	}
	c.routers.lastSeenMs[from.Name] = h.NowMs()
	update := c.configUpdate(h)
	update.EchoMs = poll.EchoMs
	if poll.Version != update.Version && c.routers.shouldSendConfig(h.NowMs(), from, update.Version) {
		update.Packed = c.config.active.packed
	}
	if poll.LeavingSum == update.LeavingSum {
		update.Leaving = nil
	}
	if poll.ControllersSum == update.ControllersSum {
		update.Controllers = nil
	}
	h.Send(from, update)
}

// updateRouters sends all routers an update without waiting for their polls. It
// includes the configuration itself only if the version or the primary is new.
func (c *Controller) updateRouters(h consensus.Host) {
	if !h.Serves() {
		return
	}
	update := c.configUpdate(h)
	current := announcement{update.Version, update.Epoch}
	isNew := c.routers.announced != current
	c.routers.announced = current
	for _, router := range h.Routers() {
		update.Packed = nil
		if isNew && c.routers.shouldSendConfig(h.NowMs(), router, update.Version) {
			update.Packed = c.config.active.packed
		}
		h.Send(router, update)
	}
}

// configUpdate returns the current update for routers, without the configuration
// itself.
func (c *Controller) configUpdate(h consensus.Host) protocol.ConfigUpdate {
	c.routers.refreshSummary(h)
	summary, leaving := &c.routers.summary, &c.routers.leaving
	return protocol.ConfigUpdate{
		Epoch: h.Epoch(), Version: c.config.active.version, Sum: c.config.active.sum,
		Leaving: leaving.ids, LeavingSum: leaving.sum, AgeMs: c.placement.ListAgeMs(h.NowMs()),
		Routers: summary.routers, Controllers: summary.controllers, ControllersSum: summary.controllersSum,
	}
}
