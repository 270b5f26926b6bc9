// Package failuredetector decides which daemons of a site are alive. Each daemon
// sends heartbeats to a few watchers, its successors on a ring of hashed names, and
// the watchers report them to the primary. So the number of heartbeats of one daemon
// doesn't grow with the site. The package also keeps the list of all known daemons,
// and asks for peers while no primary is known to be alive.
package failuredetector

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strings"

	"myrtlewinch/internal/protocol"
)

const (
	// HeartbeatMs is the interval at which a daemon sends heartbeats and a watcher sends its
	// reports.
	HeartbeatMs = 300
	// TimeoutMs is the heartbeat timeout: how long a daemon counts as alive after it was
	// last known to be alive.
	TimeoutMs = 1500
	// watcherCount is how many peers a daemon sends heartbeats to.
	watcherCount = 3

	// discoveryMs is how often a daemon asks for peers while no primary is known to be
	// alive.
	discoveryMs = 1000
	// maxPeers bounds the number of known peers; a site has some 330 routers. Peers that
	// were replaced by others stay known until the list is full.
	maxPeers = 2048
)

// neverMs stands for the seenMs of a peer that was never known to be alive.
const neverMs = math.MinInt64

// peer is another daemon.
type peer struct {
	node protocol.Node
	// seenMs is when the peer was last known to be alive. seen is false if it was never
	// known to be alive.
	seenMs int64
	seen   bool
}

// Detector is what one daemon knows of its peers.
type Detector struct {
	self  protocol.Node
	seeds []string
	peers map[string]*peer
	// heartbeatMs and discoveredMs are when heartbeats and requests for peers were
	// last sent.
	heartbeatMs, discoveredMs int64
	// sorted holds all nodes in order of name. sum is the digest of these nodes. Both are
	// computed on demand, and reset to nil and 0 when a node changes.
	sorted []protocol.Node
	sum    uint64
}

// New returns a detector that knows only the seeds' addresses and the remembered nodes,
// which it has not seen yet.
func New(self protocol.Node, seeds []string, remembered []protocol.Node) *Detector {
	d := &Detector{self: self, seeds: seeds, peers: map[string]*peer{}, heartbeatMs: -HeartbeatMs, discoveredMs: -discoveryMs}
	d.AddNodes(0, remembered)
	return d
}

// AddNodes adds nodes that another daemon knows. What a peer that is alive said about
// itself takes precedence. The entry of an unresponsive peer is replaced, because that
// peer may have moved. AddNodes returns false if it ignored a changed node of a peer
// that is alive, so that the list must be sent again.
func (d *Detector) AddNodes(nowMs int64, nodes []protocol.Node) bool {
	accepted := true
	for _, node := range nodes {
		if node.Name == "" || node.Name == d.self.Name {
			continue
		}
		known := d.peers[node.Name]
		switch {
		case known == nil:
			if d.ensureCapacity(nowMs) {
				d.peers[node.Name] = &peer{node: node}
				d.changed()
			}
		case known.node == node:
		case known.seen && nowMs-known.seenMs <= TimeoutMs:
			accepted = false
		default:
			known.node = node
			d.changed()
		}
	}
	return accepted
}

// Observe notes that the peer was alive at nowMs, with the node that the peer itself sent.
func (d *Detector) Observe(nowMs int64, node protocol.Node) {
	if node.Name == "" || node.Name == d.self.Name {
		return
	}
	known := d.peers[node.Name]
	if known == nil {
		if !d.ensureCapacity(nowMs) {
			return
		}
		known = &peer{}
		d.peers[node.Name] = known
	}
	if known.node != node {
		known.node = node
		d.changed()
	}
	known.seenMs, known.seen = nowMs, true
}

// ensureCapacity reports whether another peer can be added. If the list is full, it removes
// the peer that has been unresponsive for the longest time. Otherwise a site whose daemons
// are replaced every day would eventually ignore new ones.
func (d *Detector) ensureCapacity(nowMs int64) bool {
	if len(d.peers) < maxPeers {
		return true
	}
	evicted, evictedSeenMs := "", nowMs-TimeoutMs
	for name, known := range d.peers {
		seenMs := known.seenMs
		if !known.seen {
			seenMs = neverMs
		}
		if seenMs < evictedSeenMs || seenMs == evictedSeenMs && evicted != "" && name < evicted {
			evicted, evictedSeenMs = name, seenMs
		}
	}
	if evicted == "" {
		return false
	}
	delete(d.peers, evicted)
	d.changed()
	return true
}

func (d *Detector) changed() { d.sorted, d.sum = nil, 0 }

// ObserveReport applies a watcher's report about a peer, unless the peer is known to have
// been alive later.
func (d *Detector) ObserveReport(nowMs int64, report protocol.HeartbeatReport) {
	seenMs := nowMs - report.AgoMs
	known := d.peers[report.Place.Name]
	if known == nil || !known.seen || known.seenMs < seenMs {
		d.Observe(seenMs, report.Place)
	}
}

// SinceSeenMs returns how long ago, in ms, the peer was last known to be alive. It returns
// false if the peer was never known to be alive.
func (d *Detector) SinceSeenMs(nowMs int64, name string) (int64, bool) {
	known := d.peers[name]
	if known == nil || !known.seen {
		return 0, false
	}
	return nowMs - known.seenMs, true
}

// Live reports whether the peer was known to be alive within the last TimeoutMs.
func (d *Detector) Live(nowMs int64, name string) bool {
	sinceSeenMs, seen := d.SinceSeenMs(nowMs, name)
	return seen && sinceSeenMs <= TimeoutMs
}

// Node returns the peer, or this daemon itself, with the name.
func (d *Detector) Node(name string) (protocol.Node, bool) {
	if name == d.self.Name {
		return d.self, true
	}
	known := d.peers[name]
	if known == nil {
		return protocol.Node{}, false
	}
	return known.node, true
}

// NodeAt returns this daemon, or a peer that was seen alive, with the address.
func (d *Detector) NodeAt(address string) (protocol.Node, bool) {
	if address == d.self.Address {
		return d.self, true
	}
	for _, known := range d.peers {
		if known.seen && known.node.Address == address {
			return known.node, true
		}
	}
	return protocol.Node{}, false
}

// Nodes returns all known peers and this daemon, in order of name. The slice is shared, so
// callers must not modify it.
func (d *Detector) Nodes() []protocol.Node {
	if d.sorted == nil {
		d.sorted = make([]protocol.Node, 0, len(d.peers)+1)
		d.sorted = append(d.sorted, d.self)
		for _, known := range d.peers {
			d.sorted = append(d.sorted, known.node)
		}
		slices.SortFunc(d.sorted, func(a, b protocol.Node) int { return strings.Compare(a.Name, b.Name) })
	}
	return d.sorted
}

// Digest returns the hash of the list of all nodes. A peer sends it to show that it
// already has the list. It is never 0.
func (d *Detector) Digest() uint64 {
	if d.sum == 0 {
		d.sum = protocol.DigestNodes(d.Nodes())
	}
	return d.sum
}

// OtherNodes returns all peers, without this daemon, in order of name.
func (d *Detector) OtherNodes() []protocol.Node {
	return d.filter(func(protocol.Node) bool { return true })
}

// NodesOf returns the peers with the given role, without this daemon, in order of name.
func (d *Detector) NodesOf(part string) []protocol.Node {
	return d.filter(func(node protocol.Node) bool { return node.Part == part })
}

func (d *Detector) filter(include func(protocol.Node) bool) []protocol.Node {
	var nodes []protocol.Node
	for _, node := range d.Nodes() {
		if node.Name != d.self.Name && include(node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Watchers returns the peers that a daemon sends heartbeats to: its successors on the
// ring.
func (d *Detector) Watchers(name string) []protocol.Node {
	ring := slices.Clone(d.Nodes())
	slices.SortFunc(ring, func(a, b protocol.Node) int { return cmp.Compare(ringPosition(a.Name), ringPosition(b.Name)) })
	start := slices.IndexFunc(ring, func(node protocol.Node) bool { return node.Name == name })
	if start < 0 {
		return nil
	}
	var watchers []protocol.Node
	for i := 1; i < len(ring) && len(watchers) < watcherCount; i++ {
		watchers = append(watchers, ring[(start+i)%len(ring)])
	}
	return watchers
}

func ringPosition(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum64()
}

// Tick returns the messages that must be sent now. Heartbeats carry the epoch and whether
// this daemon is the serving primary. Reports go to the daemon named primary, or to none
// if the name is empty.
func (d *Detector) Tick(nowMs int64, epoch uint64, primary string, serving bool) []protocol.Send {
	var sends []protocol.Send
	if nowMs-d.heartbeatMs >= HeartbeatMs {
		d.heartbeatMs = nowMs
		heartbeat := protocol.Heartbeat{Epoch: epoch, Serving: serving}
		for _, watcher := range d.Watchers(d.self.Name) {
			sends = append(sends, newSend(watcher, heartbeat))
		}
		if to, ok := d.Node(primary); ok && primary != d.self.Name {
			sends = append(sends, newSend(to, protocol.HeartbeatReports{Seen: d.reports(nowMs)}))
		}
	}
	primaryAlive := primary == d.self.Name || d.Live(nowMs, primary)
	if nowMs-d.discoveredMs >= discoveryMs && !primaryAlive {
		d.discoveredMs = nowMs
		sends = append(sends, d.peersRequests(nowMs)...)
	}
	return sends
}

func newSend(node protocol.Node, body protocol.Message) protocol.Send {
	return protocol.Send{To: node.Name, Address: node.Address, Body: body}
}

// reports returns the reports for the primary about the peers that are alive.
func (d *Detector) reports(nowMs int64) []protocol.HeartbeatReport {
	var reports []protocol.HeartbeatReport
	for _, node := range d.Nodes() {
		if d.Live(nowMs, node.Name) {
			reports = append(reports, protocol.HeartbeatReport{Place: node, AgoMs: nowMs - d.peers[node.Name].seenMs})
		}
	}
	return reports
}

// peersRequests returns requests for peers to all seeds and to one known peer, another one
// each time, because the seeds may be gone.
func (d *Detector) peersRequests(nowMs int64) []protocol.Send {
	var sends []protocol.Send
	for _, seed := range d.seeds {
		if seed != d.self.Address {
			sends = append(sends, protocol.Send{Address: seed, Body: protocol.PeersRequest{}})
		}
	}
	peers := d.OtherNodes()
	if len(peers) > 0 {
		next := peers[int(nowMs/discoveryMs)%len(peers)]
		sends = append(sends, newSend(next, protocol.PeersRequest{}))
	}
	return sends
}

// SetSeeds replaces the seeds. Known peers stay known.
func (d *Detector) SetSeeds(seeds []string) { d.seeds = seeds }
