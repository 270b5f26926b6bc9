package controller

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// maxQueuedProposals bounds the descriptions that wait for the one before.
	maxQueuedProposals = 16
	// proposalTimeoutMs is how long routers have to acknowledge a description before it
	// is rejected, so that its operator gets a final answer.
	proposalTimeoutMs = 12_000
)

// proposals is the primary's part in the acceptance of descriptions, and what it
// granted to routers meanwhile.
type proposals struct {
	// current is the revision that all replicas hold. The state's own may be ahead of
	// it by one that is not committed yet.
	current ledger.Revision
	// token names the proposal that became current, as routers acknowledged it.
	token string
	// sequence counts the proposals of this process.
	sequence int
	// pending is the proposal that waits for the routers or for its commit, or nil.
	pending *proposal
	queue   []SubmitDescription
	// leases are by process, not by name: two processes of one name may live for a
	// while.
	leases map[protocol.MemberID]*routerLease
	// registrations are the numbers of the routers' processes, in the order in which
	// they first polled; newestNumber is that of the process that holds a name.
	registrations map[protocol.MemberID]uint64
	newestNumber  map[string]uint64
}

// proposal is a description that the routers are asked to acknowledge.
type proposal struct {
	submission SubmitDescription
	number     uint64
	text       string
	// token names this very proposal. A text that is proposed again is another
	// proposal, and an acknowledgement of the first says nothing of it.
	token   string
	sinceMs int64
	// submitted says that the routers have acknowledged it and it is being committed.
	submitted bool
}

// DescriptionAccepted answers a description that is in force.
type DescriptionAccepted struct {
	Revision uint64 `json:"revision"`
}

// ReplyBody marks DescriptionAccepted as a protocol.Reply.
func (DescriptionAccepted) ReplyBody() {}

func (a *application) reject(id uint64, kind errkind.Kind, detail string, faults []string) {
	a.host.Answer(id, protocol.Rejection{
		Kind: kind, Detail: detail, Faults: faults, Revision: a.proposals.current.Number, Primary: a.host.Record().Primary,
	})
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

// startNextProposal proposes the first queued description that has no fault. One at
// a time, so that of two with the same base the second is rejected.
func (a *application) startNextProposal() {
	p := &a.proposals
	for p.pending == nil && len(p.queue) > 0 && a.host.Active() {
		in := p.queue[0]
		// Faults are reported at once. Only a faultless description waits for the
		// leases that the primary before may have granted.
		text, faulty := a.checkSubmission(in)
		if !faulty && a.host.NowMs() < a.acceptFromMs {
			return
		}
		p.queue = p.queue[1:]
		if !faulty {
			a.propose(in, text)
		}
	}
}

// checkSubmission gives the whole text of a submitted description. One with a fault is
// rejected.
func (a *application) checkSubmission(in SubmitDescription) (text string, faulty bool) {
	current := a.proposals.current
	if in.Base != current.Number {
		a.reject(in.ID, errkind.StaleBase, "the description in force is another by now", nil)
		return "", true
	}
	whole := []byte(in.Text)
	var faults []string
	if in.Partial {
		whole, faults = description.Patch([]byte(current.Text), whole)
	}
	if len(faults) == 0 {
		_, faults = description.Read(whole, a.settings.Site)
	}
	if len(faults) > 0 {
		a.reject(in.ID, errkind.FaultyDescription, "the description has no effect", faults)
		return "", true
	}
	if len(whole) > description.MaxBytes {
		a.reject(in.ID, errkind.TooLarge, "the description has no effect", nil)
		return "", true
	}
	return string(whole), false
}

// propose asks the routers to acknowledge a description.
func (a *application) propose(in SubmitDescription, text string) {
	p := &a.proposals
	p.sequence++
	p.pending = &proposal{
		submission: in, number: p.current.Number + 1, text: text, sinceMs: a.host.NowMs(),
		token: fmt.Sprintf("%s-%d-%d", protocol.Digest(text), a.host.Epoch(), p.sequence),
	}
	a.host.Logf("revision %d is offered to the routers", p.pending.number)
	a.requestPolls()
	a.advanceProposal()
}

// advanceProposal commits the pending proposal once the routers have acknowledged it,
// and rejects it if they don't in time.
func (a *application) advanceProposal() {
	pending := a.proposals.pending
	switch {
	case !a.host.Active():
	case pending == nil:
		a.startNextProposal()
	case pending.submitted:
	case a.proposalAcknowledged():
		a.commitProposal(pending)
	case a.host.NowMs()-pending.sinceMs >= proposalTimeoutMs:
		// Nothing was written, so it can't come into force any more.
		a.proposals.pending = nil
		a.reject(pending.submission.ID, errkind.NotAccepted, "too few routers acknowledged it", nil)
		a.requestPolls()
		a.startNextProposal()
	}
}

func (a *application) commitProposal(pending *proposal) {
	pending.submitted = true
	id := pending.submission.ID
	a.submit(func(ok bool) {
		if !ok {
			a.reject(id, errkind.AcceptanceUnknown, "it may be in force; read the description to find out", nil)
			return
		}
		a.proposals.current = ledger.Revision{Number: pending.number, Text: pending.text}
		a.proposals.token = pending.token
		a.proposals.pending = nil
		a.host.Logf("revision %d is in force", pending.number)
		a.host.Answer(id, DescriptionAccepted{Revision: pending.number})
		a.requestPolls()
		a.startNextProposal()
	}, ledger.AcceptRevision{Text: pending.text, Epoch: a.host.Epoch()})
}

// proposalAcknowledged says whether every router that is listed has acknowledged the
// pending proposal or can't use the current revision any more. Routers may extend
// each other's leases by majority, so a majority must have acknowledged, which ends
// that, and the extensions that those granted before must have run out.
func (a *application) proposalAcknowledged() bool {
	p := &a.proposals
	extendedUntilMs := int64(0)
	for _, lease := range p.leases {
		acknowledged := lease.acknowledged == p.pending.token
		if !acknowledged && a.host.NowMs() < lease.untilMs {
			return false
		}
		if acknowledged {
			extendedUntilMs = max(extendedUntilMs, lease.extendedUntilMs)
		}
	}
	if a.description == nil {
		return true
	}
	acknowledged, listed := 0, len(a.description.Routers)
	for _, router := range a.description.Routers {
		if p.acknowledgedBy(a.host.NowMs(), router.Name) {
			acknowledged++
		}
	}
	if acknowledged == listed {
		return true
	}
	return 2*acknowledged > listed && a.host.NowMs() >= extendedUntilMs
}

// abandonProposals rejects what an ended primacy can't accept any more.
func (a *application) abandonProposals() {
	const detail = "this controller is not the primary any more"
	queue, pending := a.proposals.queue, a.proposals.pending
	a.proposals.queue, a.proposals.pending = nil, nil
	a.proposals.resetRouters()
	for _, in := range queue {
		a.reject(in.ID, errkind.NotAccepted, detail, nil)
	}
	// One that was never written can't come into force; one that was has been
	// answered by the end of its write.
	if pending != nil && !pending.submitted {
		a.reject(pending.submission.ID, errkind.NotAccepted, detail, nil)
	}
}
