package faultsim

import "math"

// never is a time long before the beginning of a simulation.
const never = math.MinInt64 / 4

// connectivity records when nodes, links and the group of controllers (the
// core) were last disturbed. Several rules bind only nodes that have been
// connected, and a core that has been stable, for Bounds.InTouchMs.
type connectivity struct {
	sim *Simulation
	// coreDisturbedMs is when the core was last disturbed.
	coreDisturbedMs int64
	// noMajorityMs is when there was last no majority of controllers that run,
	// are connected and have undisturbed disks.
	noMajorityMs int64
	// linkFaultMs is when any link was last disturbed.
	linkFaultMs int64
	// disturbedMs is when each node was last disturbed.
	disturbedMs map[string]int64
}

func newConnectivity(sim *Simulation) connectivity {
	nowMs := sim.NowMs()
	return connectivity{sim: sim, coreDisturbedMs: nowMs, noMajorityMs: nowMs, linkFaultMs: nowMs, disturbedMs: map[string]int64{}}
}

// disturb notes a fault of a node; one of a controller disturbs the core too.
func (c *connectivity) disturb(n *node) {
	c.disturbedMs[n.name] = c.sim.NowMs()
	if n.isController() {
		c.coreDisturbedMs = c.sim.NowMs()
	}
}

// observe notes what is disturbed now. It is called periodically and whenever
// the network changes.
func (c *connectivity) observe() {
	c.observeNetwork()
	c.observeUnhealthyNodes()
	running, total := c.runningControllers()
	majority := c.majorityOf(running, total)
	c.observeCore(running, total, majority)
	c.observeNodeLinks(running, majority)
}

func (c *connectivity) observeNetwork() {
	sim, nowMs := c.sim, c.sim.NowMs()
	isUnreliable := sim.network.IsUnreliable()
	if isUnreliable || sim.network.HasCuts() || sim.isListDown {
		c.linkFaultMs = nowMs
	}
	if !isUnreliable {
		return
	}
	c.coreDisturbedMs, c.noMajorityMs = nowMs, nowMs
	for name := range sim.nodes {
		c.disturbedMs[name] = nowMs
	}
}

func (c *connectivity) observeUnhealthyNodes() {
	for _, name := range c.sim.nodeNames() {
		if !c.sim.nodes[name].isHealthy() {
			c.disturbedMs[name] = c.sim.NowMs()
		}
	}
}

// runningControllers lists the controllers that run, and counts all of them.
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

// majorityOf gives the running controllers that reach a majority of all.
func (c *connectivity) majorityOf(running []string, total int) map[string]bool {
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

func (c *connectivity) observeCore(running []string, total int, majority map[string]bool) {
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
		c.coreDisturbedMs = c.sim.NowMs()
	}
	if 2*healthy <= total {
		c.noMajorityMs = c.sim.NowMs()
	}
}

// observeNodeLinks notes the nodes that lack a link to a controller of the
// majority.
func (c *connectivity) observeNodeLinks(running []string, majority map[string]bool) {
	for _, name := range c.sim.nodeNames() {
		for _, controller := range running {
			if name != controller && majority[controller] && !c.areConnected(name, controller) {
				c.disturbedMs[name] = c.sim.NowMs()
			}
		}
	}
}

// isConnectedSince says whether a node and the core have been undisturbed from
// a time until now.
func (c *connectivity) isConnectedSince(name string, fromMs int64) bool {
	return c.isUndisturbedSince(name, fromMs) && c.isCoreStableSince(fromMs)
}

// isUndisturbedSince says whether a node has had no fault of its own.
func (c *connectivity) isUndisturbedSince(name string, fromMs int64) bool {
	lastMs, isKnown := c.disturbedMs[name]
	return !isKnown || fromMs-lastMs >= c.sim.Bounds.InTouchMs
}

// isCoreStableSince says whether the core has been undisturbed.
func (c *connectivity) isCoreStableSince(fromMs int64) bool {
	return fromMs-c.coreDisturbedMs >= c.sim.Bounds.InTouchMs
}

// connectedFromMs is since when a node counts as connected; it may lie ahead.
func (c *connectivity) connectedFromMs(name string) int64 {
	disturbedMs := c.coreDisturbedMs
	if lastMs, isKnown := c.disturbedMs[name]; isKnown {
		disturbedMs = max(disturbedMs, lastMs)
	}
	return disturbedMs + c.sim.Bounds.InTouchMs
}
