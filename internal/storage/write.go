package storage

import (
	"maps"
	"strings"
)

// Write is one change of the disk: all of it lasts or none.
type Write struct {
	// ClearPrefix names a prefix whose keys are forgotten first, for a snapshot.
	ClearPrefix string `json:"clear,omitempty"`
	// Set holds the new values; an empty value forgets the key.
	Set map[string]string `json:"sets"`
}

// Apply brings the change into a table of keys.
func (w Write) Apply(keys map[string]string) {
	if w.ClearPrefix != "" {
		for key := range keys {
			if strings.HasPrefix(key, w.ClearPrefix) {
				delete(keys, key)
			}
		}
	}
	for key, value := range w.Set {
		if value == "" {
			delete(keys, key)
			continue
		}
		keys[key] = value
	}
}

// merged gives one change that does what w and then next do, where there is
// one: a change can name only one prefix to clear.
func (w Write) merged(next Write) (Write, bool) {
	out := Write{ClearPrefix: w.ClearPrefix, Set: make(map[string]string, len(w.Set)+len(next.Set))}
	switch {
	case next.ClearPrefix == "" || w.ClearPrefix != "" && strings.HasPrefix(next.ClearPrefix, w.ClearPrefix):
	case w.ClearPrefix == "":
		out.ClearPrefix = next.ClearPrefix
	default:
		return Write{}, false
	}
	for key, value := range w.Set {
		if next.ClearPrefix == "" || !strings.HasPrefix(key, next.ClearPrefix) {
			out.Set[key] = value
		}
	}
	maps.Copy(out.Set, next.Set)
	return out, true
}

// merge makes as few changes of these as do the same in the same order. What a
// later one overwrites is written nowhere.
func merge(writes []Write) []Write {
	var out []Write
	for _, next := range writes {
		if last := len(out) - 1; last >= 0 {
			if both, ok := out[last].merged(next); ok {
				out[last] = both
				continue
			}
		}
		out = append(out, next)
	}
	return out
}
