package demand

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/protocol"
)

// maxPendingKeys limits the number of keys that a follower counts between two reports to the
// primary.
const maxPendingKeys = 2_000

// Key identifies what a request needs. Adapter is empty for the base model. Both Model and
// Adapter are empty for a service without models.
type Key struct{ Service, Model, Adapter string }

// Count is the demand for one key that a follower counted since its last report. It is sent
// between daemons as gob, which matches fields by name.
type Count struct {
	Service, Model, Adapter string
	// Requests is the number of look-ups, Tokens the sum of their expected tokens, and Waits
	// the number of them that wait for a load.
	Requests, Tokens, Waits int64
	// Prompt is the sum of the prompts' tokens. ReadMs is the shortest time in ms that the
	// prefill of 1,000 tokens took, or 0 if unknown.
	Prompt int64
	ReadMs float64
}

// Counts is the demand that a follower reports to the primary.
type Counts []Count

// Collector counts look-ups on a follower until they are reported. Create it with NewCollector.
type Collector struct{ counts map[Key]*Count }

// NewCollector returns an empty collector.
func NewCollector() Collector { return Collector{counts: map[Key]*Count{}} }

// Add counts a look-up. waits is 1 if its request waits for a load, otherwise 0. Look-ups of
// new keys beyond maxPendingKeys are not counted.
func (c *Collector) Add(key Key, lookUp protocol.IndexLookUp, waits int64) {
	count := c.counts[key]
	if count == nil {
		if len(c.counts) >= maxPendingKeys {
			return
		}
		count = &Count{Service: key.Service, Model: key.Model, Adapter: key.Adapter}
		c.counts[key] = count
	}
	count.Requests++
	count.Tokens += lookUp.Tokens
	count.Prompt += lookUp.Prompt
	if lookUp.ReadMs > 0 && (count.ReadMs == 0 || lookUp.ReadMs < count.ReadMs) {
		count.ReadMs = lookUp.ReadMs
	}
	count.Waits += waits
}

// HasWaiting reports whether any counted look-up waits for a load. The primary should then be
// notified at once.
func (c *Collector) HasWaiting() bool {
	for _, count := range c.counts {
		if count.Waits > 0 {
			return true
		}
	}
	return false
}

// Drain returns all counts in the order of their keys and removes them.
func (c *Collector) Drain() Counts {
	if len(c.counts) == 0 {
		return nil
	}
	out := make(Counts, 0, len(c.counts))
	for _, count := range c.counts {
		out = append(out, *count)
	}
	clear(c.counts)
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}
