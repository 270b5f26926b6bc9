package controller

import (
	"net"
	"slices"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/placement"
	"myrtlewinch/internal/protocol"
)

const (
	// softMs is how often the primary tells the other controllers what its
	// ledger holds, so that they can answer look-ups too.
	softMs = 500
	// routerMs is how long a router counts for the budget of second tries
	// after it was last heard of.
	routerMs = 30_000
	// demandMs is how often a follower tells the demand that it met.
	demandMs = 500
)

// Settings is what a steward knows before it knows anyone.
type Settings struct {
	Self        protocol.Node
	Bounds      bounds.Bounds
	ListAddress string
	ListPerSec  float64
	// ControlPort is the port at which every controller serves operators.
	ControlPort string
}

// Controller is the tenant of a controller. It reads no clock and no socket.
type Controller struct {
	set    Settings
	format ConfigFormat
	keeper *placement.Manager
	maps   maps
	// routers says when each router last asked.
	routers  map[string]int64
	softMs   int64
	demandMs int64
	serving  bool
	// orders says how far this primary is with the right to order.
	orders  orders
	roll    roll
	leaving leaving
	// softSequence counts the index snapshots that this primary told of, and
	// softOrder is the newest that this follower took.
	softSequence uint64
	softOrder    softOrder
}

// New makes a steward that knows no map.
func New(set Settings, format ConfigFormat) *Controller {
	return &Controller{
		set: set, format: format, routers: map[string]int64{}, maps: newMaps(),
		keeper: placement.New(set.Bounds, set.Self.Name, set.ListAddress, set.ListPerSec),
	}
}

// StateChanged reads the map in force anew; it may not be safe on all copies yet, so
// only a follower, which answers nobody, goes by it.
func (s *Controller) StateChanged(h consensus.Host) {
	if !s.serving {
		s.maps.load(h, s.format)
		s.keeper.SetMap(s.maps.current.document)
	}
}

// BecamePrimary is the start of this daemon's primacy.
func (s *Controller) BecamePrimary(h consensus.Host) {
	s.serving = true
	s.maps.load(h, s.format)
	s.keeper.SetMap(s.maps.current.document)
	s.beginOrders(h)
	s.roll = roll{}
	s.leaving.take(s.keeper.LeavingRunners())
	// Routers hear at once who is primary now.
	s.tellRouters(h)
	s.maps.begin(s, h)
}

// LostPrimacy is the end of this daemon's primacy.
func (s *Controller) LostPrimacy(h consensus.Host) {
	s.serving = false
	s.keeper.BecomeFollower()
	s.maps.end(h, s)
	s.routers = map[string]int64{}
}

// HandleMessage takes a message of a router or of a peer.
func (s *Controller) HandleMessage(h consensus.Host, e protocol.Envelope) bool {
	switch body := e.Body.(type) {
	case protocol.ConfigPoll:
		s.asked(h, e.From, body)
	case protocol.IndexLookUp:
		// Cut off, this daemon may know of runners that have long left. A router
		// that hears nothing asks another controller.
		if !h.QuorumContact() {
			h.Count(string(errkind.NoContact))
			return true
		}
		h.Send(e.From, s.keeper.LookUp(h.NowMs(), e.From, body))
		// Someone waits, so the next tick is too late.
		if body.Waits {
			s.hurry(h)
		}
	case IndexSnapshot:
		if s.serving || body.Epoch < h.Epoch() || !s.softOrder.later(body) {
			h.Count(string(errkind.Overtaken))
		} else {
			s.keeper.ApplySnapshot(h.NowMs(), body.Ledger)
		}
	case DemandReport:
		if s.serving {
			s.keeper.AddDemand(h.NowMs(), body.Counts)
		}
	default:
		return false
	}
	return true
}

// HandleInput takes what operators ask and what calls outward brought.
func (s *Controller) HandleInput(h consensus.Host, input any) bool {
	switch in := input.(type) {
	case SubmitConfig:
		s.maps.handOver(s, h, in)
	case ReadConfig:
		if !s.serving || !h.Active() {
			s.notPrimary(h, in.ID)
		} else if s.maps.current.version == 0 {
			h.Answer(in.ID, protocol.Rejection{Kind: errkind.NotAccepted, Detail: "no map is in force yet"})
		} else {
			h.Answer(in.ID, ConfigText{Version: s.maps.current.version, Text: s.maps.current.text})
		}
	case ReadStatus:
		h.Answer(in.ID, s.status(h))
	case protocol.RunnerList:
		if s.serving && s.keeper.HandleRunnerList(h.NowMs(), in) {
			s.leaving.take(s.keeper.LeavingRunners())
			s.tellRouters(h)
		}
	case protocol.RunnerStateResult:
		if s.serving {
			s.keeper.HandleRunnerState(h.NowMs(), in)
			s.hurry(h)
		}
	case protocol.RunnerOrderResult:
		if s.serving {
			s.keeper.HandleOrderResult(h.NowMs(), in)
			s.hurry(h)
		}
	default:
		return false
	}
	return true
}

// Tick goes on with what time brings.
func (s *Controller) Tick(h consensus.Host) {
	if s.serving {
		s.tickPrimary(h)
		return
	}
	if h.NowMs()-s.demandMs >= demandMs {
		s.tellDemand(h)
	}
}

// hurry goes on with the ledger without waiting for the next tick; a follower
// tells the primary at once of those who wait.
func (s *Controller) hurry(h consensus.Host) {
	switch {
	case !s.serving:
		if s.keeper.HasWaitingRequests() {
			s.tellDemand(h)
		}
	case h.Active():
		s.goOn(h)
	}
}

// goOn carries out what the ledger has due.
func (s *Controller) goOn(h consensus.Host) {
	calls, tells := s.keeper.Tick(h.NowMs(), h.LeaseUntilMs())
	for _, call := range calls {
		if order, is := call.Body.(protocol.RunnerOrder); is {
			h.Logf("order %d to %s: %s %s %s", order.Number, order.Runner, action(order.Load), order.Model, order.Adapter)
		}
		h.Call(call.Address, call.Body)
	}
	for _, tell := range tells {
		h.Send(tell.To, tell.Index)
	}
}

func action(load bool) string {
	if load {
		return "load"
	}
	return "unload"
}

func (s *Controller) tellDemand(h consensus.Host) {
	s.demandMs = h.NowMs()
	if counts := s.keeper.DrainDemand(); len(counts) > 0 && h.Primary().Name != "" {
		h.Send(h.Primary(), DemandReport{Counts: counts})
	}
}

func (s *Controller) tickPrimary(h consensus.Host) {
	if !h.Active() {
		return
	}
	s.maps.next(s, h)
	s.keeper.SetEpoch(h.Epoch())
	s.takeOrders(h)
	s.goOn(h)
	if h.NowMs()-s.softMs >= softMs {
		s.softMs = h.NowMs()
		s.softSequence++
		image := IndexSnapshot{Epoch: h.Epoch(), Sequence: s.softSequence, Ledger: s.keeper.Snapshot()}
		for _, place := range h.Controllers() {
			h.Send(place, image)
		}
	}
}

// asked answers a router's constant question. What the router has is not sent
// again, so that the answer costs the same however large the site is.
func (s *Controller) asked(h consensus.Host, from protocol.Node, ask protocol.ConfigPoll) {
	if !s.serving || !h.Active() {
		return
	}
	s.routers[from.Name] = h.NowMs()
	word := s.word(h)
	word.EchoMs = ask.EchoMs
	if ask.Version != word.Version && s.maps.send(h.NowMs(), from) {
		word.Packed = s.maps.current.packed
	}
	if ask.LeavingSum == word.LeavingSum {
		word.Leaving = nil
	}
	if ask.ControllersSum == word.ControllersSum {
		word.Controllers = nil
	}
	h.Send(from, word)
}

// word is what routers are told now, without the map itself.
func (s *Controller) word(h consensus.Host) protocol.ConfigUpdate {
	s.roll.call(s, h)
	return protocol.ConfigUpdate{
		Epoch: h.Epoch(), Version: s.maps.current.version, Sum: s.maps.current.sum,
		Leaving: s.leaving.ids, LeavingSum: s.leaving.sum, AgeMs: s.keeper.ListAgeMs(h.NowMs()),
		Routers: s.roll.routers, Controllers: s.roll.controllers, ControllersSum: s.roll.sum,
	}
}

// tellRouters tells every router at once what changed.
func (s *Controller) tellRouters(h consensus.Host) {
	if !h.Active() {
		return
	}
	word := s.word(h)
	now := []uint64{word.Version, word.Epoch}
	isNew := !slices.Equal(s.maps.told, now)
	s.maps.told = now
	for _, place := range h.Routers() {
		word.Packed = nil
		if isNew && s.maps.send(h.NowMs(), place) {
			word.Packed = s.maps.current.packed
		}
		h.Send(place, word)
	}
}

// notPrimary sends an operator to the primary, where a majority stood behind it
// just now. Without that it may be one no longer, and the operator would go
// round in a circle.
func (s *Controller) notPrimary(h consensus.Host, id uint64) {
	said := protocol.Rejection{Kind: errkind.NotPrimary, Detail: "the primary answers this"}
	primary := h.Primary()
	alive := slices.ContainsFunc(h.Controllers(), func(p protocol.Node) bool { return p.Name == primary.Name })
	if host, _, err := net.SplitHostPort(primary.Address); err == nil && alive && h.QuorumContact() {
		said.Primary = net.JoinHostPort(host, s.set.ControlPort)
	}
	h.Answer(id, said)
}
