package storage

import (
	"maps"
	"strings"
)

// Write is one change of the disk: all of it lasts or none.
type Write struct {
	// Clear names a prefix whose keys are forgotten first, for a snapshot.
	Clear string `json:"clear,omitempty"`
	// Sets holds the new values; an empty value forgets the key.
	Sets map[string]string `json:"sets"`
}

// Apply brings the change into a table of keys.
func (w Write) Apply(keys map[string]string) {
	if w.Clear != "" {
		for key := range keys {
			if strings.HasPrefix(key, w.Clear) {
				delete(keys, key)
			}
		}
	}
	for key, value := range w.Sets {
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
	out := Write{Clear: w.Clear, Sets: make(map[string]string, len(w.Sets)+len(next.Sets))}
	switch {
	case next.Clear == "" || w.Clear != "" && strings.HasPrefix(next.Clear, w.Clear):
	case w.Clear == "":
		out.Clear = next.Clear
	default:
		return Write{}, false
	}
	for key, value := range w.Sets {
		if next.Clear == "" || !strings.HasPrefix(key, next.Clear) {
			out.Sets[key] = value
		}
	}
	maps.Copy(out.Sets, next.Sets)
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
