package storage

import (
	"maps"
	"strings"
)

// Write is one atomic change of rows: after a crash it has been applied in full or not at
// all. Its JSON form is part of the stored format.
type Write struct {
	// ClearPrefix removes all rows whose keys begin with it before Set is applied, as
	// needed to install a snapshot from another replica. Empty removes none.
	ClearPrefix string `json:"clear,omitempty"`
	// Set has the new values by key; an empty value removes the row.
	Set map[string]string `json:"sets"`
}

// Apply applies the write to a table of rows.
func (w Write) Apply(rows map[string]string) {
	if w.ClearPrefix != "" {
		maps.DeleteFunc(rows, func(key, _ string) bool { return strings.HasPrefix(key, w.ClearPrefix) })
	}
	for key, value := range w.Set {
		if value == "" {
			delete(rows, key)
			continue
		}
		rows[key] = value
	}
}

// clears reports whether ClearPrefix removes the row of a key.
func (w Write) clears(key string) bool {
	return w.ClearPrefix != "" && strings.HasPrefix(key, w.ClearPrefix)
}

// merge returns one write with the effect of w followed by next. It returns false if the
// prefixes that the two clear cannot be merged, because a write has only one.
func (w Write) merge(next Write) (merged Write, ok bool) {
	merged.ClearPrefix, ok = mergePrefixes(w.ClearPrefix, next.ClearPrefix)
	if !ok {
		return Write{}, false
	}
	merged.Set = make(map[string]string, len(w.Set)+len(next.Set))
	for key, value := range w.Set {
		if !next.clears(key) {
			merged.Set[key] = value
		}
	}
	maps.Copy(merged.Set, next.Set)
	return merged, true
}

// mergePrefixes returns a prefix that covers both prefixes of two successive writes. It
// returns false unless one of them is empty or next begins with first.
func mergePrefixes(first, next string) (prefix string, ok bool) {
	switch {
	case next == "":
		return first, true
	case first == "":
		return next, true
	case strings.HasPrefix(next, first):
		return first, true
	}
	return "", false
}

// mergeAll merges successive writes as far as possible, without changing their effect. A
// value that a later write replaces is not written at all.
func mergeAll(writes []Write) []Write {
	var out []Write
	for _, next := range writes {
		last := len(out) - 1
		if last >= 0 {
			if merged, ok := out[last].merge(next); ok {
				out[last] = merged
				continue
			}
		}
		out = append(out, next)
	}
	return out
}
