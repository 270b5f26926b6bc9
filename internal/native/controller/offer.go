package controller

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// RouterHoldMs is how long a router may go on with its revision after
	// the question that the primary's word answered.
	RouterHoldMs = 6000
	lineMost     = 16
	// giveUpMs is when a description that routers do not acknowledge is given
	// up, so that its operator gets a final answer.
	giveUpMs = 12_000
)

// offer is the taking of descriptions and the routers' holds on revisions.
type offer struct {
	// current is the revision that both disks of the pair hold; the state's
	// own may be ahead of it by one that is not answered yet.
	current ledger.Revision
	// token names the offer that became current, as routers held it.
	token   string
	count   int
	pending *candidate
	line    []HandOver
	// holds are by process, not by name: two of one name may live for a while.
	holds map[protocol.MemberID]*routerHold
	// numbers registers the routers' processes in the order in which they first
	// asked; latest is the one that holds each name.
	numbers map[protocol.MemberID]uint64
	latest  map[string]uint64
}

// candidate is a description that the routers are asked to hold.
type candidate struct {
	from   HandOver
	number uint64
	text   string
	// token names this very offer: a text that is offered again is another
	// offer, and an acknowledgement of the first says nothing of it.
	token   string
	sinceMs int64
	given   bool
}

// routerHold is what a router was given and what it acknowledged.
type routerHold struct {
	untilMs int64
	acked   string
	// givenMs is until when renewals that the router gave to peers may run.
	givenMs int64
}

// Accepted answers a description that is in force.
type Accepted struct {
	Revision uint64 `json:"revision"`
}

func (a *application) drop(id uint64, kind errkind.Kind, detail string, faults []string) {
	a.host.Answer(id, protocol.Rejection{Kind: kind, Detail: detail, Faults: faults, Revision: a.offer.current.Number, Primary: a.host.Record().Primary})
}

func (a *application) handOver(in HandOver) {
	switch {
	case len(in.Text) > description.Most:
		a.drop(in.ID, errkind.TooLarge, "a description may have at most 1 MiB", nil)
	case a.host.Epoch() == 0:
		a.drop(in.ID, errkind.NotBootstrapped, "this site is not founded", nil)
	case !a.host.IsPrimary():
		a.drop(in.ID, errkind.NotPrimary, "the primary takes descriptions", nil)
	case !a.host.Active():
		a.drop(in.ID, errkind.NotAccepted, "the pair is not whole yet", nil)
	case len(a.offer.line) >= lineMost:
		a.drop(in.ID, errkind.NotAccepted, "too many descriptions wait", nil)
	default:
		a.offer.line = append(a.offer.line, in)
		a.nextOffer()
	}
}

// nextOffer takes the first of the line that has no fault. One at a time, so
// that of two with one base the second loses.
func (a *application) nextOffer() {
	o := &a.offer
	for o.pending == nil && len(o.line) > 0 && a.host.Active() {
		in := o.line[0]
		// Faults are told at once; only a sound one waits for the holds that
		// the primary before may have given.
		if in.Base != o.current.Number {
			o.line = o.line[1:]
			a.drop(in.ID, errkind.StaleBase, "the description in force is another by now", nil)
			continue
		}
		text := []byte(in.Text)
		var faults []string
		if in.Part {
			text, faults = description.Patch([]byte(o.current.Text), text)
		}
		if len(faults) == 0 {
			_, faults = description.Read(text, a.settings.Site)
		}
		if len(faults) > 0 || len(text) > description.Most {
			o.line = o.line[1:]
			kind := errkind.FaultyDescription
			if len(faults) == 0 {
				kind = errkind.TooLarge
			}
			a.drop(in.ID, kind, "the description has no effect", faults)
			continue
		}
		if a.host.NowMs() < a.acceptFromMs {
			return
		}
		o.line = o.line[1:]
		o.pending = &candidate{from: in, number: o.current.Number + 1, text: string(text), sinceMs: a.host.NowMs()}
		o.count++
		o.pending.token = fmt.Sprintf("%s-%d-%d", protocol.Digest(string(text)), a.host.Epoch(), o.count)
		a.host.Logf("revision %d is offered to the routers", o.pending.number)
		a.nudge()
		a.tickOffer()
	}
}

// nudge makes the routers ask at once rather than at their next turn.
func (a *application) nudge() {
	for _, place := range a.host.Known(protocol.RoleRouter) {
		a.host.Send(place, protocol.PollRequest{Epoch: a.host.Epoch()})
	}
}

func (a *application) tickOffer() {
	o := &a.offer
	if !a.host.Active() {
		return
	}
	if o.pending == nil {
		a.nextOffer()
		return
	}
	if o.pending.given {
		return
	}
	if !a.routersReady() {
		// Nothing was written, so it can't come into force any more.
		if a.host.NowMs()-o.pending.sinceMs >= giveUpMs {
			id := o.pending.from.ID
			o.pending = nil
			a.drop(id, errkind.NotAccepted, "too few routers acknowledged it", nil)
			a.nudge()
			a.nextOffer()
		}
		return
	}
	o.pending.given = true
	pending := o.pending
	a.submit(func(ok bool) {
		if !ok {
			a.drop(pending.from.ID, errkind.AcceptanceUnknown, "it may be in force; read the description to find out", nil)
			return
		}
		a.offer.current = ledger.Revision{Number: pending.number, Text: pending.text}
		a.offer.token = pending.token
		a.offer.pending = nil
		a.host.Logf("revision %d is in force", pending.number)
		a.host.Answer(pending.from.ID, Accepted{Revision: pending.number})
		a.nudge()
		a.nextOffer()
	}, ledger.Accept{Text: pending.text, Epoch: a.host.Epoch()})
}

// routersReady says whether every router that counts has acknowledged the
// pending revision or can't use the present one any more. Routers may renew
// each other's holds by majority, so a majority must have acknowledged, which
// ends that; and what those gave before must have run out.
func (a *application) routersReady() bool {
	o := &a.offer
	acked, givenMs := 0, int64(0)
	for _, hold := range o.holds {
		if hold.acked != o.pending.token {
			if a.host.NowMs() < hold.untilMs {
				return false
			}
			continue
		}
		givenMs = max(givenMs, hold.givenMs)
	}
	if a.described == nil {
		return true
	}
	for _, member := range a.described.Routers {
		if o.acked(a.host.NowMs(), member.Name) {
			acked++
		}
	}
	if acked == len(a.described.Routers) {
		return true
	}
	return 2*acked > len(a.described.Routers) && a.host.NowMs() >= givenMs
}

// endOffer ends what an ended primacy can't settle.
func (a *application) endOffer() {
	o := &a.offer
	line, pending := o.line, o.pending
	o.line, o.pending = nil, nil
	o.forget()
	for _, in := range line {
		a.drop(in.ID, errkind.NotAccepted, "this controller is not the primary any more", nil)
	}
	// One that was never written can't come into force; one that was has been
	// answered by its write's end.
	if pending != nil && !pending.given {
		a.drop(pending.from.ID, errkind.NotAccepted, "this controller is not the primary any more", nil)
	}
}

// forget begins the holds and the registration of routers anew.
func (o *offer) forget() {
	o.holds, o.numbers, o.latest = map[protocol.MemberID]*routerHold{}, map[protocol.MemberID]uint64{}, map[string]uint64{}
}

// register gives a router's process its number. One that shows that it got it
// lives, and has the name unless a later one does. The rest are retired.
// No two primacies give the same number.
func (o *offer) register(epoch uint64, seat protocol.MemberID, shown uint64) (number uint64, retired bool) {
	number = o.numbers[seat]
	if number == 0 {
		number = epoch<<24 + uint64(len(o.numbers)+1)
		o.numbers[seat] = number
	}
	if shown == number {
		o.latest[seat.Name] = max(o.latest[seat.Name], number)
	}
	return number, number < o.latest[seat.Name]
}

// acked says whether a router's process has acknowledged the offer and no
// other of its name may still go on without.
func (o *offer) acked(nowMs int64, name string) bool {
	found := false
	for seat, hold := range o.holds {
		if seat.Name != name {
			continue
		}
		if hold.acked == o.pending.token {
			found = true
		} else if nowMs < hold.untilMs {
			return false
		}
	}
	return found
}

// counts says whether a router is listed in the description in force, or in
// none as long as there is none.
func (a *application) counts(name string) bool {
	if a.described == nil {
		return false
	}
	for _, member := range a.described.Routers {
		if member.Name == name {
			return true
		}
	}
	return false
}

// asked answers a router. Only a router that counts is given a hold.
func (a *application) asked(e protocol.Envelope, ask protocol.RouterPoll) {
	if !a.host.Active() {
		return
	}
	o := &a.offer
	seat := protocol.MemberID{Name: e.From.Name, Incarnation: e.From.Incarnation}
	number, retired := o.register(a.host.Epoch(), seat, ask.Number)
	if retired {
		a.host.Send(e.From, protocol.RouterUpdate{EchoMs: ask.EchoMs, For: e.From.Incarnation, Epoch: a.host.Epoch(), Number: number, Retired: true})
		return
	}
	word := protocol.RouterUpdate{
		EchoMs: ask.EchoMs, For: e.From.Incarnation, Epoch: a.host.Epoch(),
		Revision: o.current.Number, Sum: o.token, Number: number,
		Leaving: a.duty.marks(a.state()), Peers: a.host.Peers(),
	}
	if ask.Revision != o.current.Number && ask.Held != word.Sum {
		word.Text = o.current.Text
	}
	hold := o.holds[seat]
	if a.counts(e.From.Name) && o.current.Number > 0 {
		if hold == nil {
			hold = &routerHold{}
			o.holds[seat] = hold
		}
		hold.acked = ask.Held
		hold.givenMs = a.host.NowMs() + ask.GivenMs
		// A router that has not acknowledged is given no more time on the
		// present revision while a next one is pending.
		if o.pending == nil || ask.Held == o.pending.token {
			word.Renew = true
			hold.untilMs = a.host.NowMs() + RouterHoldMs
		}
	}
	if o.pending != nil {
		word.Pending = o.pending.token
		if ask.Held != o.pending.token {
			word.PendingText = o.pending.text
		}
	}
	a.host.Send(e.From, word)
	a.tellWaited(e.From, ask.Waiting)
	// An acknowledgement may be the last that was waited for.
	if o.pending != nil {
		a.tickOffer()
	}
}
