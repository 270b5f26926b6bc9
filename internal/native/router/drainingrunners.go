package router

import "myrtlewinch/internal/protocol"

// drainingMaxAgeMs is how old the last report of draining runners may be when
// a request is sent.
const drainingMaxAgeMs = 2000

// setDraining applies a report of all draining runners.
func (m *Machine) setDraining(runners []protocol.LeavingRunner) {
	m.drainingRunners = map[string]bool{}
	for _, runner := range runners {
		m.drained[runner] = true
		m.drainingRunners[runner.Runner] = true
	}
}

// isDraining reports whether requests must not be sent to a holder.
func (m *Machine) isDraining(process protocol.LeavingRunner) bool {
	return m.drained[process] || m.drainingRunners[process.Runner]
}

// listReadDue reports whether the router is to read the platform's list now,
// since the primary's reports are too old.
func (m *Machine) listReadDue() bool {
	if m.settings.Platform == "" || m.listReadPending {
		return false
	}
	return m.nowMs-m.drainingAsOfMs > ownReadAfterMs && m.nowMs-m.lastListReadMs >= listReadEachMs
}

// readRunnerList starts a read. Its result comes as a RunnerListResult.
func (m *Machine) readRunnerList() {
	m.lastListReadMs, m.listReadStartMs, m.listReadPending = m.nowMs, m.nowMs, true
	m.outbox.Calls = append(m.outbox.Calls, protocol.OutboundCall{
		Address: m.settings.Platform, Body: protocol.PlatformCall{},
	})
}

// runnerListRead takes the result of a read, which is at least as new as the
// read's start.
func (m *Machine) runnerListRead(result protocol.RunnerListResult) {
	m.listReadPending = false
	if !result.Ok {
		return
	}
	var draining []protocol.LeavingRunner
	for _, runner := range result.Runners {
		if runner.Leaving {
			draining = append(draining, protocol.LeavingRunner{Runner: runner.Name, Incarnation: runner.Incarnation})
		}
	}
	m.setDraining(draining)
	m.drainingAsOfMs = max(m.drainingAsOfMs, m.listReadStartMs)
	m.dispatchQueue()
}
