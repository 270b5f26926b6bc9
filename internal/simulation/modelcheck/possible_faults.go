package modelcheck

import "slices"

// possibleFaults lists the faults that may take the place of an event.
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

// crashesMidSend lists a crash for each set of others that receive nothing
// more. Sets that differ by members to whom nothing was sent lead to equal
// states.
func (c *cluster) crashesMidSend(i int) []Fault {
	var faults []Fault
	for set := uint32(1); set < 1<<len(c.members); set++ {
		if !contains(set, i) {
			faults = append(faults, Fault{Kind: CrashMidSend, Set: set})
		}
	}
	return faults
}

// powerLosses lists a loss of power with each set of disks that may be lost.
func (c *cluster) powerLosses() []Fault {
	var faults []Fault
	for set := range uint32(1) << len(c.members) {
		if c.lostCountWith(set) <= c.scope.Losses {
			faults = append(faults, Fault{Kind: PowerLoss, Set: set})
		}
	}
	return faults
}

// isAllowed says whether the scope has a fault, and whether it leaves no more
// members lost than may be.
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

// lostCount counts the members that are lost now.
func (c *cluster) lostCount() int { return c.lostCountWith(0) }

// lostCountWith counts the members that are lost now or are in a set.
func (c *cluster) lostCountWith(set uint32) int {
	count := 0
	for i, m := range c.members {
		if contains(set, i) || c.nowMs < m.lostUntilMs {
			count++
		}
	}
	return count
}

// permanentlyLost counts the members that do not return.
func (c *cluster) permanentlyLost() int {
	count := 0
	for _, m := range c.members {
		if m.lostUntilMs >= forever {
			count++
		}
	}
	return count
}
