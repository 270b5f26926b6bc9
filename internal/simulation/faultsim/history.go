package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"myrtlewinch/internal/protocol"
)

// outcome is a clear answer to a submission.
type outcome int

const (
	outcomeAccepted outcome = iota
	// outcomeStale: another version than the base is current.
	outcomeStale
	outcomeInvalid
)

var outcomeNames = []string{"accepted", "stale", "invalid"}

func (o outcome) String() string { return outcomeNames[o] }

// submissionKey identifies a submission as the system must: one that is sent
// again is the same submission, whoever sends it.
type submissionKey struct {
	baseVersion uint64
	isChange    bool
	text        string
}

// submissionRecord is a submission with the answers to all calls that sent it.
type submissionRecord struct {
	submissionKey
	number  int
	version uint64
	sentMs  int64
	answers []answerRecord
}

// answerRecord is the clear answer to one call. current is the version that a
// stale submission's answer names as the current one.
type answerRecord struct {
	sentMs, atMs int64
	outcome      outcome
	current      uint64
}

func (r *submissionRecord) String() string {
	return fmt.Sprintf("submission %d (version %d based on %d, first sent at %d ms)", r.number, r.version, r.baseVersion, r.sentMs)
}

// readRecord is a configuration that was read back; sum identifies its text.
type readRecord struct {
	sentMs, atMs int64
	version      uint64
	sum          string
}

// history records what operators sent and got as answers.
type history struct {
	byKey       map[submissionKey]*submissionRecord
	submissions []*submissionRecord
	reads       []readRecord
}

func newHistory() history { return history{byKey: map[submissionKey]*submissionRecord{}} }

// recordSubmission records a call with a submission.
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

// check lists what does not fit one register with compare-and-set.
func (h *history) check() []string {
	var messages []string
	for _, r := range h.submissions {
		for _, check := range []func() (message string, isWrong bool){r.hasConflictingAnswers, r.isWronglyInvalid} {
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

// hasConflictingAnswers says whether a submission was both accepted and refused.
func (r *submissionRecord) hasConflictingAnswers() (message string, isWrong bool) {
	for _, a := range r.answers {
		first := r.answers[0]
		if (a.outcome == outcomeAccepted) != (first.outcome == outcomeAccepted) {
			return fmt.Sprintf("%s: %s at %d ms and %s at %d ms", r, first.outcome, first.atMs, a.outcome, a.atMs), true
		}
	}
	return "", false
}

// isWronglyInvalid says whether a complete configuration was called invalid that
// is not.
func (r *submissionRecord) isWronglyInvalid() (message string, isWrong bool) {
	wasCalledInvalid := len(r.answers) > 0 && r.answers[0].outcome == outcomeInvalid
	if !wasCalledInvalid || r.isChange || r.isUnreadable() || r.version <= r.baseVersion {
		return "", false
	}
	return fmt.Sprintf("%s: invalid at %d ms, although it can be read and its version is above its base", r, r.answers[0].atMs), true
}

// isUnreadable says whether the text of a complete configuration has faults,
// whatever it is based on.
func (r *submissionRecord) isUnreadable() bool {
	_, faults := format{}.Parse([]byte(r.text))
	return len(faults) > 0
}

// noTimeLimit lets the search run to its end: its verdict must not depend on
// how fast the machine is.
const noTimeLimit = 0

// linearizable says whether the operations can be put into an order that one
// register would show; otherwise message says which can't.
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
	return fmt.Sprintf("the history of %d operations fits no register (%s); %d can be put in order, and not then: %s",
		len(operations), result, len(longest), strings.Join(unordered(operations, longest), "; ")), false
}

// maxUnordered bounds the operations that a report lists.
const maxUnordered = 6

// unordered lists the first operations that a partial order lacks.
func unordered(all, ordered []porcupine.Operation) []string {
	var missing []string
	slices.SortStableFunc(all, func(a, b porcupine.Operation) int { return int(a.Return>>1 - b.Return>>1) })
	for _, operation := range all {
		in := operation.Input.(registerOperation)
		isOrdered := slices.ContainsFunc(ordered, func(o porcupine.Operation) bool { return o.Input.(registerOperation) == in })
		if !isOrdered && len(missing) < maxUnordered {
			missing = append(missing, in.String())
		}
	}
	return missing
}
