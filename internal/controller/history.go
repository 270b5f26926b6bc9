package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"myrtlewinch/internal/consensus"
)

// The configuration is one register with compare-and-set: a submission names its
// base version, and each version has at most one successor. The history keeps
// that successor in a row of its own, under the base version, so that one read
// reports whether a submission that comes again was accepted. This is what makes
// submissions idempotent: an operator who got no answer submits again.

// Keys of the replicated rows. They are those that earlier releases wrote.
const (
	// historyRow holds a historyRange.
	historyRow = "history"
	// successorPrefix is followed by a base version. The row holds a successor.
	successorPrefix = "history/"
	// rejectedRow holds the list of rejections that a later submission could
	// contradict.
	rejectedRow = "refused"
	// legacyRow holds the accepted submissions as earlier releases kept them.
	legacyRow = "taken"
)

const (
	// maxHistory is how many accepted submissions are kept: half as many again
	// as come on a day of 11,000 changes.
	maxHistory = 16_384
	// maxRejections bounds the rejections that are kept.
	maxRejections = 64
)

// successor is the submission that was accepted on top of a base version.
type successor struct {
	// Version is the version that it brought into force.
	Version uint64 `json:"version"`
	// Sum identifies the submission; see SubmitConfig.sum.
	Sum string `json:"sum"`
}

// historyRange says which successors are kept. Nothing is known of submissions
// whose base version is below OldestBase.
type historyRange struct {
	OldestBase uint64 `json:"oldestBase"`
	Count      int    `json:"count"`
}

// rejection is a submission that was rejected before its base version was in
// force. It stays rejected when that version comes into force.
type rejection struct {
	Sum  string `json:"sum"`
	Base uint64 `json:"base"`
}

// submissionStatus is what the history says of a submission.
type submissionStatus int

const (
	// submissionIsNext means that its base version is in force.
	submissionIsNext submissionStatus = iota
	// submissionWasAccepted means that it was accepted before.
	submissionWasAccepted
	// submissionIsStale means that it was not accepted and never will be.
	submissionIsStale
	// submissionIsAhead means that its base version has not been in force.
	submissionIsAhead
	// submissionIsTooOld means that the history does not reach back to it.
	submissionIsTooOld
)

func successorKey(base uint64) string { return successorPrefix + strconv.FormatUint(base, 10) }

// lookUpSubmission finds out what became of a submission. The version is the
// one that it brought into force, where it was accepted.
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

// readHistoryRange reads what is kept. Without a readable row that is nothing
// below the current version.
func readHistoryRange(h consensus.Host, current uint64) historyRange {
	row := h.Row(historyRow)
	if row == "" {
		return historyRange{OldestBase: current}
	}
	var kept historyRange
	if err := json.Unmarshal([]byte(row), &kept); err != nil {
		h.Logf("the history of accepted submissions can't be read: %v", err)
		return historyRange{OldestBase: current}
	}
	return kept
}

// readSuccessor returns the submission that was accepted on top of a version.
func readSuccessor(h consensus.Host, base uint64) (successor, bool) {
	row := h.Row(successorKey(base))
	if row == "" {
		return successor{}, false
	}
	var next successor
	if err := json.Unmarshal([]byte(row), &next); err != nil {
		h.Logf("the submission accepted on top of version %d can't be read: %v", base, err)
		return successor{}, false
	}
	return next, true
}

// acceptedRows returns the rows that record an accepted submission, and drops
// the oldest ones of the history where it would exceed its limit.
func acceptedRows(h consensus.Host, base, version uint64, sum string, limit int) map[string]string {
	kept := readHistoryRange(h, base)
	rows := map[string]string{successorKey(base): encodeRow(successor{version, sum})}
	kept.Count++
	for kept.Count > limit {
		oldest, found := readSuccessor(h, kept.OldestBase)
		if !found {
			// The chain is broken, so nothing before this submission is known.
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

// dropOldRejections adds the row without the rejections whose base version has
// been passed: the history answers for those.
func dropOldRejections(h consensus.Host, rows map[string]string, version uint64) {
	rejected := readRejections(h)
	isPassed := func(r rejection) bool { return r.Base < version }
	left := slices.DeleteFunc(slices.Clone(rejected), isPassed)
	if len(left) < len(rejected) {
		rows[rejectedRow] = encodeListRow(left)
	}
}

func readRejections(h consensus.Host) []rejection {
	row := h.Row(rejectedRow)
	if row == "" {
		return nil
	}
	var rejected []rejection
	if err := json.Unmarshal([]byte(row), &rejected); err != nil {
		h.Logf("the rejected submissions can't be read: %v", err)
	}
	return rejected
}

func isRejected(h consensus.Host, sum string) bool {
	return slices.ContainsFunc(readRejections(h), func(r rejection) bool { return r.Sum == sum })
}

// rejectedRows returns the rows that record a rejection, or false where no more
// can be kept.
func rejectedRows(h consensus.Host, base uint64, sum string) (map[string]string, bool) {
	rejected := readRejections(h)
	if len(rejected) >= maxRejections {
		return nil, false
	}
	return map[string]string{rejectedRow: encodeListRow(append(rejected, rejection{sum, base}))}, true
}

// legacyAcceptance is an accepted submission as earlier releases kept it.
type legacyAcceptance struct {
	Sum     string `json:"sum"`
	Version uint64 `json:"version"`
}

// migratedRows returns the rows that turn the list of earlier releases into a
// history, or nil where there is no such list. The list does not say what its
// first submission was built on, so that one is left out.
func migratedRows(h consensus.Host, current uint64) map[string]string {
	row := h.Row(legacyRow)
	if row == "" {
		return nil
	}
	var accepted []legacyAcceptance
	if err := json.Unmarshal([]byte(row), &accepted); err != nil {
		h.Logf("the accepted submissions of an earlier release can't be read: %v", err)
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

// encodeRow writes a value as a row.
func encodeRow(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("controller: a row can't be encoded: %v", err))
	}
	return string(text)
}

// encodeListRow writes a list as a row. An empty list needs no row.
func encodeListRow[T any](list []T) string {
	if len(list) == 0 {
		return ""
	}
	return encodeRow(list)
}
