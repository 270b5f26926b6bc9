package proxy

import (
	"slices"
	"sync/atomic"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// pollIntervalMs is the time between two polls of the primary.
	pollIntervalMs = 300
	// primaryUnresponsiveMs is the age of the last answered poll from which on the
	// primary counts as unresponsive. The router then searches for another primary and
	// reads the platform's list of runners itself.
	primaryUnresponsiveMs = 1000
	// searchIntervalMs is the time between two searches for the primary.
	searchIntervalMs = 300
	// minPollIntervalMs is the minimum time between two polls of an unresponsive primary
	// while peers still report it as the primary.
	minPollIntervalMs = pollIntervalMs / 3
	// drainingRetentionMs is how long a runner is remembered as draining after the last
	// report of it. IDs of runners are never reused.
	drainingRetentionMs = 600_000
	// maxDrainingRunners limits how many draining runners are remembered.
	maxDrainingRunners = 8192
)

// controlPlane is the router's state about the control plane, and the information that it
// received from there.
type controlPlane struct {
	// seeds are the addresses at which the router searches for the primary.
	seeds []string
	// configuration is the active one, which other goroutines read too; configVersion and
	// configDigest belong to it.
	configuration atomic.Pointer[config.Configuration]
	configVersion uint64
	configDigest  string
	// epoch is the epoch of the last accepted update, primary the controller that is
	// polled.
	epoch   uint64
	primary string
	// highestSeenEpoch is the highest epoch that any peer has reported.
	highestSeenEpoch uint64
	// primaryConfirmedMs is when the last answered poll was sent.
	primaryConfirmedMs int64
	lastPollMs         int64
	lastSearchMs       int64
	// stallWaitUntilMs is the time before which no request is dispatched after a stall.
	stallWaitUntilMs int64
	// routerCount is the number of routers of the site, or 0 before the primary has
	// reported it.
	routerCount int
	// reportedDraining is the primary's last list of draining runners. The
	// primary repeats it, and its list of controllers, only to a router whose
	// digest of it differs.
	reportedDraining                  []string
	drainingDigest, controllersDigest uint64
	// nearestController is the controller for look-ups that no request waits for.
	nearestController string
}

// primaryUnresponsive reports whether the primary has answered no recent poll.
func (m *Machine) primaryUnresponsive() bool {
	return m.nowMs-m.primaryConfirmedMs > primaryUnresponsiveMs
}

// pollPrimary asks the primary for changes. The poll is also the router's heartbeat.
func (m *Machine) pollPrimary() {
	m.lastPollMs = m.nowMs
	node, known := m.detector.Node(m.primary)
	if !known || m.primary == "" {
		return
	}
	m.outbox.Send(node, protocol.ConfigPoll{
		EchoMs: m.nowMs, Version: m.configVersion, Sum: m.configDigest,
		LeavingSum: m.drainingDigest, ControllersSum: m.controllersDigest,
	})
}

// searchPrimary asks all seeds for the primary, and also one of the other known
// controllers in turn, because possibly none of the seeds exists any more.
func (m *Machine) searchPrimary() {
	m.lastSearchMs = m.nowMs
	for _, seed := range m.seeds {
		m.outbox.SendToAddress(seed, protocol.PeersRequest{})
	}
	controllers := m.detector.NodesOf(protocol.RoleController)
	controllers = slices.DeleteFunc(controllers, func(node protocol.Node) bool {
		return slices.Contains(m.seeds, node.Address)
	})
	if len(controllers) > 0 {
		m.outbox.Send(controllers[int(m.nowMs/searchIntervalMs)%len(controllers)], protocol.PeersRequest{})
	}
}

// receive handles a message of another daemon. One that is meant for a different daemon
// is counted and ignored.
func (m *Machine) receive(e protocol.Envelope) {
	if m.outbox.Misaddressed(e, m.settings.Site, m.settings.Self.Name) {
		return
	}
	m.detector.Observe(m.nowMs, e.From)
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
		// Observe has recorded everything in it.
	case protocol.PeersRequest:
		m.answerPeersRequest(e.From)
	case protocol.PeersReply:
		m.detector.AddNodes(m.nowMs, body.Peers)
		m.observePrimary(body.Record.Epoch, body.Record.Primary)
	case protocol.PollRequest:
		m.observePrimary(body.Epoch, e.From.Name)
	case protocol.PrimaryQuery:
		m.answerPrimaryQuery(e.From, body)
	case protocol.ConfigUpdate:
		m.applyConfigUpdate(e.From, body)
	case protocol.IndexReply:
		m.applyIndexReply(body)
	case protocol.PrefillReport:
		m.applyPrefillReport(e.From, body)
	default:
		m.outbox.CountError(errkind.Malformed)
	}
}

// answerPeersRequest replies with the known daemons and the primary.
func (m *Machine) answerPeersRequest(from protocol.Node) {
	m.outbox.Send(from, protocol.PeersReply{
		Peers:  m.detector.Nodes(),
		Record: protocol.EpochRecord{Epoch: m.epoch, Primary: m.primary},
	})
}

// answerPrimaryQuery replies how long ago the primary of the queried epoch was last
// confirmed by an answered poll.
func (m *Machine) answerPrimaryQuery(from protocol.Node, query protocol.PrimaryQuery) {
	if query.Epoch == m.epoch {
		m.outbox.Send(from, protocol.PrimaryReply{Epoch: query.Epoch, HeardMs: m.nowMs - m.primaryConfirmedMs})
	}
}

// observePrimary records a primary that a peer reports, and polls it if it differs from
// the present one, or if that is unresponsive. Updates of an older epoch are rejected
// only once the newer primary has sent an update itself.
func (m *Machine) observePrimary(epoch uint64, primary string) {
	if epoch == 0 || primary == "" || primary == m.settings.Self.Name {
		return
	}
	if epoch < max(m.epoch, m.highestSeenEpoch) {
		return
	}
	m.highestSeenEpoch = epoch
	pollAgain := m.primaryUnresponsive() && m.nowMs-m.lastPollMs >= minPollIntervalMs
	if primary != m.primary || pollAgain {
		m.primary = primary
		m.pollPrimary()
	}
}

// applyConfigUpdate applies an update of the primary, which either answers a poll or is
// pushed.
func (m *Machine) applyConfigUpdate(from protocol.Node, update protocol.ConfigUpdate) {
	if update.Epoch < m.epoch {
		m.outbox.CountError(errkind.StaleEpoch)
		return
	}
	if update.EchoMs > m.nowMs {
		// It replies to a poll of an earlier process at this address.
		return
	}
	m.epoch, m.primary = update.Epoch, from.Name
	m.confirmPrimary(update.EchoMs)
	m.updateControllers(update)
	m.updateDraining(update)
	m.updateRouterCount(update.Routers)
	m.activateConfig(update)
	m.dispatchQueue()
}

// confirmPrimary records that the primary answered a poll sent at pollMs.
func (m *Machine) confirmPrimary(pollMs int64) {
	if pollMs <= m.primaryConfirmedMs {
		return
	}
	m.primaryConfirmedMs = pollMs
	// Only the reply to a poll sent after the stall contains the changes made during it.
	if pollMs >= m.stallWaitUntilMs-stallWaitMs {
		m.stallWaitUntilMs = 0
	}
	m.listedRunners = nil
}

// updateControllers applies the list of controllers, if the update contains it.
func (m *Machine) updateControllers(update protocol.ConfigUpdate) {
	if len(update.Controllers) == 0 {
		return
	}
	m.nearestController = nearest(m.settings.Self, update.Controllers)
	m.controllersDigest = 0
	if m.detector.AddNodes(m.nowMs, update.Controllers) {
		m.controllersDigest = update.ControllersSum
	}
}

// updateDraining applies the list of draining runners, if the update contains it.
func (m *Machine) updateDraining(update protocol.ConfigUpdate) {
	if update.LeavingSum == m.drainingDigest && update.LeavingSum != 0 {
		return
	}
	m.reportedDraining, m.drainingDigest = update.Leaving, update.LeavingSum
	for _, id := range update.Leaving {
		m.markDraining(id)
	}
}

// updateRouterCount applies the number of routers, by which the limits of the site are
// divided.
func (m *Machine) updateRouterCount(routers int) {
	if routers <= 0 || routers == m.routerCount {
		return
	}
	m.routerCount = routers
	for _, budget := range m.retryBudgets {
		budget.resize(m.settings.Bounds.ExtraTries, m.routerCount)
	}
}

// activateConfig activates a newer configuration. A router never returns to an older
// version.
func (m *Machine) activateConfig(update protocol.ConfigUpdate) {
	if update.Version <= m.configVersion {
		return
	}
	text := update.Text
	if len(update.Packed) > 0 {
		unpacked, err := protocol.Decompress(update.Packed)
		if err != nil || protocol.Digest(unpacked) != update.Sum {
			m.outbox.CountError(errkind.Malformed)
			return
		}
		text = unpacked
	}
	if text == "" {
		// The update only announces the version; the reply to a poll contains the text.
		if update.EchoMs == 0 {
			m.pollPrimary()
		}
		return
	}
	configuration, faults := m.format.Parse([]byte(text))
	if len(faults) > 0 || configuration == nil {
		m.outbox.CountError(errkind.Malformed)
		return
	}
	configuration.BuildIndex()
	m.configVersion, m.configDigest = update.Version, update.Sum
	m.configuration.Store(configuration)
	m.outbox.Logf("configuration version %d is active", update.Version)
}

// markDraining records that a runner is draining, so that it is no longer a candidate.
// Beyond maxDrainingRunners no more runners are recorded.
func (m *Machine) markDraining(id string) {
	if _, known := m.drainingRunners[id]; known || len(m.drainingRunners) < maxDrainingRunners {
		m.drainingRunners[id] = m.nowMs
	}
}

// isDraining reports whether a runner is known to be draining.
func (m *Machine) isDraining(id string) bool {
	_, draining := m.drainingRunners[id]
	return draining
}

// sweepDraining forgets the runners that have not been reported as draining
// for drainingRetentionMs. The primary's present list counts as reported now.
func (m *Machine) sweepDraining() {
	for _, id := range m.reportedDraining {
		m.markDraining(id)
	}
	for id, reportedMs := range m.drainingRunners {
		if m.nowMs-reportedMs > drainingRetentionMs {
			delete(m.drainingRunners, id)
		}
	}
}
