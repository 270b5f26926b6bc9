package controller

import (
	"sort"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

const (
	// waitingMs is how long a router that asked is told of a change.
	waitingMs   = 10_000
	demandMs    = 500
	waitingMost = 4096
)

// index is the placement index as it answers routers. Any controller that
// follows answers; only the primary acts on the demand.
type index struct {
	looked  uint64
	waiting map[choice.Key]map[string]int64
	counts  map[string]int64
	toldMs  int64
}

func (a *application) ageMs() int64 {
	if a.host.Active() {
		return 0
	}
	return a.host.NowMs() - a.host.PrimaryHeardMs()
}

func (a *application) lookUp(e protocol.Envelope, ask protocol.LookUp) {
	a.index.looked++
	key := choice.Key{Service: ask.Service, Model: ask.Model, Adapter: ask.Adapter}
	answer := protocol.LookUpReply{ID: ask.ID, Key: key.String(), At: a.host.Position(), AgeMs: a.ageMs(), Behind: a.described == nil}
	if a.described != nil {
		if service, ok := a.described.Service(ask.Service); ok && (ask.Model == "" || service.Allows(ask.Model)) {
			a.index.counts[key.String()]++
			line := a.table.Look(key, a.described, a.host.Position(), a.state(), a.softNow())
			answer.Holders, answer.Loading = line.Holders, line.Loading
			answer.TurnMs = turnOf(a.softNow(), key, line)
			if len(line.Holders) == 0 && len(a.index.waiting) < waitingMost {
				if a.index.waiting[key] == nil {
					a.index.waiting[key] = map[string]int64{}
				}
				a.index.waiting[key][e.From.Name] = a.host.NowMs()
			}
		}
	}
	a.host.Send(e.From, answer)
}

// turnOf is the turn of a key that no runner holds.
func turnOf(soft protocol.Hints, key choice.Key, line choice.Line) int64 {
	if len(line.Holders) > 0 {
		return 0
	}
	return soft.Turns[key.Item().String()]
}

func (a *application) softNow() protocol.Hints {
	if a.host.IsPrimary() {
		return a.duty.soft(a.host.NowMs())
	}
	return a.hints
}

// tellWaiting tells routers that asked lately of what has become loaded.
func (a *application) tellWaiting() {
	if a.described == nil {
		return
	}
	keys := make([]choice.Key, 0, len(a.index.waiting))
	for key := range a.index.waiting {
		keys = append(keys, key)
	}
	// In one order, so that a run can be repeated exactly.
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	for _, key := range keys {
		routers := a.index.waiting[key]
		for name, atMs := range routers {
			if a.host.NowMs()-atMs > waitingMs {
				delete(routers, name)
			}
		}
		line := choice.Line{}
		if len(routers) > 0 {
			line = a.table.Look(key, a.described, a.host.Position(), a.state(), a.softNow())
		}
		if len(line.Holders) > 0 {
			for _, place := range a.host.Known(protocol.RoleRouter) {
				if _, asked := routers[place.Name]; asked {
					a.host.Send(place, protocol.LookUpReply{Key: key.String(), At: a.host.Position(), AgeMs: a.ageMs(), Holders: line.Holders})
				}
			}
		}
		if len(routers) == 0 || len(line.Holders) > 0 {
			delete(a.index.waiting, key)
		}
	}
}

// tellWaited tells a router what is loaded of what its requests wait for.
func (a *application) tellWaited(to protocol.Node, keys []protocol.LookUp) {
	if a.described == nil {
		return
	}
	for _, ask := range keys {
		key := choice.Key{Service: ask.Service, Model: ask.Model, Adapter: ask.Adapter}
		line := a.table.Look(key, a.described, a.host.Position(), a.state(), a.softNow())
		if len(line.Holders) > 0 {
			a.host.Send(to, protocol.LookUpReply{Key: key.String(), At: a.host.Position(), Holders: line.Holders})
			continue
		}
		if turnMs := turnOf(a.softNow(), key, line); turnMs > 0 {
			a.host.Send(to, protocol.LookUpReply{Key: key.String(), At: a.host.Position(), Loading: line.Loading, TurnMs: turnMs})
		}
		if service, ok := a.described.Service(ask.Service); ok && service.Allows(ask.Model) {
			a.duty.waited(a.host.NowMs(), ask.Model, ask.Adapter)
		}
	}
}

// tickIndex brings the demand to the primary.
func (a *application) tickIndex() {
	if a.host.NowMs()-a.index.toldMs < demandMs {
		return
	}
	a.index.toldMs = a.host.NowMs()
	// Burdens and darkness are not rows, so the table is compiled anew at times.
	a.table.Forget()
	a.tellWaiting()
	if len(a.index.counts) == 0 {
		return
	}
	demand := protocol.DemandReport{Counts: a.index.counts}
	a.index.counts = map[string]int64{}
	if primary := a.host.Primary(); primary.Name != "" {
		a.host.Send(primary, demand)
	}
}

func (a *application) demanded(said protocol.DemandReport) {
	if a.host.IsPrimary() {
		a.duty.demanded(a.host.NowMs(), said)
	}
}
