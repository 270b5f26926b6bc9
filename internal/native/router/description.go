package router

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

const (
	// leaseMs is the length of the lease on a revision. It starts when the router sends the poll
	// whose reply renews it.
	leaseMs = 6000
	// pendingLeaseMs is how long a router that acknowledged the next revision may use the
	// present one. It starts when the router sends the last poll whose reply names the next
	// revision as pending.
	pendingLeaseMs = 1500
)

// applyUpdate applies the primary's reply to a poll of this process.
func (m *Machine) applyUpdate(from protocol.Node, update protocol.RouterUpdate) {
	if update.Epoch < m.epoch {
		m.outbox.CountError(errkind.StaleEpoch)
		return
	}
	if !m.isReplyToNewerPoll(update) {
		return
	}
	if update.Retired {
		m.retire()
		return
	}
	// A router never returns to an older description.
	if update.Revision < m.revision {
		m.outbox.CountError(errkind.StaleRevision)
		return
	}
	m.registration = update.Number
	m.epoch, m.primary, m.primaryConfirmedMs = update.Epoch, from.Name, update.EchoMs
	m.detector.AddNodes(m.nowMs, update.Peers)
	m.setDraining(update.Leaving)
	m.drainingAsOfMs = max(m.drainingAsOfMs, update.EchoMs)
	if update.Revision > m.revision && !m.activate(update) {
		return
	}
	if update.Renew {
		m.leaseUntilMs = max(m.leaseUntilMs, update.EchoMs+leaseMs)
	}
	m.updatePending(update)
	m.dispatchQueue()
}

// isReplyToNewerPoll reports whether an update replies to a poll of this process that was sent
// after the last one whose reply was applied.
func (m *Machine) isReplyToNewerPoll(update protocol.RouterUpdate) bool {
	if update.For != m.settings.Self.Incarnation {
		return false
	}
	return update.EchoMs > m.primaryConfirmedMs && update.EchoMs <= m.nowMs
}

// retire ends the use of this process because a later one has its name.
func (m *Machine) retire() {
	m.outbox.Logf("retired: another router process has this name; stop this process")
	m.retired, m.draining = true, true
	m.dispatchQueue()
}

// activate starts to use the description of a higher revision. It returns false if the
// description is malformed.
func (m *Machine) activate(update protocol.RouterUpdate) bool {
	next := m.pendingDescription
	if update.Sum != m.pendingDigest {
		next = m.parseDescription(update.Text)
	}
	if next == nil {
		return false
	}
	m.revision, m.description = update.Revision, next
	m.revisionInUse.Store(update.Revision)
	m.clearPending()
	m.leaseUntilMs = m.nowMs
	m.extensions = map[string]int64{}
	m.outbox.Logf("using revision %d", m.revision)
	m.resizeRetryBudgets()
	return true
}

// updatePending acknowledges the next description, or discards it if it is no longer pending.
func (m *Machine) updatePending(update protocol.RouterUpdate) {
	switch {
	case update.Pending == "":
		m.clearPending()
	case update.Pending == m.pendingDigest:
		m.pendingSeenMs = update.EchoMs
	case update.PendingText != "":
		next := m.parseDescription(update.PendingText)
		if next == nil {
			return
		}
		m.pendingDigest, m.pendingDescription, m.pendingSeenMs = update.Pending, next, update.EchoMs
		// The poll acknowledges the description. It is sent at once because the description is
		// accepted only after the acknowledgements.
		m.pollPrimary()
	}
}

func (m *Machine) clearPending() { m.pendingDigest, m.pendingDescription = "", nil }

// parseDescription returns nil, and counts an error, if the text is malformed.
func (m *Machine) parseDescription(text string) *description.Description {
	parsed, faults := description.Read([]byte(text), m.settings.Site)
	if len(faults) > 0 {
		m.outbox.CountError(errkind.Malformed)
		return nil
	}
	return parsed
}

// maySendUntil returns the time until which this router may send requests: until its lease expires
// or its information about draining runners becomes too old. It returns the present time, or an earlier
// one, if the router may not send now.
func (m *Machine) maySendUntil() int64 {
	if m.description == nil || m.highestSeenRevision > m.revision || m.retired {
		return m.nowMs
	}
	until := min(m.leaseUntilMs, m.drainingAsOfMs+drainingMaxAgeMs)
	if m.pendingDigest != "" {
		until = min(until, m.pendingSeenMs+pendingLeaseMs)
	}
	return until
}

// maySendNow reports whether this router may send requests now.
func (m *Machine) maySendNow() bool { return m.nowMs < m.maySendUntil() }
