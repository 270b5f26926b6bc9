package controller

import (
	"sort"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

const (
	// notifyWindowMs is the time after a router's last look-up of a key during which the router
	// is notified when the key gets holders.
	notifyWindowMs = 10_000
	// demandIntervalMs is the interval between two reports of the demand to the primary.
	demandIntervalMs = 500
	// maxWaitingKeys is the maximum number of keys in index.waiting.
	maxWaitingKeys = 4096
)

// index is the state that every controller keeps for the routers' look-ups. Only the primary
// acts on the demand.
type index struct {
	// lookUps is the number of look-ups so far.
	lookUps uint64
	// waiting holds, by key without holders, the names of the routers that looked it up and
	// the times of their last look-ups.
	waiting map[choice.Key]map[string]int64
	// pendingDemand counts the look-ups by key since the last report to the primary.
	pendingDemand map[string]int64
	demandSentMs  int64
}

// dataAgeMs returns the maximum age of this controller's data.
func (a *application) dataAgeMs() int64 {
	if a.host.Serves() {
		return 0
	}
	return a.host.NowMs() - a.host.PrimaryAliveMs()
}

// lookUp answers a router's look-up.
func (a *application) lookUp(e protocol.Envelope, request protocol.LookUp) {
	a.index.lookUps++
	key := keyOf(request)
	reply := protocol.LookUpReply{
		ID: request.ID, Key: key.String(), At: a.host.Position(), AgeMs: a.dataAgeMs(), Behind: a.description == nil,
	}
	if a.isValidLookUp(request) {
		a.index.pendingDemand[key.String()]++
		entry := a.entry(key)
		reply.Holders, reply.Loading = entry.Holders, entry.Loading
		reply.TurnMs = a.waitEstimateMs(key, entry)
		if len(entry.Holders) == 0 {
			a.index.recordWaiting(key, e.From.Name, a.host.NowMs())
		}
	}
	a.host.Send(e.From, reply)
}

func keyOf(request protocol.LookUp) choice.Key {
	return choice.Key{Service: request.Service, Model: request.Model, Adapter: request.Adapter}
}

// isValidLookUp reports whether the service exists and may use the model, if one is named.
func (a *application) isValidLookUp(request protocol.LookUp) bool {
	if a.description == nil {
		return false
	}
	service, ok := a.description.Service(request.Service)
	return ok && (request.Model == "" || service.Allows(request.Model))
}

// recordWaiting records that a router looked up a key without holders.
func (x *index) recordWaiting(key choice.Key, router string, nowMs int64) {
	if len(x.waiting) >= maxWaitingKeys {
		return
	}
	if x.waiting[key] == nil {
		x.waiting[key] = map[string]int64{}
	}
	x.waiting[key][router] = nowMs
}

// entry returns the choice table's entry for a key.
func (a *application) entry(key choice.Key) choice.Entry {
	return a.table.LookUp(key, a.description, a.host.Position(), a.state(), a.currentHints())
}

// waitEstimateMs estimates the time in ms until a key without holders has one. It returns 0 if
// that is not known.
func (a *application) waitEstimateMs(key choice.Key, entry choice.Entry) int64 {
	if len(entry.Holders) > 0 {
		return 0
	}
	return a.currentHints().Turns[key.Item().String()]
}

// currentHints returns the primary's own hints or, at a follower, those last received.
func (a *application) currentHints() protocol.Hints {
	if a.host.IsPrimary() {
		return a.primary.hints(a.host.NowMs())
	}
	return a.hints
}

// notifyWaiting notifies the routers in index.waiting of the keys that have holders now.
func (a *application) notifyWaiting() {
	if a.description == nil {
		return
	}
	keys := make([]choice.Key, 0, len(a.index.waiting))
	for key := range a.index.waiting {
		keys = append(keys, key)
	}
	// In sorted order, so that a simulation is repeatable.
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

// notifyOfHolders sends the holders of a key to the routers. It returns false if there are none.
func (a *application) notifyOfHolders(key choice.Key, routers map[string]int64) bool {
	entry := a.entry(key)
	if len(entry.Holders) == 0 {
		return false
	}
	for _, router := range a.host.PeersWithRole(protocol.RoleRouter) {
		if _, asked := routers[router.Name]; asked {
			a.host.Send(router, protocol.LookUpReply{
				Key: key.String(), At: a.host.Position(), AgeMs: a.dataAgeMs(), Holders: entry.Holders,
			})
		}
	}
	return true
}

// answerWaiting sends a router what is known of the keys that its requests wait for. For keys
// without holders it records the demand.
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
			a.primary.recordWaiting(a.host.NowMs(), request.Model, request.Adapter)
		}
	}
}

// runIndexTimers refreshes the table and reports the demand to the primary when that is due.
func (a *application) runIndexTimers() {
	if a.host.NowMs()-a.index.demandSentMs < demandIntervalMs {
		return
	}
	a.index.demandSentMs = a.host.NowMs()
	// The hints are not part of the replicated state, so the table is rebuilt periodically.
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
