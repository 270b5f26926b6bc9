package controller

import (
	"fmt"
	"strconv"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// maxWaitingSubmissions bounds the submissions that wait for earlier ones.
const maxWaitingSubmissions = 64

// Counters of submissions that were answered from the history. In their names, which
// operators read, "orders" means submissions.
const (
	countRepeated = "orders acknowledged again"
	countStale    = "stale orders refused"
	countTooOld   = "orders too old to tell"
)

// submissionQueue holds the waiting submissions. They are processed one at a time,
// so that of two with the same base version the second is rejected.
type submissionQueue struct {
	waiting []SubmitConfig
	// isWriting is true while the rows of a submission are being replicated.
	isWriting bool
	// maxHistory is how many accepted submissions the history keeps.
	maxHistory int
}

// sum returns a hash that identifies a submission, so that it is recognised when it
// is repeated.
func (r SubmitConfig) sum() string {
	return protocol.Digest(strconv.FormatUint(r.BaseVersion, 10) + strconv.FormatBool(r.Partial) + r.Text)
}

// beginSubmissions prepares a new primary for submissions: it migrates the history
// of an earlier release if there is one.
func (c *Controller) beginSubmissions(h consensus.Host) {
	rows := migratedRows(h, c.config.active.version)
	if rows == nil {
		c.processSubmissions(h)
		return
	}
	c.submissions.isWriting = true
	h.Submit(rows, func(committed bool) {
		c.submissions.isWriting = false
		if committed {
			c.processSubmissions(h)
		}
	})
}

// rejectWaitingSubmissions rejects all waiting submissions when this controller is no
// longer the primary.
func (c *Controller) rejectWaitingSubmissions(h consensus.Host) {
	waiting := c.submissions.waiting
	c.submissions.waiting, c.submissions.isWriting = nil, false
	for _, request := range waiting {
		c.redirectToPrimary(h, request.ID)
	}
}

func (c *Controller) handleSubmitConfig(h consensus.Host, request SubmitConfig) {
	switch {
	case !c.mayAnswerOperators(h):
		c.redirectToPrimary(h, request.ID)
	case len(c.submissions.waiting) >= maxWaitingSubmissions:
		reject(h, request.ID, protocol.Rejection{Kind: errkind.NotAccepted, Detail: "too many submissions are waiting"})
	default:
		c.submissions.waiting = append(c.submissions.waiting, request)
		c.processSubmissions(h)
	}
}

// processSubmissions processes waiting submissions until one has to be replicated.
func (c *Controller) processSubmissions(h consensus.Host) {
	queue := &c.submissions
	for !queue.isWriting && len(queue.waiting) > 0 && h.Serves() {
		request := queue.waiting[0]
		queue.waiting = queue.waiting[1:]
		c.processSubmission(h, request)
	}
}

// processSubmission answers a submission from the history, or accepts it.
func (c *Controller) processSubmission(h consensus.Host, request SubmitConfig) {
	sum := request.sum()
	status, acceptedVersion := lookUpSubmission(h, c.config.active.version, request.BaseVersion, sum)
	switch status {
	case submissionIsNext:
		c.acceptSubmission(h, request, sum)
	case submissionWasAccepted:
		h.Count(countRepeated)
		reply(h, request.ID, ConfigAccepted{Version: acceptedVersion})
	case submissionIsStale:
		c.rejectStale(h, request)
	case submissionIsAhead:
		c.rejectAhead(h, request, sum)
	case submissionIsTooOld:
		c.rejectTooOld(h, request)
	}
}

// acceptSubmission commits and activates a configuration that builds on the active
// one, unless it has faults.
func (c *Controller) acceptSubmission(h consensus.Host, request SubmitConfig, sum string) {
	next, rejection := c.buildConfig(request)
	if rejection != nil {
		reject(h, request.ID, *rejection)
		return
	}
	rows := acceptedRows(h, request.BaseVersion, next.version, sum, c.submissions.maxHistory)
	row := encodeRow(storedConfig{next.version, next.packed})
	rows[configRow] = row
	c.replicate(h, request, rows, func() {
		c.config = configState{next, row}
		h.Logf("configuration version %d is active", next.version)
		c.placement.SetConfiguration(next.parsed)
		// Routers are notified before the operator: the sooner they have the
		// configuration, the sooner it applies.
		c.updateRouters(h)
		reply(h, request.ID, ConfigAccepted{Version: next.version})
	})
}

// buildConfig returns the configuration that a submission requests, or the rejection if that has
// faults or is too large to be carried to all daemons.
func (c *Controller) buildConfig(request SubmitConfig) (activeConfig, *protocol.Rejection) {
	active := &c.config.active
	text := []byte(request.Text)
	if request.Partial {
		changed, faults := c.format.ApplyChange([]byte(active.text), text)
		if len(faults) > 0 {
			return activeConfig{}, faultyConfig(faults)
		}
		text = changed
	}
	if len(text) > protocol.MaxTextBytes {
		return activeConfig{}, oversizedConfig("", len(text), protocol.MaxTextBytes)
	}
	parsed, faults := c.format.Parse(text)
	if len(faults) > 0 {
		return activeConfig{}, faultyConfig(faults)
	}
	if parsed.Version <= active.version {
		fault := fmt.Sprintf("version: is %d; it must be above the active version (%d)", parsed.Version, active.version)
		return activeConfig{}, faultyConfig([]string{fault})
	}
	complete := string(text)
	packed := protocol.Compress(complete)
	if len(packed) > protocol.MaxPackedBytes {
		return activeConfig{}, oversizedConfig("compressed ", len(packed), protocol.MaxPackedBytes)
	}
	return activeConfig{parsed.Version, protocol.Digest(complete), complete, packed, parsed}, nil
}

func faultyConfig(faults []string) *protocol.Rejection {
	return &protocol.Rejection{Kind: errkind.FaultyDescription, Detail: "the configuration has faults", Faults: faults}
}

// oversizedConfig returns the rejection of a configuration with more bytes, in this form, than
// may be.
func oversizedConfig(form string, bytes, maxBytes int) *protocol.Rejection {
	detail := fmt.Sprintf("the complete configuration would have %d %sbytes; at most %d can be carried to all daemons", bytes, form, maxBytes)
	return &protocol.Rejection{Kind: errkind.TooLarge, Detail: detail}
}

// replicate commits rows and then calls done. No other submission is processed
// before that. If the outcome of the commit is unknown, the request is rejected as
// AcceptanceUnknown and done is not called.
func (c *Controller) replicate(h consensus.Host, request SubmitConfig, rows map[string]string, done func()) {
	c.submissions.isWriting = true
	h.Submit(rows, func(committed bool) {
		c.submissions.isWriting = false
		if !committed {
			// The rows may be committed later, so the submission is neither
			// accepted nor rejected for certain.
			reject(h, request.ID, protocol.Rejection{Kind: errkind.AcceptanceUnknown, Detail: "the submission may have been accepted; submit it again"})
			return
		}
		done()
		c.processSubmissions(h)
	})
}

func (c *Controller) rejectStale(h consensus.Host, request SubmitConfig) {
	h.Count(countStale)
	reject(h, request.ID, protocol.Rejection{
		Kind: errkind.StaleBase, Detail: "the base version was not active when the submission was first processed", Revision: c.config.active.version,
	})
}

// rejectAhead rejects a submission whose base version has not been active. A
// duplicate of it may be delivered when that version is active, so the rejection is
// committed before the operator is notified.
func (c *Controller) rejectAhead(h consensus.Host, request SubmitConfig, sum string) {
	if isRejected(h, sum) {
		c.rejectStale(h, request)
		return
	}
	rows, ok := rejectedRows(h, request.BaseVersion, sum)
	if !ok {
		reject(h, request.ID, protocol.Rejection{
			Kind: errkind.NotAccepted, Detail: "too many submissions build on versions that have not been active",
		})
		return
	}
	c.replicate(h, request, rows, func() { c.rejectStale(h, request) })
}

// rejectTooOld rejects a submission that is older than the history. It may have been
// accepted, unless its text has faults.
func (c *Controller) rejectTooOld(h consensus.Host, request SubmitConfig) {
	if !request.Partial {
		if _, faults := c.format.Parse([]byte(request.Text)); len(faults) > 0 {
			reject(h, request.ID, *faultyConfig(faults))
			return
		}
	}
	h.Count(countTooOld)
	reject(h, request.ID, protocol.Rejection{
		Kind: errkind.AcceptanceUnknown, Detail: "the submission is older than the history of accepted submissions", Revision: c.config.active.version,
	})
}
