package modelcheck

import "slices"

// possibleFaults returns the faults that may be applied at an event.
func (c *cluster) possibleFaults(e *event) []Fault {
	if e.isAction() || c.members[e.member].isDown {
		return nil
	}
	var faults []Fault
	switch e.body.(type) {
	case *message:
		faults = append(faults, messageFaults...)
	case *writeCompletion:
		faults = append(faults, writeFaults...)
	}
	faults = append(faults, memberFaults...)
	faults = append(faults, c.crashesMidSend(e.member)...)
	faults = append(faults, c.powerLosses()...)
	return slices.DeleteFunc(faults, func(f Fault) bool { return !c.isAllowed(e, f) })
}

// crashesMidSend returns one crash for each set of other members to which messages
// are lost. Sets that differ only in members to which nothing was sent lead to
// equal states.
func (c *cluster) crashesMidSend(i int) []Fault {
	var faults []Fault
	for set := uint32(1); set < 1<<len(c.members); set++ {
		if !contains(set, i) {
			faults = append(faults, Fault{Kind: CrashMidSend, Set: set})
		}
	}
	return faults
}

// powerLosses returns one power loss for each set of disks that may be lost.
func (c *cluster) powerLosses() []Fault {
	var faults []Fault
	for set := range uint32(1) << len(c.members) {
		if c.lostCountWith(set) <= c.scope.Losses {
			faults = append(faults, Fault{Kind: PowerLoss, Set: set})
		}
	}
	return faults
}

// isAllowed reports whether the scope includes a fault, and whether at most Scope.Losses
// members are lost after the fault. A member that is already stopping cannot leave again.
func (c *cluster) isAllowed(e *event, f Fault) bool {
	if len(c.scope.Faults) > 0 && !slices.Contains(c.scope.Faults, f.Kind) {
		return false
	}
	areMessagesLimited := len(c.scope.Messages) > 0
	if areMessagesLimited && f.isMessageFault() && !slices.Contains(c.scope.Messages, e.messageType()) {
		return false
	}
	if f.Kind == PowerLoss {
		return c.lostCountWith(f.Set) <= c.scope.Losses
	}
	if f.Kind == Leave && c.members[e.member].isStopping {
		return false
	}
	return !f.countsAsLoss() || c.lostCountWith(1<<e.member) <= c.scope.Losses
}

// lostCount returns how many members are lost now.
func (c *cluster) lostCount() int { return c.lostCountWith(0) }

// lostCountWith returns how many members are lost now or belong to a set.
func (c *cluster) lostCountWith(set uint32) int {
	count := 0
	for i, m := range c.members {
		if contains(set, i) || c.nowMs < m.lostUntilMs {
			count++
		}
	}
	return count
}

// permanentlyLost returns how many members are lost and do not restart.
func (c *cluster) permanentlyLost() int {
	count := 0
	for _, m := range c.members {
		if m.lostUntilMs >= forever {
			count++
		}
	}
	return count
}
