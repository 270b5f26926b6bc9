package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"myrtlewinch/internal/protocol"
)

// outcome is what a definite response says about a submission.
type outcome int

const (
	outcomeAccepted outcome = iota
	// outcomeStale means that the submission was rejected because another version than its base is
	// current.
	outcomeStale
	// outcomeInvalid means that the submission was rejected because it is not valid.
	outcomeInvalid
)

var outcomeNames = []string{"accepted", "stale", "invalid"}

func (o outcome) String() string { return outcomeNames[o] }

// submissionKey identifies a submission. The system must identify it in the same way: a submission
// that is sent again is the same submission, whoever sends it.
type submissionKey struct {
	baseVersion uint64
	isChange    bool
	text        string
}

// submissionRecord is a submission with the definite responses to all calls that sent it.
type submissionRecord struct {
	submissionKey
	number    int
	version   uint64
	sentMs    int64
	responses []responseRecord
}

// responseRecord is the definite response to one call. For a stale submission, current is the
// version that the response names as the current one.
type responseRecord struct {
	sentMs, atMs int64
	outcome      outcome
	current      uint64
}

func (r *submissionRecord) String() string {
	return fmt.Sprintf("submission %d (version %d based on %d, first sent at %d ms)", r.number, r.version, r.baseVersion, r.sentMs)
}

// readRecord is a configuration that was read back. sum is the digest of its text.
type readRecord struct {
	sentMs, atMs int64
	version      uint64
	sum          string
}

// history records the operators' submissions and reads, and the responses to them.
type history struct {
	byKey       map[submissionKey]*submissionRecord
	submissions []*submissionRecord
	reads       []readRecord
}

func newHistory() history { return history{byKey: map[submissionKey]*submissionRecord{}} }

// recordSubmission returns the record of a submission, and adds one if the submission is new.
func (h *history) recordSubmission(nowMs int64, key submissionKey, version uint64) *submissionRecord {
	if known := h.byKey[key]; known != nil {
		return known
	}
	r := &submissionRecord{submissionKey: key, number: len(h.submissions) + 1, version: version, sentMs: nowMs}
	h.byKey[key] = r
	h.submissions = append(h.submissions, r)
	return r
}

func (h *history) recordRead(sentMs, atMs int64, version uint64, text string) {
	h.reads = append(h.reads, readRecord{sentMs, atMs, version, protocol.Digest(text)})
}

// check returns a message for each reason that it finds why the history is impossible for one
// register with compare-and-set.
func (h *history) check() []string {
	var messages []string
	for _, r := range h.submissions {
		for _, check := range []func() (message string, isWrong bool){r.hasConflictingResponses, r.isWronglyRejected} {
			if message, isWrong := check(); isWrong {
				messages = append(messages, message)
			}
		}
	}
	if message, isLinearizable := h.linearizable(); !isLinearizable {
		messages = append(messages, message)
	}
	return messages
}

// hasConflictingResponses reports whether a submission was both accepted and rejected.
func (r *submissionRecord) hasConflictingResponses() (message string, isWrong bool) {
	for _, response := range r.responses {
		first := r.responses[0]
		if (response.outcome == outcomeAccepted) != (first.outcome == outcomeAccepted) {
			return fmt.Sprintf("%s: %s at %d ms and %s at %d ms", r, first.outcome, first.atMs, response.outcome, response.atMs), true
		}
	}
	return "", false
}

// isWronglyRejected reports whether a complete configuration was rejected as invalid although it is
// valid.
func (r *submissionRecord) isWronglyRejected() (message string, isWrong bool) {
	wasRejectedAsInvalid := len(r.responses) > 0 && r.responses[0].outcome == outcomeInvalid
	if !wasRejectedAsInvalid || r.isChange || r.hasInvalidText() || r.version <= r.baseVersion {
		return "", false
	}
	return fmt.Sprintf("%s: invalid at %d ms, although its text is valid and its version is above that of its base", r, r.responses[0].atMs), true
}

// hasInvalidText reports whether the text of a complete configuration is not valid, whatever it is
// based on.
func (r *submissionRecord) hasInvalidText() bool {
	_, faults := jsonFormat{}.Parse([]byte(r.text))
	return len(faults) > 0
}

// noTimeLimit lets the search for a linearization run to its end, because its result must not
// depend on the speed of the host.
const noTimeLimit = 0

// linearizable reports whether the operations are linearizable. If not, message names the first
// operations that the longest partial linearization lacks.
func (h *history) linearizable() (message string, isLinearizable bool) {
	operations := h.operations()
	result, info := porcupine.CheckOperationsVerbose(registerModel(operations), operations, noTimeLimit)
	if result == porcupine.Ok {
		return "", true
	}
	var longest []porcupine.Operation
	for _, partial := range info.PartialLinearizationsOperations()[0] {
		if len(partial) > len(longest) {
			longest = partial
		}
	}
	return fmt.Sprintf("the history of %d operations is not linearizable (%s); the longest partial linearization has %d of them and lacks: %s",
		len(operations), result, len(longest), strings.Join(notLinearized(operations, longest), "; ")), false
}

// maxReportedOperations bounds how many operations a message lists.
const maxReportedOperations = 6

// notLinearized describes the first operations that a partial linearization lacks, in order of
// their end.
func notLinearized(all, linearized []porcupine.Operation) []string {
	var missing []string
	slices.SortStableFunc(all, func(a, b porcupine.Operation) int { return int(a.Return>>1 - b.Return>>1) })
	for _, operation := range all {
		in := operation.Input.(registerOperation)
		isLinearized := slices.ContainsFunc(linearized, func(o porcupine.Operation) bool { return o.Input.(registerOperation) == in })
		if !isLinearized && len(missing) < maxReportedOperations {
			missing = append(missing, in.String())
		}
	}
	return missing
}
