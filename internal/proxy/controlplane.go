package proxy

import (
	"slices"
	"sync/atomic"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// pollEachMs is the time between two polls of the primary.
	pollEachMs = 300
	// primarySilentMs is how old the last answered poll must be for the
	// primary to count as silent: the router then searches for another one and
	// reads the platform's list of runners itself.
	primarySilentMs = 1000
	// searchEachMs is the time between two searches for the primary.
	searchEachMs = 300
	// earlyPollMs is the least time between two polls of a silent primary
	// when peers report it again.
	earlyPollMs = pollEachMs / 3
	// drainingMemoryMs is how long a runner is remembered as draining after
	// the last report of it. Ids of runners are never used again.
	drainingMemoryMs = 600_000
	// maxDrainingRunners limits how many draining runners are remembered.
	maxDrainingRunners = 8192
)

// controlPlane is what the router knows of the control plane and from it.
type controlPlane struct {
	// seeds are the addresses at which the primary is searched for.
	seeds []string
	// configuration is the one in use, which other goroutines read too;
	// configVersion and configDigest belong to it.
	configuration atomic.Pointer[config.Configuration]
	configVersion uint64
	configDigest  string
	// epoch is that of the last accepted update, primary the controller that
	// is polled.
	epoch   uint64
	primary string
	// highestSeenEpoch is the highest epoch that any peer has reported.
	highestSeenEpoch uint64
	// primaryConfirmedMs is when the last answered poll was sent.
	primaryConfirmedMs int64
	lastPollMs         int64
	lastSearchMs       int64
	// stallGuardUntilMs is until when no request is dispatched after a stall.
	stallGuardUntilMs int64
	// routerCount is the number of routers of the site; 0 before the primary
	// reported it.
	routerCount int
	// reportedDraining is the primary's last list of draining runners. The
	// primary repeats it, and its list of controllers, only to a router whose
	// digest of it differs.
	reportedDraining                  []string
	drainingDigest, controllersDigest uint64
	// nearestController answers look-ups that are not urgent.
	nearestController string
}

// primarySilent reports whether the primary has answered no recent poll.
func (m *Machine) primarySilent() bool { return m.nowMs-m.primaryConfirmedMs > primarySilentMs }

// pollPrimary asks the primary for changes. It is the router's heartbeat too.
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

// searchPrimary asks all seeds for the primary and, since no seed may be left,
// one of the other known controllers in turn.
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
		m.outbox.Send(controllers[int(m.nowMs/searchEachMs)%len(controllers)], protocol.PeersRequest{})
	}
}

// receive handles a message of another daemon. One that is not meant for this
// daemon is counted and ignored.
func (m *Machine) receive(e protocol.Envelope) {
	if m.outbox.Misaddressed(e, m.settings.Site, m.settings.Self.Name) {
		return
	}
	m.detector.Observe(m.nowMs, e.From)
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
		// Observe has noted all that it says.
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

// answerPeersRequest reports the known daemons and the primary.
func (m *Machine) answerPeersRequest(from protocol.Node) {
	m.outbox.Send(from, protocol.PeersReply{
		Peers:  m.detector.Nodes(),
		Record: protocol.EpochRecord{Epoch: m.epoch, Primary: m.primary},
	})
}

// answerPrimaryQuery reports when the primary of the queried epoch last
// answered this router.
func (m *Machine) answerPrimaryQuery(from protocol.Node, query protocol.PrimaryQuery) {
	if query.Epoch == m.epoch {
		m.outbox.Send(from, protocol.PrimaryReply{Epoch: query.Epoch, HeardMs: m.nowMs - m.primaryConfirmedMs})
	}
}

// observePrimary takes note of a primary that a peer reports, and polls it if
// it is a newer one, or if the present one is silent. An update of an older
// epoch is rejected only once the newer primary has sent one itself.
func (m *Machine) observePrimary(epoch uint64, primary string) {
	if epoch == 0 || primary == "" || primary == m.settings.Self.Name {
		return
	}
	if epoch < max(m.epoch, m.highestSeenEpoch) {
		return
	}
	m.highestSeenEpoch = epoch
	pollAgain := m.primarySilent() && m.nowMs-m.lastPollMs >= earlyPollMs
	if primary != m.primary || pollAgain {
		m.primary = primary
		m.pollPrimary()
	}
}

// applyConfigUpdate applies an update of the primary, which answers a poll or
// comes unasked.
func (m *Machine) applyConfigUpdate(from protocol.Node, update protocol.ConfigUpdate) {
	if update.Epoch < m.epoch {
		m.outbox.CountError(errkind.LowerEpoch)
		return
	}
	if update.EchoMs > m.nowMs {
		// It answers a poll of an earlier process at this address.
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

// confirmPrimary notes that the primary answered a poll sent at pollMs.
func (m *Machine) confirmPrimary(pollMs int64) {
	if pollMs <= m.primaryConfirmedMs {
		return
	}
	m.primaryConfirmedMs = pollMs
	// Only the answer to a poll sent after the stall reports what was missed.
	if pollMs >= m.stallGuardUntilMs-stallGuardMs {
		m.stallGuardUntilMs = 0
	}
	m.listedRunners = nil
}

// updateControllers takes over the list of controllers, if the update has it.
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

// updateDraining takes over the list of draining runners, if the update has it.
func (m *Machine) updateDraining(update protocol.ConfigUpdate) {
	if update.LeavingSum == m.drainingDigest && update.LeavingSum != 0 {
		return
	}
	m.reportedDraining, m.drainingDigest = update.Leaving, update.LeavingSum
	for _, id := range update.Leaving {
		m.markDraining(id)
	}
}

// updateRouterCount takes over the number of routers, which share the limits
// of the site.
func (m *Machine) updateRouterCount(routers int) {
	if routers <= 0 || routers == m.routerCount {
		return
	}
	m.routerCount = routers
	for _, budget := range m.retryBudgets {
		budget.resize(m.settings.Bounds.ExtraTries, m.routerCount)
	}
}

// activateConfig puts a newer configuration into use. A router never goes back to an older
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
		// The update only announces the version; the answer to a poll has the
		// text.
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
	m.outbox.Logf("map version %d is in use", update.Version)
}

// markDraining notes that a runner is shutting down, so that it is no longer a
// candidate. Beyond maxDrainingRunners new runners are not remembered.
func (m *Machine) markDraining(id string) {
	if _, known := m.drainingRunners[id]; known || len(m.drainingRunners) < maxDrainingRunners {
		m.drainingRunners[id] = m.nowMs
	}
}

// isDraining reports whether a runner is known to be shutting down.
func (m *Machine) isDraining(id string) bool {
	_, draining := m.drainingRunners[id]
	return draining
}

// sweepDraining forgets the runners that have not been reported as draining
// for drainingMemoryMs. The primary's present list counts as reported now.
func (m *Machine) sweepDraining() {
	for _, id := range m.reportedDraining {
		m.markDraining(id)
	}
	for id, reportedMs := range m.drainingRunners {
		if m.nowMs-reportedMs > drainingMemoryMs {
			delete(m.drainingRunners, id)
		}
	}
}
