package controller

import (
	"sort"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

const (
	// notifyWindowMs is how long a router that asked is told of a change.
	notifyWindowMs   = 10_000
	demandIntervalMs = 500
	maxWaitingKeys   = 4096
)

// index is the placement index as it answers routers. Any controller that
// follows answers; only the primary acts on the demand.
type index struct {
	lookUps       uint64
	waiting       map[choice.Key]map[string]int64
	pendingDemand map[string]int64
	demandSentMs  int64
}

func (a *application) dataAgeMs() int64 {
	if a.host.Active() {
		return 0
	}
	return a.host.NowMs() - a.host.PrimaryHeardMs()
}

func (a *application) lookUp(e protocol.Envelope, ask protocol.LookUp) {
	a.index.lookUps++
	key := choice.Key{Service: ask.Service, Model: ask.Model, Adapter: ask.Adapter}
	answer := protocol.LookUpReply{ID: ask.ID, Key: key.String(), At: a.host.Position(), AgeMs: a.dataAgeMs(), Behind: a.description == nil}
	if a.description != nil {
		if service, ok := a.description.Service(ask.Service); ok && (ask.Model == "" || service.Allows(ask.Model)) {
			a.index.pendingDemand[key.String()]++
			line := a.table.LookUp(key, a.description, a.host.Position(), a.state(), a.currentHints())
			answer.Holders, answer.Loading = line.Holders, line.Loading
			answer.TurnMs = waitEstimate(a.currentHints(), key, line)
			if len(line.Holders) == 0 && len(a.index.waiting) < maxWaitingKeys {
				if a.index.waiting[key] == nil {
					a.index.waiting[key] = map[string]int64{}
				}
				a.index.waiting[key][e.From.Name] = a.host.NowMs()
			}
		}
	}
	a.host.Send(e.From, answer)
}

// waitEstimate is the turn of a key that no runner holds.
func waitEstimate(soft protocol.Hints, key choice.Key, line choice.Entry) int64 {
	if len(line.Holders) > 0 {
		return 0
	}
	return soft.Turns[key.Item().String()]
}

func (a *application) currentHints() protocol.Hints {
	if a.host.IsPrimary() {
		return a.primary.hints(a.host.NowMs())
	}
	return a.hints
}

// notifyWaiting tells routers that asked lately of what has become loaded.
func (a *application) notifyWaiting() {
	if a.description == nil {
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
			if a.host.NowMs()-atMs > notifyWindowMs {
				delete(routers, name)
			}
		}
		line := choice.Entry{}
		if len(routers) > 0 {
			line = a.table.LookUp(key, a.description, a.host.Position(), a.state(), a.currentHints())
		}
		if len(line.Holders) > 0 {
			for _, place := range a.host.Known(protocol.RoleRouter) {
				if _, asked := routers[place.Name]; asked {
					a.host.Send(place, protocol.LookUpReply{Key: key.String(), At: a.host.Position(), AgeMs: a.dataAgeMs(), Holders: line.Holders})
				}
			}
		}
		if len(routers) == 0 || len(line.Holders) > 0 {
			delete(a.index.waiting, key)
		}
	}
}

// answerWaiting tells a router what is loaded of what its requests wait for.
func (a *application) answerWaiting(to protocol.Node, keys []protocol.LookUp) {
	if a.description == nil {
		return
	}
	for _, ask := range keys {
		key := choice.Key{Service: ask.Service, Model: ask.Model, Adapter: ask.Adapter}
		line := a.table.LookUp(key, a.description, a.host.Position(), a.state(), a.currentHints())
		if len(line.Holders) > 0 {
			a.host.Send(to, protocol.LookUpReply{Key: key.String(), At: a.host.Position(), Holders: line.Holders})
			continue
		}
		if turnMs := waitEstimate(a.currentHints(), key, line); turnMs > 0 {
			a.host.Send(to, protocol.LookUpReply{Key: key.String(), At: a.host.Position(), Loading: line.Loading, TurnMs: turnMs})
		}
		if service, ok := a.description.Service(ask.Service); ok && service.Allows(ask.Model) {
			a.primary.noteWaiting(a.host.NowMs(), ask.Model, ask.Adapter)
		}
	}
}

// runIndexTimers brings the demand to the primary.
func (a *application) runIndexTimers() {
	if a.host.NowMs()-a.index.demandSentMs < demandIntervalMs {
		return
	}
	a.index.demandSentMs = a.host.NowMs()
	// Burdens and darkness are not rows, so the table is compiled anew at times.
	a.table.Invalidate()
	a.notifyWaiting()
	if len(a.index.pendingDemand) == 0 {
		return
	}
	demand := protocol.DemandReport{Counts: a.index.pendingDemand}
	a.index.pendingDemand = map[string]int64{}
	if primary := a.host.Primary(); primary.Name != "" {
		a.host.Send(primary, demand)
	}
}

func (a *application) handleDemandReport(said protocol.DemandReport) {
	if a.host.IsPrimary() {
		a.primary.addDemandReport(a.host.NowMs(), said)
	}
}
