package controller

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// maxQueuedProposals limits the submitted descriptions that wait for the pending one.
	maxQueuedProposals = 16
	// proposalTimeoutMs is how long the routers have to acknowledge a description. After it
	// the description is rejected, so that its operator gets a definite response.
	proposalTimeoutMs = 12_000
)

// proposals is the primary's state for accepting descriptions, with the leases that it
// granted to routers.
type proposals struct {
	// current is the last committed revision, which all replicas hold. The revision in the
	// ledger may be one ahead of it while its commit is in progress.
	current ledger.Revision
	// token identifies the proposal that became current; routers acknowledged it by this token.
	token string
	// sequence is the number of proposals so far in this process; it makes tokens unique.
	sequence int
	// pending is the proposal that waits for acknowledgements or for its commit, or nil.
	pending *proposal
	queue   []SubmitDescription
	// leases are kept by process, not by name: two processes with the same name may run at
	// the same time for a while.
	leases map[protocol.MemberID]*routerLease
	// registrations holds the numbers of the routers' processes, assigned in the order of
	// their first polls; newestNumber holds, for each name, the highest number that a process
	// has sent back.
	registrations map[protocol.MemberID]uint64
	newestNumber  map[string]uint64
}

// proposal is a description that the routers are asked to acknowledge.
type proposal struct {
	submission SubmitDescription
	number     uint64
	text       string
	// token identifies this proposal. If the same text is proposed again, that is another
	// proposal, and an acknowledgement of the first does not count for it.
	token   string
	sinceMs int64
	// submitted is true once the routers have acknowledged it and it is being committed.
	submitted bool
}

// DescriptionAccepted is the reply to a submitted description that was committed.
type DescriptionAccepted struct {
	Revision uint64 `json:"revision"`
}

// ReplyBody marks DescriptionAccepted as a protocol.Reply.
func (DescriptionAccepted) ReplyBody() {}

func (a *application) reject(id uint64, kind errkind.Kind, detail string, faults []string) {
	a.host.Respond(id, protocol.Rejection{
		Kind: kind, Detail: detail, Faults: faults, Revision: a.proposals.current.Number, Primary: a.host.Record().Primary,
	})
}

func (a *application) submitDescription(in SubmitDescription) {
	switch {
	case len(in.Text) > description.MaxBytes:
		a.reject(in.ID, errkind.TooLarge, "a description may have at most 1 MiB", nil)
	case a.host.Epoch() == 0:
		a.reject(in.ID, errkind.NotBootstrapped, "this site is not bootstrapped", nil)
	case !a.host.IsPrimary():
		a.reject(in.ID, errkind.NotPrimary, "only the primary accepts descriptions", nil)
	case !a.host.Serves():
		a.reject(in.ID, errkind.NotAccepted, "the primary is not active: its lease has expired, not all replicas hold its first change, or the wait after a recovery is not over", nil)
	case len(a.proposals.queue) >= maxQueuedProposals:
		a.reject(in.ID, errkind.NotAccepted, "too many descriptions are queued", nil)
	default:
		a.proposals.queue = append(a.proposals.queue, in)
		a.startNextProposal()
	}
}

// startNextProposal proposes the first queued description that is valid. Only one is pending
// at a time, so the second of two submissions with the same base is rejected.
func (a *application) startNextProposal() {
	p := &a.proposals
	for p.pending == nil && len(p.queue) > 0 && a.host.Serves() {
		in := p.queue[0]
		// Errors are reported at once. Only a valid description waits for the leases that the
		// previous primary may have granted to expire.
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

// checkSubmission returns the complete text of a submitted description. If its base is not the
// current revision, or if it is invalid or too large, checkSubmission rejects the submission and
// returns faulty as true.
func (a *application) checkSubmission(in SubmitDescription) (text string, faulty bool) {
	current := a.proposals.current
	if in.Base != current.Number {
		a.reject(in.ID, errkind.StaleBase, "the base revision is not the current one", nil)
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
		a.reject(in.ID, errkind.FaultyDescription, "the description is invalid and has no effect", faults)
		return "", true
	}
	if len(whole) > description.MaxBytes {
		a.reject(in.ID, errkind.TooLarge, "the patched description may have at most 1 MiB", nil)
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
	a.host.Logf("proposed revision %d to the routers", p.pending.number)
	a.requestPolls()
	a.advanceProposal()
}

// advanceProposal commits the pending proposal once the routers have acknowledged it, and
// rejects it after proposalTimeoutMs.
func (a *application) advanceProposal() {
	pending := a.proposals.pending
	switch {
	case !a.host.Serves():
	case pending == nil:
		a.startNextProposal()
	case pending.submitted:
	case a.proposalAcknowledged():
		a.commitProposal(pending)
	case a.host.NowMs()-pending.sinceMs >= proposalTimeoutMs:
		// Nothing was written, so it cannot become active later.
		a.proposals.pending = nil
		a.reject(pending.submission.ID, errkind.NotAccepted, "too few routers acknowledged the description in time", nil)
		a.requestPolls()
		a.startNextProposal()
	}
}

func (a *application) commitProposal(pending *proposal) {
	pending.submitted = true
	id := pending.submission.ID
	a.submit(func(ok bool) {
		if !ok {
			a.reject(id, errkind.AcceptanceUnknown, "the description may have been committed; read it to find out", nil)
			return
		}
		a.proposals.current = ledger.Revision{Number: pending.number, Text: pending.text}
		a.proposals.token = pending.token
		a.proposals.pending = nil
		a.host.Logf("revision %d is active", pending.number)
		a.host.Respond(id, DescriptionAccepted{Revision: pending.number})
		a.requestPolls()
		a.startNextProposal()
	}, ledger.AcceptRevision{Text: pending.text, Epoch: a.host.Epoch()})
}

// proposalAcknowledged reports whether the pending proposal may be committed: no router may
// still use the current revision without having acknowledged the proposal. A majority of
// routers can extend each other's leases. Therefore a majority of the listed ones must have
// acknowledged, after which they grant no extensions, and the extensions that these routers
// granted before must have expired, unless all listed routers have acknowledged.
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

// abandonProposals rejects the descriptions that this daemon, no longer the primary, cannot
// accept.
func (a *application) abandonProposals() {
	const detail = "this controller is no longer the primary"
	queue, pending := a.proposals.queue, a.proposals.pending
	a.proposals.queue, a.proposals.pending = nil, nil
	a.proposals.resetRouters()
	for _, in := range queue {
		a.reject(in.ID, errkind.NotAccepted, detail, nil)
	}
	// A description that was never submitted cannot become active. One that was submitted is
	// answered by the callback of its commit.
	if pending != nil && !pending.submitted {
		a.reject(pending.submission.ID, errkind.NotAccepted, detail, nil)
	}
}
