package controller

import (
	"sort"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

const (
	// notifyWindowMs is for how long a router that asked in vain is notified.
	notifyWindowMs = 10_000
	// demandIntervalMs passes between two reports of the demand to the primary.
	demandIntervalMs = 500
	// maxWaitingKeys bounds the keys for which routers are remembered.
	maxWaitingKeys = 4096
)

// index is the part of any controller in answering the routers' look-ups. Only the
// primary acts on the demand.
type index struct {
	// lookUps counts all look-ups so far.
	lookUps uint64
	// waiting are the routers that asked for a key that nobody holds, with the time of
	// their last look-up.
	waiting map[choice.Key]map[string]int64
	// pendingDemand counts the look-ups by key since the last report to the primary.
	pendingDemand map[string]int64
	demandSentMs  int64
}

// dataAgeMs is how old what this controller knows may be.
func (a *application) dataAgeMs() int64 {
	if a.host.Active() {
		return 0
	}
	return a.host.NowMs() - a.host.PrimaryHeardMs()
}

// lookUp answers a router's look-up.
func (a *application) lookUp(e protocol.Envelope, request protocol.LookUp) {
	a.index.lookUps++
	key := keyOf(request)
	reply := protocol.LookUpReply{
		ID: request.ID, Key: key.String(), At: a.host.Position(), AgeMs: a.dataAgeMs(), Behind: a.description == nil,
	}
	if a.mayAsk(request) {
		a.index.pendingDemand[key.String()]++
		entry := a.entry(key)
		reply.Holders, reply.Loading = entry.Holders, entry.Loading
		reply.TurnMs = a.waitEstimateMs(key, entry)
		if len(entry.Holders) == 0 {
			a.index.noteWaiting(key, e.From.Name, a.host.NowMs())
		}
	}
	a.host.Send(e.From, reply)
}

func keyOf(request protocol.LookUp) choice.Key {
	return choice.Key{Service: request.Service, Model: request.Model, Adapter: request.Adapter}
}

// mayAsk says whether the description has the service, and the service the model.
func (a *application) mayAsk(request protocol.LookUp) bool {
	if a.description == nil {
		return false
	}
	service, ok := a.description.Service(request.Service)
	return ok && (request.Model == "" || service.Allows(request.Model))
}

// noteWaiting remembers that a router asked for a key that nobody holds.
func (x *index) noteWaiting(key choice.Key, router string, nowMs int64) {
	if len(x.waiting) >= maxWaitingKeys {
		return
	}
	if x.waiting[key] == nil {
		x.waiting[key] = map[string]int64{}
	}
	x.waiting[key][router] = nowMs
}

// entry looks a key up in the choice table.
func (a *application) entry(key choice.Key) choice.Entry {
	return a.table.LookUp(key, a.description, a.host.Position(), a.state(), a.currentHints())
}

// waitEstimateMs is in how many ms a key that nobody holds may be held; 0 is unknown.
func (a *application) waitEstimateMs(key choice.Key, entry choice.Entry) int64 {
	if len(entry.Holders) > 0 {
		return 0
	}
	return a.currentHints().Turns[key.Item().String()]
}

// currentHints are the primary's own, or what it last told this follower.
func (a *application) currentHints() protocol.Hints {
	if a.host.IsPrimary() {
		return a.primary.hints(a.host.NowMs())
	}
	return a.hints
}

// notifyWaiting notifies routers that asked lately of what is held by now.
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
		if len(routers) == 0 || a.notifyOfHolders(key, routers) {
			delete(a.index.waiting, key)
		}
	}
}

// notifyOfHolders notifies routers of who holds a key; false says that nobody does.
func (a *application) notifyOfHolders(key choice.Key, routers map[string]int64) bool {
	entry := a.entry(key)
	if len(entry.Holders) == 0 {
		return false
	}
	for _, router := range a.host.Known(protocol.RoleRouter) {
		if _, asked := routers[router.Name]; asked {
			a.host.Send(router, protocol.LookUpReply{
				Key: key.String(), At: a.host.Position(), AgeMs: a.dataAgeMs(), Holders: entry.Holders,
			})
		}
	}
	return true
}

// answerWaiting tells a router about the keys for which requests wait there.
func (a *application) answerWaiting(to protocol.Node, requests []protocol.LookUp) {
	if a.description == nil {
		return
	}
	for _, request := range requests {
		key := keyOf(request)
		entry := a.entry(key)
		if len(entry.Holders) > 0 {
			a.host.Send(to, protocol.LookUpReply{Key: key.String(), At: a.host.Position(), Holders: entry.Holders})
			continue
		}
		if waitMs := a.waitEstimateMs(key, entry); waitMs > 0 {
			a.host.Send(to, protocol.LookUpReply{Key: key.String(), At: a.host.Position(), Loading: entry.Loading, TurnMs: waitMs})
		}
		if service, ok := a.description.Service(request.Service); ok && service.Allows(request.Model) {
			a.primary.noteWaiting(a.host.NowMs(), request.Model, request.Adapter)
		}
	}
}

// runIndexTimers reports the demand to the primary when that is due.
func (a *application) runIndexTimers() {
	if a.host.NowMs()-a.index.demandSentMs < demandIntervalMs {
		return
	}
	a.index.demandSentMs = a.host.NowMs()
	// Burdens and silence are not rows, so the table is compiled anew at times.
	a.table.Invalidate()
	a.notifyWaiting()
	if len(a.index.pendingDemand) == 0 {
		return
	}
	report := protocol.DemandReport{Counts: a.index.pendingDemand}
	a.index.pendingDemand = map[string]int64{}
	if primary := a.host.Primary(); primary.Name != "" {
		a.host.Send(primary, report)
	}
}
