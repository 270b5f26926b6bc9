package controller

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// routerLeaseMs is how long a router may go on with its revision after
	// the question that the primary's word answered.
	routerLeaseMs      = 6000
	maxQueuedProposals = 16
	// proposalTimeoutMs is when a description that routers do not acknowledge is given
	// up, so that its operator gets a final answer.
	proposalTimeoutMs = 12_000
)

// proposals is the taking of descriptions and the routers' holds on revisions.
type proposals struct {
	// current is the revision that both disks of the pair hold; the state's
	// own may be ahead of it by one that is not answered yet.
	current ledger.Revision
	// token names the offer that became current, as routers held it.
	token    string
	sequence int
	pending  *proposal
	queue    []SubmitDescription
	// leases are by process, not by name: two of one name may live for a while.
	leases map[protocol.MemberID]*routerLease
	// registrations registers the routers' processes in the order in which they first
	// asked; latest is the one that holds each name.
	registrations map[protocol.MemberID]uint64
	newestNumber  map[string]uint64
}

// proposal is a description that the routers are asked to hold.
type proposal struct {
	submission SubmitDescription
	number     uint64
	text       string
	// token names this very offer: a text that is offered again is another
	// offer, and an acknowledgement of the first says nothing of it.
	token     string
	sinceMs   int64
	submitted bool
}

// routerLease is what a router was given and what it acknowledged.
type routerLease struct {
	untilMs      int64
	acknowledged string
	// extendedUntilMs is until when renewals that the router gave to peers may run.
	extendedUntilMs int64
}

// DescriptionAccepted answers a description that is in force.
type DescriptionAccepted struct {
	Revision uint64 `json:"revision"`
}

func (a *application) reject(id uint64, kind errkind.Kind, detail string, faults []string) {
	a.host.Answer(id, protocol.Rejection{Kind: kind, Detail: detail, Faults: faults, Revision: a.proposals.current.Number, Primary: a.host.Record().Primary})
}

func (a *application) submitDescription(in SubmitDescription) {
	switch {
	case len(in.Text) > description.MaxBytes:
		a.reject(in.ID, errkind.TooLarge, "a description may have at most 1 MiB", nil)
	case a.host.Epoch() == 0:
		a.reject(in.ID, errkind.NotBootstrapped, "this site is not founded", nil)
	case !a.host.IsPrimary():
		a.reject(in.ID, errkind.NotPrimary, "the primary takes descriptions", nil)
	case !a.host.Active():
		a.reject(in.ID, errkind.NotAccepted, "the pair is not whole yet", nil)
	case len(a.proposals.queue) >= maxQueuedProposals:
		a.reject(in.ID, errkind.NotAccepted, "too many descriptions wait", nil)
	default:
		a.proposals.queue = append(a.proposals.queue, in)
		a.startNextProposal()
	}
}

// startNextProposal takes the first of the line that has no fault. One at a time, so
// that of two with one base the second loses.
func (a *application) startNextProposal() {
	o := &a.proposals
	for o.pending == nil && len(o.queue) > 0 && a.host.Active() {
		in := o.queue[0]
		// Faults are told at once; only a sound one waits for the holds that
		// the primary before may have given.
		if in.Base != o.current.Number {
			o.queue = o.queue[1:]
			a.reject(in.ID, errkind.StaleBase, "the description in force is another by now", nil)
			continue
		}
		text := []byte(in.Text)
		var faults []string
		if in.Partial {
			text, faults = description.Patch([]byte(o.current.Text), text)
		}
		if len(faults) == 0 {
			_, faults = description.Read(text, a.settings.Site)
		}
		if len(faults) > 0 || len(text) > description.MaxBytes {
			o.queue = o.queue[1:]
			kind := errkind.FaultyDescription
			if len(faults) == 0 {
				kind = errkind.TooLarge
			}
			a.reject(in.ID, kind, "the description has no effect", faults)
			continue
		}
		if a.host.NowMs() < a.acceptFromMs {
			return
		}
		o.queue = o.queue[1:]
		o.pending = &proposal{submission: in, number: o.current.Number + 1, text: string(text), sinceMs: a.host.NowMs()}
		o.sequence++
		o.pending.token = fmt.Sprintf("%s-%d-%d", protocol.Digest(string(text)), a.host.Epoch(), o.sequence)
		a.host.Logf("revision %d is offered to the routers", o.pending.number)
		a.requestPolls()
		a.advanceProposal()
	}
}

// requestPolls makes the routers ask at once rather than at their next turn.
func (a *application) requestPolls() {
	for _, place := range a.host.Known(protocol.RoleRouter) {
		a.host.Send(place, protocol.PollRequest{Epoch: a.host.Epoch()})
	}
}

func (a *application) advanceProposal() {
	o := &a.proposals
	if !a.host.Active() {
		return
	}
	if o.pending == nil {
		a.startNextProposal()
		return
	}
	if o.pending.submitted {
		return
	}
	if !a.proposalAcknowledged() {
		// Nothing was written, so it can't come into force any more.
		if a.host.NowMs()-o.pending.sinceMs >= proposalTimeoutMs {
			id := o.pending.submission.ID
			o.pending = nil
			a.reject(id, errkind.NotAccepted, "too few routers acknowledged it", nil)
			a.requestPolls()
			a.startNextProposal()
		}
		return
	}
	o.pending.submitted = true
	pending := o.pending
	a.submit(func(ok bool) {
		if !ok {
			a.reject(pending.submission.ID, errkind.AcceptanceUnknown, "it may be in force; read the description to find out", nil)
			return
		}
		a.proposals.current = ledger.Revision{Number: pending.number, Text: pending.text}
		a.proposals.token = pending.token
		a.proposals.pending = nil
		a.host.Logf("revision %d is in force", pending.number)
		a.host.Answer(pending.submission.ID, DescriptionAccepted{Revision: pending.number})
		a.requestPolls()
		a.startNextProposal()
	}, ledger.AcceptRevision{Text: pending.text, Epoch: a.host.Epoch()})
}

// proposalAcknowledged says whether every router that counts has acknowledged the
// pending revision or can't use the present one any more. Routers may renew
// each other's holds by majority, so a majority must have acknowledged, which
// ends that; and what those gave before must have run out.
func (a *application) proposalAcknowledged() bool {
	o := &a.proposals
	acked, givenMs := 0, int64(0)
	for _, hold := range o.leases {
		if hold.acknowledged != o.pending.token {
			if a.host.NowMs() < hold.untilMs {
				return false
			}
			continue
		}
		givenMs = max(givenMs, hold.extendedUntilMs)
	}
	if a.description == nil {
		return true
	}
	for _, member := range a.description.Routers {
		if o.acknowledgedBy(a.host.NowMs(), member.Name) {
			acked++
		}
	}
	if acked == len(a.description.Routers) {
		return true
	}
	return 2*acked > len(a.description.Routers) && a.host.NowMs() >= givenMs
}

// abandonProposals ends what an ended primacy can't settle.
func (a *application) abandonProposals() {
	o := &a.proposals
	line, pending := o.queue, o.pending
	o.queue, o.pending = nil, nil
	o.resetRouters()
	for _, in := range line {
		a.reject(in.ID, errkind.NotAccepted, "this controller is not the primary any more", nil)
	}
	// One that was never written can't come into force; one that was has been
	// answered by its write's end.
	if pending != nil && !pending.submitted {
		a.reject(pending.submission.ID, errkind.NotAccepted, "this controller is not the primary any more", nil)
	}
}

// resetRouters begins the holds and the registration of routers anew.
func (o *proposals) resetRouters() {
	o.leases, o.registrations, o.newestNumber = map[protocol.MemberID]*routerLease{}, map[protocol.MemberID]uint64{}, map[string]uint64{}
}

// register gives a router's process its number. One that shows that it got it
// lives, and has the name unless a later one does. The rest are retired.
// No two primacies give the same number.
func (o *proposals) register(epoch uint64, seat protocol.MemberID, shown uint64) (number uint64, retired bool) {
	number = o.registrations[seat]
	if number == 0 {
		number = epoch<<24 + uint64(len(o.registrations)+1)
		o.registrations[seat] = number
	}
	if shown == number {
		o.newestNumber[seat.Name] = max(o.newestNumber[seat.Name], number)
	}
	return number, number < o.newestNumber[seat.Name]
}

// acknowledgedBy says whether a router's process has acknowledged the offer and no
// other of its name may still go on without.
func (o *proposals) acknowledgedBy(nowMs int64, name string) bool {
	found := false
	for seat, hold := range o.leases {
		if seat.Name != name {
			continue
		}
		if hold.acknowledged == o.pending.token {
			found = true
		} else if nowMs < hold.untilMs {
			return false
		}
	}
	return found
}

// isListedRouter says whether a router is listed in the description in force, or in
// none as long as there is none.
func (a *application) isListedRouter(name string) bool {
	if a.description == nil {
		return false
	}
	for _, member := range a.description.Routers {
		if member.Name == name {
			return true
		}
	}
	return false
}

// handlePoll answers a router. Only a router that counts is given a hold.
func (a *application) handlePoll(e protocol.Envelope, ask protocol.RouterPoll) {
	if !a.host.Active() {
		return
	}
	o := &a.proposals
	seat := protocol.MemberID{Name: e.From.Name, Incarnation: e.From.Incarnation}
	number, retired := o.register(a.host.Epoch(), seat, ask.Number)
	if retired {
		a.host.Send(e.From, protocol.RouterUpdate{EchoMs: ask.EchoMs, For: e.From.Incarnation, Epoch: a.host.Epoch(), Number: number, Retired: true})
		return
	}
	word := protocol.RouterUpdate{
		EchoMs: ask.EchoMs, For: e.From.Incarnation, Epoch: a.host.Epoch(),
		Revision: o.current.Number, Sum: o.token, Number: number,
		Leaving: a.primary.leavingRunners(a.state()), Peers: a.host.Peers(),
	}
	if ask.Revision != o.current.Number && ask.Held != word.Sum {
		word.Text = o.current.Text
	}
	hold := o.leases[seat]
	if a.isListedRouter(e.From.Name) && o.current.Number > 0 {
		if hold == nil {
			hold = &routerLease{}
			o.leases[seat] = hold
		}
		hold.acknowledged = ask.Held
		hold.extendedUntilMs = a.host.NowMs() + ask.GivenMs
		// A router that has not acknowledged is given no more time on the
		// present revision while a next one is pending.
		if o.pending == nil || ask.Held == o.pending.token {
			word.Renew = true
			hold.untilMs = a.host.NowMs() + routerLeaseMs
		}
	}
	if o.pending != nil {
		word.Pending = o.pending.token
		if ask.Held != o.pending.token {
			word.PendingText = o.pending.text
		}
	}
	a.host.Send(e.From, word)
	a.answerWaiting(e.From, ask.Waiting)
	// An acknowledgement may be the last that was waited for.
	if o.pending != nil {
		a.advanceProposal()
	}
}
