package router

import "myrtlewinch/internal/protocol"

// drainingMaxAgeMs is the maximum age of the last report of draining runners when a request is
// sent.
const drainingMaxAgeMs = 2000

// setDraining applies a report that lists all draining runners.
func (m *Machine) setDraining(runners []protocol.LeavingRunner) {
	m.drainingRunners = map[string]bool{}
	for _, runner := range runners {
		m.drainingProcesses[runner] = true
		m.drainingRunners[runner.Runner] = true
	}
}

// isDraining reports whether a holder is draining, so that no request may be sent to it.
func (m *Machine) isDraining(process protocol.LeavingRunner) bool {
	return m.drainingProcesses[process] || m.drainingRunners[process.Runner]
}

// listReadDue reports whether the router should read the platform's runner list itself now
// because its information about draining runners is too old.
func (m *Machine) listReadDue() bool {
	if m.settings.RunnerListAddress == "" || m.listReadPending {
		return false
	}
	return m.nowMs-m.drainingAsOfMs > listReadAfterMs && m.nowMs-m.lastListReadMs >= listReadIntervalMs
}

// readRunnerList starts to read the platform's runner list. The result arrives as a
// protocol.NativeRunnerListResult.
func (m *Machine) readRunnerList() {
	m.lastListReadMs, m.listReadStartMs, m.listReadPending = m.nowMs, m.nowMs, true
	m.outbox.Calls = append(m.outbox.Calls, protocol.OutboundCall{
		Address: m.settings.RunnerListAddress, Body: protocol.NativeRunnerListCall{},
	})
}

// runnerListRead handles the result of a read. The result is at least as recent as the start of
// the read.
func (m *Machine) runnerListRead(result protocol.NativeRunnerListResult) {
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
