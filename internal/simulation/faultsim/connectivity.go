package faultsim

import "math"

// never stands for the time of something that has not happened: long before any simulation begins.
const never = math.MinInt64 / 4

// connectivity records when nodes, links and the controllers as a group last had a fault. A planned
// restart counts as a fault here, and an unreliable network as a fault of them all. Several rules
// apply only to nodes that have been connected, and while the controllers have been stable, for
// Bounds.InTouchMs.
type connectivity struct {
	sim *Simulation
	// lastControllerFaultMs is the latest time at which a fault of a controller, or of a link
	// between controllers, began or ended, or at which there was no majority of connected
	// controllers.
	lastControllerFaultMs int64
	// lastNoMajorityMs is the latest time at which fewer than a majority of the controllers were
	// running normally, had working disks and were connected to a majority.
	lastNoMajorityMs int64
	// lastLinkFaultMs is when any link, or the platform's runner list, last had a fault.
	lastLinkFaultMs int64
	// lastNodeFaultMs is when each node last had a fault.
	lastNodeFaultMs map[string]int64
}

func newConnectivity(sim *Simulation) connectivity {
	nowMs := sim.NowMs()
	return connectivity{sim: sim, lastControllerFaultMs: nowMs, lastNoMajorityMs: nowMs, lastLinkFaultMs: nowMs, lastNodeFaultMs: map[string]int64{}}
}

// recordFault records a fault of a node. A fault of a controller also counts for the controllers as
// a group.
func (c *connectivity) recordFault(n *node) {
	c.lastNodeFaultMs[n.name] = c.sim.NowMs()
	if n.isController() {
		c.lastControllerFaultMs = c.sim.NowMs()
	}
}

// observe records which faults are present now. It is called periodically and whenever a link is
// blocked or the network heals.
func (c *connectivity) observe() {
	c.observeNetwork()
	c.observeUnhealthyNodes()
	running, total := c.runningControllers()
	majority := c.controllersInMajority(running, total)
	c.observeControllers(running, total, majority)
	c.observeNodeLinks(running, majority)
	c.observeCatchUps(running, majority)
}

func (c *connectivity) observeNetwork() {
	sim, nowMs := c.sim, c.sim.NowMs()
	isUnreliable := sim.network.IsUnreliable()
	if isUnreliable || sim.network.HasPartition() || sim.isRunnerListDown {
		c.lastLinkFaultMs = nowMs
	}
	if !isUnreliable {
		return
	}
	c.lastControllerFaultMs, c.lastNoMajorityMs = nowMs, nowMs
	for name := range sim.nodes {
		c.lastNodeFaultMs[name] = nowMs
	}
}

func (c *connectivity) observeUnhealthyNodes() {
	for _, name := range c.sim.nodeNames() {
		if !c.sim.nodes[name].isHealthy() {
			c.lastNodeFaultMs[name] = c.sim.NowMs()
		}
	}
}

// runningControllers returns the names of the running controllers and the number of all
// controllers.
func (c *connectivity) runningControllers() (running []string, total int) {
	for _, name := range c.sim.nodeNames() {
		n := c.sim.nodes[name]
		if !n.isController() {
			continue
		}
		total++
		if n.isUp && !n.isFrozen {
			running = append(running, name)
		}
	}
	return running, total
}

// controllersInMajority returns, for each running controller, whether it is connected to a majority
// of all controllers, counting itself.
func (c *connectivity) controllersInMajority(running []string, total int) map[string]bool {
	majority := map[string]bool{}
	for _, a := range running {
		reached := 0
		for _, b := range running {
			if a == b || c.areConnected(a, b) {
				reached++
			}
		}
		majority[a] = 2*reached > total
	}
	return majority
}

func (c *connectivity) areConnected(a, b string) bool {
	return c.sim.network.IsOpen(a, b) && c.sim.network.IsOpen(b, a)
}

func (c *connectivity) observeControllers(running []string, total int, majority map[string]bool) {
	connected, healthy := 0, 0
	for _, name := range running {
		if !majority[name] {
			continue
		}
		connected++
		if c.sim.nodes[name].isHealthy() {
			healthy++
		}
	}
	if 2*connected <= total {
		c.lastControllerFaultMs = c.sim.NowMs()
	}
	if 2*healthy <= total {
		c.lastNoMajorityMs = c.sim.NowMs()
	}
}

// observeNodeLinks records a fault of each node that is not connected to all controllers in the
// majority.
func (c *connectivity) observeNodeLinks(running []string, majority map[string]bool) {
	for _, name := range c.sim.nodeNames() {
		for _, controller := range running {
			if name != controller && majority[controller] && !c.areConnected(name, controller) {
				c.lastNodeFaultMs[name] = c.sim.NowMs()
			}
		}
	}
}

// observeCatchUps records a fault of each controller that is still catching up and is cut off from
// the majority, also where no controllers are a majority: it catches up only after its return.
func (c *connectivity) observeCatchUps(running []string, majority map[string]bool) {
	for _, name := range running {
		if !majority[name] && c.sim.countsAsLost(c.sim.nodes[name]) {
			c.lastNodeFaultMs[name] = c.sim.NowMs()
		}
	}
}

// isConnectedSince reports whether both the node and the controllers have had no fault since
// Bounds.InTouchMs before the given time.
func (c *connectivity) isConnectedSince(name string, fromMs int64) bool {
	return c.isFaultFreeSince(name, fromMs) && c.areControllersStableSince(fromMs)
}

// isFaultFreeSince reports whether the node has had no fault since Bounds.InTouchMs before the
// given time.
func (c *connectivity) isFaultFreeSince(name string, fromMs int64) bool {
	lastMs, isKnown := c.lastNodeFaultMs[name]
	return !isKnown || fromMs-lastMs >= c.sim.Bounds.InTouchMs
}

// areControllersStableSince reports whether the controllers have had no fault since
// Bounds.InTouchMs before the given time.
func (c *connectivity) areControllersStableSince(fromMs int64) bool {
	return fromMs-c.lastControllerFaultMs >= c.sim.Bounds.InTouchMs
}

// connectedFromMs returns the time from which a node counts as connected: Bounds.InTouchMs after
// the latest fault of the node or of the controllers. That may be in the future.
func (c *connectivity) connectedFromMs(name string) int64 {
	lastFaultMs := c.lastControllerFaultMs
	if lastMs, isKnown := c.lastNodeFaultMs[name]; isKnown {
		lastFaultMs = max(lastFaultMs, lastMs)
	}
	return lastFaultMs + c.sim.Bounds.InTouchMs
}
