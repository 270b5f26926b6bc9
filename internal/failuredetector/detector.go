// Package failuredetector is membership: each daemon sends heartbeats to a few watchers
// that its place on a ring of names gives, and watchers tell the primary.
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
	// HeartbeatMs is how often a daemon beats and a watcher tells.
	HeartbeatMs = 300
	// TimeoutMs is how long a silent daemon still counts as live.
	TimeoutMs = 1500
	// Watchers is how many peers a daemon beats to.
	Watchers = 3

	helloMs = 1000
	// most bounds the peers of a site; one holds some 330 routers. The names of
	// machines that were replaced stay known until there is no room left.
	most = 2048
)

type peer struct {
	place  protocol.Node
	seenMs int64
	seen   bool
}

// Detector is what one daemon knows of its peers.
type Detector struct {
	self    protocol.Node
	seeds   []string
	peers   map[string]*peer
	beatMs  int64
	helloMs int64
	// sorted is all places in order of name and sum their sum, worked out when
	// they are asked for; nil and nought once a place changed.
	sorted []protocol.Node
	sum    uint64
}

// New makes a roster that knows only seeds and what was remembered.
func New(self protocol.Node, seeds []string, remembered []protocol.Node) *Detector {
	r := &Detector{self: self, seeds: seeds, peers: map[string]*peer{}, beatMs: -HeartbeatMs, helloMs: -helloMs}
	r.AddNodes(0, remembered)
	return r
}

// AddNodes takes places told by others. A place that was heard of lately is
// believed over one that is only told; a silent one may have moved. False says
// that some of what was told was not believed, so that it is to be told again.
func (r *Detector) AddNodes(nowMs int64, places []protocol.Node) bool {
	believed := true
	for _, place := range places {
		if place.Name == "" || place.Name == r.self.Name {
			continue
		}
		known := r.peers[place.Name]
		if known == nil && !r.makeRoom(nowMs) {
			continue
		}
		if known == nil {
			r.peers[place.Name] = &peer{place: place}
			r.changed()
		} else if known.place != place && (!known.seen || nowMs-known.seenMs > TimeoutMs) {
			known.place = place
			r.changed()
		} else if known.place != place {
			believed = false
		}
	}
	return believed
}

// Observe notes a message that came from the peer itself.
func (r *Detector) Observe(nowMs int64, place protocol.Node) {
	if place.Name == "" || place.Name == r.self.Name {
		return
	}
	known := r.peers[place.Name]
	if known == nil {
		if !r.makeRoom(nowMs) {
			return
		}
		known = &peer{}
		r.peers[place.Name] = known
	}
	if known.place != place {
		known.place = place
		r.changed()
	}
	known.seenMs, known.seen = nowMs, true
}

// makeRoom says whether there is room for a further peer. Of a full roster it
// forgets the one that was silent for longest: on a site whose machines are
// replaced day by day, new ones would be ignored otherwise.
func (r *Detector) makeRoom(nowMs int64) bool {
	if len(r.peers) < most {
		return true
	}
	oldest, oldestMs := "", nowMs-TimeoutMs
	for name, known := range r.peers {
		seenMs := known.seenMs
		if !known.seen {
			seenMs = neverMs
		}
		if seenMs < oldestMs || seenMs == oldestMs && oldest != "" && name < oldest {
			oldest, oldestMs = name, seenMs
		}
	}
	if oldest == "" {
		return false
	}
	delete(r.peers, oldest)
	r.changed()
	return true
}

// neverMs stands for the time at which a peer was seen that never was.
const neverMs = math.MinInt64

func (r *Detector) changed() { r.sorted, r.sum = nil, 0 }

// ObserveReport takes a watcher's sighting.
func (r *Detector) ObserveReport(nowMs int64, s protocol.HeartbeatReport) {
	known := r.peers[s.Place.Name]
	if known == nil || !known.seen || known.seenMs < nowMs-s.AgoMs {
		r.Observe(nowMs-s.AgoMs, s.Place)
	}
}

// SilentMs says how long ago the peer was last heard of, if ever.
func (r *Detector) SilentMs(nowMs int64, name string) (int64, bool) {
	known := r.peers[name]
	if known == nil || !known.seen {
		return 0, false
	}
	return nowMs - known.seenMs, true
}

// Live says whether the peer was heard of lately.
func (r *Detector) Live(nowMs int64, name string) bool {
	agoMs, seen := r.SilentMs(nowMs, name)
	return seen && agoMs <= TimeoutMs
}

// Node finds a peer, or this daemon itself.
func (r *Detector) Node(name string) (protocol.Node, bool) {
	if name == r.self.Name {
		return r.self, true
	}
	known := r.peers[name]
	if known == nil {
		return protocol.Node{}, false
	}
	return known.place, true
}

// Nodes lists all known peers and this daemon, in order of name. The list
// is shared: whoever asks must not change it.
func (r *Detector) Nodes() []protocol.Node {
	if r.sorted == nil {
		r.sorted = make([]protocol.Node, 0, len(r.peers)+1)
		r.sorted = append(r.sorted, r.self)
		for _, known := range r.peers {
			r.sorted = append(r.sorted, known.place)
		}
		slices.SortFunc(r.sorted, func(a, b protocol.Node) int { return strings.Compare(a.Name, b.Name) })
	}
	return r.sorted
}

// Digest names the list of all places, so that it need not be told again.
func (r *Detector) Digest() uint64 {
	if r.sum == 0 {
		r.sum = protocol.DigestNodes(r.Nodes())
	}
	return r.sum
}

// OtherNodes lists all peers without this daemon.
func (r *Detector) OtherNodes() []protocol.Node {
	return r.those(func(p protocol.Node) bool { return true })
}

// NodesOf lists the peers of a part, without this daemon.
func (r *Detector) NodesOf(part string) []protocol.Node {
	return r.those(func(p protocol.Node) bool { return p.Part == part })
}

func (r *Detector) those(are func(protocol.Node) bool) []protocol.Node {
	var out []protocol.Node
	for _, place := range r.Nodes() {
		if place.Name != r.self.Name && are(place) {
			out = append(out, place)
		}
	}
	return out
}

// Watchers lists whom a daemon beats to: its successors on the ring.
func (r *Detector) Watchers(name string) []protocol.Node {
	places := slices.Clone(r.Nodes())
	slices.SortFunc(places, func(a, b protocol.Node) int { return cmp.Compare(spot(a.Name), spot(b.Name)) })
	var out []protocol.Node
	start := slices.IndexFunc(places, func(p protocol.Node) bool { return p.Name == name })
	if start < 0 {
		return nil
	}
	for i := 1; i < len(places) && len(out) < Watchers; i++ {
		out = append(out, places[(start+i)%len(places)])
	}
	return out
}

func spot(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum64()
}

// Tick gives the messages that are due. Primary is whom to tell, if known.
func (r *Detector) Tick(nowMs int64, epoch uint64, primary string, serving bool) []protocol.Send {
	var sends []protocol.Send
	if nowMs-r.beatMs >= HeartbeatMs {
		r.beatMs = nowMs
		for _, place := range r.Watchers(r.self.Name) {
			sends = append(sends, protocol.Send{To: place.Name, Address: place.Address, Body: protocol.Heartbeat{Epoch: epoch, Serving: serving}})
		}
		if to, ok := r.Node(primary); ok && primary != r.self.Name {
			sends = append(sends, protocol.Send{To: to.Name, Address: to.Address, Body: protocol.HeartbeatReports{Seen: r.sightings(nowMs)}})
		}
	}
	if nowMs-r.helloMs >= helloMs && !r.Live(nowMs, primary) && primary != r.self.Name {
		r.helloMs = nowMs
		sends = append(sends, r.hellos(nowMs)...)
	}
	return sends
}

func (r *Detector) sightings(nowMs int64) []protocol.HeartbeatReport {
	var seen []protocol.HeartbeatReport
	for _, place := range r.Nodes() {
		if r.Live(nowMs, place.Name) {
			seen = append(seen, protocol.HeartbeatReport{Place: place, AgoMs: nowMs - r.peers[place.Name].seenMs})
		}
	}
	return seen
}

// hellos goes to all seeds and, since seeds may be gone, to one remembered
// peer after the other.
func (r *Detector) hellos(nowMs int64) []protocol.Send {
	var sends []protocol.Send
	for _, seed := range r.seeds {
		if seed != r.self.Address {
			sends = append(sends, protocol.Send{Address: seed, Body: protocol.PeersRequest{}})
		}
	}
	places := r.OtherNodes()
	if len(places) > 0 {
		place := places[int(nowMs/helloMs)%len(places)]
		sends = append(sends, protocol.Send{To: place.Name, Address: place.Address, Body: protocol.PeersRequest{}})
	}
	return sends
}

// NodeAt finds a peer that was heard of itself, or this daemon, by address.
func (r *Detector) NodeAt(address string) (protocol.Node, bool) {
	if address == r.self.Address {
		return r.self, true
	}
	for _, known := range r.peers {
		if known.seen && known.place.Address == address {
			return known.place, true
		}
	}
	return protocol.Node{}, false
}

// SetSeeds replaces the seeds; peers that are known stay known.
func (r *Detector) SetSeeds(seeds []string) { r.seeds = seeds }
