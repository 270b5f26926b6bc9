package modelcheck

import "slices"

// windowNotBegun is the value of run.windowEnd before the window starts.
const windowNotBegun = -1

// run is one execution of a schedule.
type run struct {
	explorer *explorer
	cluster  *cluster
	schedule Schedule
	// applied is how many of the schedule's deviations were applied.
	applied int
	// windowEnd is the number of the first event after the window. Further deviations are
	// added to the schedule only within the window.
	windowEnd int
	// children are the schedules with one more deviation.
	children []Schedule
}

// runToEnd processes events until the run is over.
func (r *run) runToEnd() {
	for !r.step() {
	}
}

// step processes one event and reports whether the run is over.
func (r *run) step() (isOver bool) {
	c := r.cluster
	e := c.next()
	r.beginWindow()
	c.logEvent(e)
	r.process(e)
	c.processed++
	if c.checks.violation != nil {
		return true
	}
	if r.isReplaying() {
		return false
	}
	return r.isExplored(e) || r.isFinished(e)
}

// beginWindow sets the end of the window when its start time is reached.
func (r *run) beginWindow() {
	scope := &r.explorer.scope
	isTime := r.cluster.nowMs >= startMs+scope.Scenario.WindowMs
	if isTime && !r.hasWindowBegun() {
		r.windowEnd = r.cluster.processed + scope.Depth
	}
}

func (r *run) hasWindowBegun() bool { return r.windowEnd != windowNotBegun }

// isReplaying reports whether a deviation of the schedule is still to come.
func (r *run) isReplaying() bool { return r.applied < len(r.schedule) }

// process processes an event. If the schedule has a deviation for the event, process
// applies the deviation instead.
func (r *run) process(e *event) {
	c := r.cluster
	if !r.isReplaying() {
		r.addDeviations(e)
		c.process(e)
		return
	}
	deviation := r.schedule[r.applied]
	if deviation.Event != c.processed {
		c.process(e)
		return
	}
	r.applied++
	c.applyFault(e, deviation.Fault)
}

// remainingDeviations returns how many deviations may still be added.
func (r *run) remainingDeviations() int {
	if r.isProbe() {
		return 0
	}
	return r.explorer.scope.Deviations - len(r.schedule)
}

// mayDeviate reports whether a deviation may be added at the current event.
func (r *run) mayDeviate() bool {
	isInWindow := r.hasWindowBegun() && r.cluster.processed < r.windowEnd
	return isInWindow && r.remainingDeviations() > 0
}

// addDeviations collects the schedules that deviate at this event.
func (r *run) addDeviations(e *event) {
	if !r.mayDeviate() {
		return
	}
	for _, fault := range r.cluster.possibleFaults(e) {
		r.addChild(fault)
	}
}

func (r *run) addChild(fault Fault) {
	child := append(slices.Clone(r.schedule), Deviation{Event: r.cluster.processed, Fault: fault})
	r.children = append(r.children, child)
}

// isExplored reports whether the state was explored before. Once no more deviations
// can be added, only the states after a tick of the first member and the state right
// after the last deviation are compared.
func (r *run) isExplored(e *event) bool {
	isFirstMembersTick := e.isTick() && e.member == 0
	isCompared := r.mayDeviate() || r.hasJustDeviated() || isFirstMembersTick
	if !isCompared || !r.hasWindowBegun() {
		return false
	}
	left := remaining{deviations: int16(r.remainingDeviations())}
	if left.deviations != 0 {
		left.events = int32(max(0, r.windowEnd-r.cluster.processed))
	}
	return r.explorer.visit(r.cluster.hash(), left)
}

// hasJustDeviated reports whether the last event was the schedule's last
// deviation.
func (r *run) hasJustDeviated() bool {
	return len(r.schedule) > 0 && r.cluster.processed-1 == r.schedule[len(r.schedule)-1].Event
}

// isProbe reports whether the schedule's last deviation is a probe.
func (r *run) isProbe() bool {
	return len(r.schedule) > 0 && r.schedule[len(r.schedule)-1].Fault.Kind == loseMembers
}

// isFinished reports whether the cluster has recovered and nothing is left to
// explore. If probes follow, it first waits until their time and adds them.
func (r *run) isFinished(e *event) bool {
	c := r.cluster
	if !r.hasWindowBegun() || r.mayDeviate() || !c.hasRecovered() || c.hasPendingActions() {
		return false
	}
	isProbed := !r.isProbe() && len(r.schedule) <= r.explorer.scope.ProbeDeviations
	if !isProbed {
		return true
	}
	if !e.isTick() || c.nowMs < c.faultsEndMs+c.scope.CatchUpMs {
		return false
	}
	r.addProbes()
	return true
}

// hasPendingActions reports whether a planned stop is in progress or an action is
// queued that is not optional.
func (c *cluster) hasPendingActions() bool {
	isStopping := func(m *member) bool { return m.isStopping && !m.isDown }
	isAwaited := func(e *event) bool {
		body, isAction := e.body.(*action)
		return isAction && !body.isOptional
	}
	return slices.ContainsFunc(c.members, isStopping) || slices.ContainsFunc(c.queue, isAwaited)
}

// addProbes collects one schedule for each set of members that may be lost now.
func (r *run) addProbes() {
	c := r.cluster
	for set := range uint32(1) << len(c.members) {
		if c.isProbeSet(set) {
			r.addChild(Fault{Kind: loseMembers, Set: set})
		}
	}
}

// isProbeSet reports whether all members of a set run, and the set together with
// the members already lost has exactly Scope.Losses members.
func (c *cluster) isProbeSet(set uint32) bool {
	size := 0
	for i, m := range c.members {
		if !contains(set, i) {
			continue
		}
		if m.isDown {
			return false
		}
		size++
	}
	return size > 0 && size+c.lostCount() == c.scope.Losses
}
