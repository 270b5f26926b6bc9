package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"myrtlewinch/internal/consensus"
)

// The configuration is a register with compare-and-set: a submission names its
// base version, and each version has at most one successor. The history stores
// that successor in its own row, keyed by the base version, so that one read shows
// whether a repeated submission was accepted before. This makes submissions
// idempotent: an operator who got no response submits again.

// Keys of the replicated rows. They are kept for compatibility with earlier releases.
const (
	// historyRow holds a historyRange.
	historyRow = "history"
	// successorPrefix is followed by a base version. The row holds a successor.
	successorPrefix = "history/"
	// rejectedRow holds the rejected submissions that could otherwise be accepted
	// later; see rejectedSubmission.
	rejectedRow = "refused"
	// legacyRow holds the accepted submissions in the form of earlier releases.
	legacyRow = "taken"
)

const (
	// maxHistory is how many accepted submissions are kept: about 1.5 times as many
	// as are submitted on a day of 11,000 changes.
	maxHistory = 16_384
	// maxRejections bounds the rejected submissions that are kept.
	maxRejections = 64
)

// successor is the submission that was accepted on top of a base version.
type successor struct {
	// Version is the version that became active with it.
	Version uint64 `json:"version"`
	// Sum identifies the submission; see SubmitConfig.sum.
	Sum string `json:"sum"`
}

// historyRange tells which successors are kept. The history has no information about
// submissions whose base version is below OldestBase.
type historyRange struct {
	OldestBase uint64 `json:"oldestBase"`
	Count      int    `json:"count"`
}

// rejectedSubmission is a submission that was rejected before its base version was
// active. It stays rejected when that version becomes active.
type rejectedSubmission struct {
	// Sum identifies the submission; see SubmitConfig.sum. Base is its base version.
	Sum  string `json:"sum"`
	Base uint64 `json:"base"`
}

// submissionStatus is the state of a submission according to the history.
type submissionStatus int

const (
	// submissionIsNext means that the submission's base version is active.
	submissionIsNext submissionStatus = iota
	// submissionWasAccepted means that the submission was accepted before.
	submissionWasAccepted
	// submissionIsStale means that the submission was not accepted and never will be.
	submissionIsStale
	// submissionIsAhead means that the submission's base version has not been active
	// yet.
	submissionIsAhead
	// submissionIsTooOld means that the submission's base version is older than the
	// history.
	submissionIsTooOld
)

func successorKey(base uint64) string { return successorPrefix + strconv.FormatUint(base, 10) }

// lookUpSubmission returns the status of a submission, and the version that became
// active with it if it was accepted.
func lookUpSubmission(h consensus.Host, current, base uint64, sum string) (submissionStatus, uint64) {
	next, found := readSuccessor(h, base)
	switch {
	case found && next.Sum == sum:
		return submissionWasAccepted, next.Version
	case found:
		return submissionIsStale, 0
	case base == current && isRejected(h, sum):
		return submissionIsStale, 0
	case base == current:
		return submissionIsNext, 0
	case base > current:
		return submissionIsAhead, 0
	case base < readHistoryRange(h, current).OldestBase:
		return submissionIsTooOld, 0
	}
	return submissionIsStale, 0
}

// readHistoryRange returns which successors are kept. If the row is missing or
// invalid, it returns an empty range that begins at the current version.
func readHistoryRange(h consensus.Host, current uint64) historyRange {
	row := h.Row(historyRow)
	if row == "" {
		return historyRange{OldestBase: current}
	}
	var kept historyRange
	if err := json.Unmarshal([]byte(row), &kept); err != nil {
		h.Logf("decoding the history of accepted submissions failed: %v", err)
		return historyRange{OldestBase: current}
	}
	return kept
}

// readSuccessor returns the submission that was accepted with the given base version.
func readSuccessor(h consensus.Host, base uint64) (successor, bool) {
	row := h.Row(successorKey(base))
	if row == "" {
		return successor{}, false
	}
	var next successor
	if err := json.Unmarshal([]byte(row), &next); err != nil {
		h.Logf("decoding the submission accepted with base version %d failed: %v", base, err)
		return successor{}, false
	}
	return next, true
}

// acceptedRows returns the rows that record an accepted submission. They also remove
// the oldest submissions if the history would exceed its limit.
func acceptedRows(h consensus.Host, base, version uint64, sum string, limit int) map[string]string {
	kept := readHistoryRange(h, base)
	rows := map[string]string{successorKey(base): encodeRow(successor{version, sum})}
	kept.Count++
	for kept.Count > limit {
		oldest, found := readSuccessor(h, kept.OldestBase)
		if !found {
			// A successor is missing, so the history starts again with this submission.
			kept = historyRange{OldestBase: base, Count: 1}
			break
		}
		rows[successorKey(kept.OldestBase)] = ""
		kept.OldestBase = oldest.Version
		kept.Count--
	}
	rows[historyRow] = encodeRow(kept)
	dropOldRejections(h, rows, version)
	return rows
}

// dropOldRejections adds the row without the rejections whose base version is below
// the new version: the history shows that those are stale.
func dropOldRejections(h consensus.Host, rows map[string]string, version uint64) {
	rejected := readRejections(h)
	isObsolete := func(r rejectedSubmission) bool { return r.Base < version }
	remaining := slices.DeleteFunc(slices.Clone(rejected), isObsolete)
	if len(remaining) < len(rejected) {
		rows[rejectedRow] = encodeListRow(remaining)
	}
}

func readRejections(h consensus.Host) []rejectedSubmission {
	row := h.Row(rejectedRow)
	if row == "" {
		return nil
	}
	var rejected []rejectedSubmission
	if err := json.Unmarshal([]byte(row), &rejected); err != nil {
		h.Logf("decoding the rejected submissions failed: %v", err)
	}
	return rejected
}

func isRejected(h consensus.Host, sum string) bool {
	return slices.ContainsFunc(readRejections(h), func(r rejectedSubmission) bool { return r.Sum == sum })
}

// rejectedRows returns the rows that record a rejection, or false if the limit is
// reached.
func rejectedRows(h consensus.Host, base uint64, sum string) (map[string]string, bool) {
	rejected := readRejections(h)
	if len(rejected) >= maxRejections {
		return nil, false
	}
	return map[string]string{rejectedRow: encodeListRow(append(rejected, rejectedSubmission{sum, base}))}, true
}

// legacyAcceptance is an accepted submission in the form of earlier releases.
type legacyAcceptance struct {
	Sum     string `json:"sum"`
	Version uint64 `json:"version"`
}

// migratedRows returns the rows that convert the list of earlier releases into a
// history, or nil if there is no such list. The list does not contain the base
// version of its first submission, so the history leaves out this submission.
func migratedRows(h consensus.Host, current uint64) map[string]string {
	row := h.Row(legacyRow)
	if row == "" {
		return nil
	}
	var accepted []legacyAcceptance
	if err := json.Unmarshal([]byte(row), &accepted); err != nil {
		h.Logf("decoding the accepted submissions of an earlier release failed: %v", err)
	}
	kept := historyRange{OldestBase: current}
	rows := map[string]string{legacyRow: ""}
	if len(accepted) > 0 {
		kept = historyRange{OldestBase: accepted[0].Version, Count: len(accepted) - 1}
		for i, next := range accepted[1:] {
			rows[successorKey(accepted[i].Version)] = encodeRow(successor{next.Version, next.Sum})
		}
	}
	rows[historyRow] = encodeRow(kept)
	return rows
}

// encodeRow encodes a value as the text of a row.
func encodeRow(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("controller: encoding a row failed: %v", err))
	}
	return string(text)
}

// encodeListRow encodes a list as the text of a row. The empty text, for an empty
// list, deletes the row.
func encodeListRow[T any](list []T) string {
	if len(list) == 0 {
		return ""
	}
	return encodeRow(list)
}
