package controller

import (
	"slices"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// routerLeaseMs is how long a router may use its revision, counted from the poll that
// renewed its lease.
const routerLeaseMs = 6000

// routerNumberBits is the width of the counter in the low bits of a registration number; the
// bits above hold the epoch.
const routerNumberBits = 24

// routerLease is the lease of a router's process, with what the process acknowledged.
type routerLease struct {
	// untilMs is the time until which the process may use the current revision.
	untilMs int64
	// acknowledged is the token that the process sent with its last poll. It identifies the
	// proposal whose text the process holds.
	acknowledged string
	// extendedUntilMs is when the lease extensions that it granted to its peers expire.
	extendedUntilMs int64
}

// requestPolls asks the routers to poll now rather than at their next regular time.
func (a *application) requestPolls() {
	for _, router := range a.host.PeersWithRole(protocol.RoleRouter) {
		a.host.Send(router, protocol.PollRequest{Epoch: a.host.Epoch()})
	}
}

// resetRouters discards all leases and registrations.
func (p *proposals) resetRouters() {
	p.leases = map[protocol.MemberID]*routerLease{}
	p.registrations = map[protocol.MemberID]uint64{}
	p.newestNumber = map[string]uint64{}
}

// register returns the number of a router's process and assigns one at the first call. Numbers
// of different epochs differ. A poll that contains the number (shown) was sent after a reply to
// an earlier one, so it is not a delayed poll of a process that ended before the assignment. Of
// the processes with the same name, all with a lower number than the highest one shown are
// retired.
func (p *proposals) register(epoch uint64, router protocol.MemberID, shown uint64) (number uint64, retired bool) {
	number = p.registrations[router]
	if number == 0 {
		number = epoch<<routerNumberBits + uint64(len(p.registrations)+1)
		p.registrations[router] = number
	}
	if shown == number {
		p.newestNumber[router.Name] = max(p.newestNumber[router.Name], number)
	}
	return number, number < p.newestNumber[router.Name]
}

// acknowledgedBy reports whether a router's process has acknowledged the pending proposal
// and no other process of its name may still use the current revision.
func (p *proposals) acknowledgedBy(nowMs int64, name string) bool {
	found := false
	for router, lease := range p.leases {
		if router.Name != name {
			continue
		}
		if lease.acknowledged == p.pending.token {
			found = true
		} else if nowMs < lease.untilMs {
			return false
		}
	}
	return found
}

// isListedRouter reports whether the current description lists a router.
func (a *application) isListedRouter(name string) bool {
	if a.description == nil {
		return false
	}
	return slices.ContainsFunc(a.description.Routers, func(router description.Member) bool { return router.Name == name })
}

// handlePoll replies to a router's poll with the current revision, the pending proposal and
// whether the lease is renewed, and answers the look-ups that wait at the router. A superseded
// process is told only that it is retired.
func (a *application) handlePoll(e protocol.Envelope, poll protocol.RouterPoll) {
	if !a.host.Serves() {
		return
	}
	router := protocol.MemberID{Name: e.From.Name, Incarnation: e.From.Incarnation}
	number, retired := a.proposals.register(a.host.Epoch(), router, poll.Number)
	update := protocol.RouterUpdate{
		EchoMs: poll.EchoMs, For: router.Incarnation, Epoch: a.host.Epoch(), Number: number, Retired: retired,
	}
	if retired {
		a.host.Send(e.From, update)
		return
	}
	a.addRevisions(&update, poll)
	update.Renew = a.renewLease(router, poll)
	a.host.Send(e.From, update)
	a.answerWaiting(e.From, poll.Waiting)
	// This poll may have brought the last acknowledgement that was missing.
	if a.proposals.pending != nil {
		a.advanceProposal()
	}
}

// addRevisions adds the current revision, the pending proposal and the site's daemons to
// an update. Texts that the router holds are left out.
func (a *application) addRevisions(update *protocol.RouterUpdate, poll protocol.RouterPoll) {
	p := &a.proposals
	update.Revision, update.Sum = p.current.Number, p.token
	update.Leaving, update.Peers = a.primary.leavingRunners(a.state()), a.host.Peers()
	if poll.Revision != p.current.Number && poll.Held != p.token {
		update.Text = p.current.Text
	}
	if p.pending == nil {
		return
	}
	update.Pending = p.pending.token
	if poll.Held != p.pending.token {
		update.PendingText = p.pending.text
	}
}

// renewLease records what a listed router has acknowledged, and reports whether its lease on
// the current revision is renewed. It is not while a proposal is pending that the router has
// not acknowledged.
func (a *application) renewLease(router protocol.MemberID, poll protocol.RouterPoll) bool {
	p := &a.proposals
	if !a.isListedRouter(router.Name) || p.current.Number == 0 {
		return false
	}
	lease := p.leases[router]
	if lease == nil {
		lease = &routerLease{}
		p.leases[router] = lease
	}
	lease.acknowledged = poll.Held
	lease.extendedUntilMs = a.host.NowMs() + poll.GivenMs
	if p.pending != nil && poll.Held != p.pending.token {
		return false
	}
	lease.untilMs = a.host.NowMs() + routerLeaseMs
	return true
}
