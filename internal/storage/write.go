package storage

import (
	"maps"
	"strings"
)

// Write is one atomic change of rows: after a crash all of it is there or none.
// Its JSON form is part of the stored format.
type Write struct {
	// ClearPrefix removes all rows whose keys begin with it before Set applies,
	// as a snapshot from another replica needs. Empty removes none.
	ClearPrefix string `json:"clear,omitempty"`
	// Set holds new values by key; an empty value removes the row.
	Set map[string]string `json:"sets"`
}

// Apply changes a table of rows.
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

// clears reports whether the write removes the row of a key before it sets any.
func (w Write) clears(key string) bool {
	return w.ClearPrefix != "" && strings.HasPrefix(key, w.ClearPrefix)
}

// merge gives one write with the effect of w followed by next. It fails where
// the two clear different prefixes, since a write has only one.
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

// mergePrefixes gives the prefix that covers both, where one does.
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

// mergeAll gives as few writes as have the same effect in the same order. A
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
