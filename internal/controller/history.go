package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"myrtlewinch/internal/consensus"
)

// The configuration is one register with compare-and-set: an order names the
// version that it builds on, and each version has at most one successor. The
// history keeps that successor in a row of its own, under the version that was
// built on, so that an order is looked up without reading any other row.
const (
	// historyRow says which successors are kept.
	historyRow = "history"
	// successorPrefix comes before the version that was built on.
	successorPrefix = "history/"
	// refusedRow lists the refusals that a later order could contradict.
	refusedRow = "refused"
	// legacyRow is the list of accepted orders as earlier releases kept it.
	legacyRow = "taken"
)

const (
	// historyMost is how many accepted orders are kept: those of a day of
	// 11,000 changes and half as many again.
	historyMost = 16_384
	// refusedMost bounds the refusals that are kept.
	refusedMost = 64
)

// successor is the order that was accepted on top of a version.
type successor struct {
	Version uint64 `json:"version"`
	Sum     string `json:"sum"`
}

// history says which successors are kept. Of orders that build on a version
// below OldestBase nothing is known.
type history struct {
	OldestBase uint64 `json:"oldestBase"`
	Count      int    `json:"count"`
}

// refusal is an order that was refused while the version that it builds on lay
// ahead. Should that version come into force, the order stays refused.
type refusal struct {
	Sum  string `json:"sum"`
	Base uint64 `json:"base"`
}

// standing is what the history says of an order.
type standing int

const (
	// standingNext: the order builds on the current version.
	standingNext standing = iota
	// standingAccepted: the order was accepted before.
	standingAccepted
	// standingStale: the order was not accepted and never will be.
	standingStale
	// standingAhead: the version that it builds on has not been in force.
	standingAhead
	// standingUnknown: the order is older than what is kept.
	standingUnknown
)

func successorKey(base uint64) string { return successorPrefix + strconv.FormatUint(base, 10) }

// readHistory reads what is kept; an unreadable row keeps nothing.
func readHistory(h consensus.Host, current uint64) history {
	kept := history{}
	text := h.Row(historyRow)
	if text == "" {
		return history{OldestBase: current}
	}
	if err := json.Unmarshal([]byte(text), &kept); err != nil {
		h.Logf("the history of accepted orders can't be read: %v", err)
		return history{OldestBase: current}
	}
	return kept
}

// readSuccessor gives the order that was accepted on top of a version.
func readSuccessor(h consensus.Host, base uint64) (successor, bool) {
	next := successor{}
	text := h.Row(successorKey(base))
	if text == "" {
		return next, false
	}
	if err := json.Unmarshal([]byte(text), &next); err != nil {
		h.Logf("the order accepted on top of version %d can't be read: %v", base, err)
		return next, false
	}
	return next, true
}

// standingOf looks an order up. The version is the one that it was accepted
// under, where it was.
func standingOf(h consensus.Host, current, base uint64, sum string) (standing, uint64) {
	next, found := readSuccessor(h, base)
	switch {
	case found && next.Sum == sum:
		return standingAccepted, next.Version
	case found:
		return standingStale, 0
	case base == current && isRefused(h, sum):
		return standingStale, 0
	case base == current:
		return standingNext, 0
	case base > current:
		return standingAhead, 0
	case base < readHistory(h, current).OldestBase:
		return standingUnknown, 0
	}
	return standingStale, 0
}

// acceptedRows are the rows that note an accepted order. Where more than most
// would be kept, the oldest is forgotten in the same write.
func acceptedRows(h consensus.Host, base, version uint64, sum string, most int) map[string]string {
	kept := readHistory(h, base)
	rows := map[string]string{successorKey(base): encode(successor{version, sum})}
	kept.Count++
	for kept.Count > most {
		oldest, found := readSuccessor(h, kept.OldestBase)
		if !found {
			// The chain is broken, so nothing before this order can be told.
			kept = history{OldestBase: base, Count: 1}
			break
		}
		rows[successorKey(kept.OldestBase)] = ""
		kept.OldestBase = oldest.Version
		kept.Count--
	}
	rows[historyRow] = encode(kept)
	refused := readRefused(h)
	// A refusal on a version that has been passed needs no row any more.
	left := slices.DeleteFunc(slices.Clone(refused), func(r refusal) bool { return r.Base < version })
	if len(left) < len(refused) {
		rows[refusedRow] = encodeList(left)
	}
	return rows
}

func readRefused(h consensus.Host) []refusal {
	var refused []refusal
	text := h.Row(refusedRow)
	if text == "" {
		return nil
	}
	if err := json.Unmarshal([]byte(text), &refused); err != nil {
		h.Logf("the refused orders can't be read: %v", err)
	}
	return refused
}

func isRefused(h consensus.Host, sum string) bool {
	return slices.ContainsFunc(readRefused(h), func(r refusal) bool { return r.Sum == sum })
}

// refusedRows are the rows that note a refusal; false says that there is no
// room for one.
func refusedRows(h consensus.Host, base uint64, sum string) (map[string]string, bool) {
	refused := readRefused(h)
	if len(refused) >= refusedMost {
		return nil, false
	}
	return map[string]string{refusedRow: encodeList(append(refused, refusal{sum, base}))}, true
}

// legacyOrder is an accepted order as earlier releases kept it.
type legacyOrder struct {
	Sum     string `json:"sum"`
	Version uint64 `json:"version"`
}

// migratedRows turn the list of earlier releases into a history, or are nil
// where there is no such list. It does not tell what its first order was built
// on, so that one is left out.
func migratedRows(h consensus.Host, current uint64) map[string]string {
	text := h.Row(legacyRow)
	if text == "" {
		return nil
	}
	var orders []legacyOrder
	if err := json.Unmarshal([]byte(text), &orders); err != nil {
		h.Logf("the accepted orders of an earlier release can't be read: %v", err)
	}
	kept := history{OldestBase: current}
	rows := map[string]string{legacyRow: ""}
	if len(orders) > 0 {
		kept = history{OldestBase: orders[0].Version, Count: len(orders) - 1}
		for i, order := range orders[1:] {
			rows[successorKey(orders[i].Version)] = encode(successor{order.Version, order.Sum})
		}
	}
	rows[historyRow] = encode(kept)
	return rows
}

func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("steward: a row can't be written: %v", err))
	}
	return string(text)
}

// encodeList writes a list as a row; an empty one needs none.
func encodeList[T any](list []T) string {
	if len(list) == 0 {
		return ""
	}
	return encode(list)
}
