package disk

import "strings"

// Write is one change of the disk: all of it lasts or none.
type Write struct {
	// Clear names a prefix whose keys are forgotten first, for an image.
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
