package demand

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/protocol"
)

// maxPendingKeys bounds how many keys a follower counts between two reports to
// the primary.
const maxPendingKeys = 2_000

// Key names what a request needs. Adapter is empty for the bare model, Model
// too for a service without models.
type Key struct{ Service, Model, Adapter string }

// Count is what a follower was asked for one key since its last report. It
// travels between daemons by gob, which matches its fields by name.
type Count struct {
	Service, Model, Adapter string
	// Requests is the number of look-ups, Tokens the work they expect, and Waits
	// how many of them wait for a load.
	Requests, Tokens, Waits int64
	// Prompt sums the tokens of prompts. ReadMs is the least time in ms that the
	// prefill of 1,000 of them took, or 0 if unknown.
	Prompt int64
	ReadMs float64
}

// Counts is the demand that a follower reports to the primary.
type Counts []Count

// Collector counts look-ups at a follower until they are reported. Make it with
// NewCollector.
type Collector struct{ counts map[Key]*Count }

// NewCollector makes an empty collector.
func NewCollector() Collector { return Collector{counts: map[Key]*Count{}} }

// Add counts a look-up, of which waits (0 or 1) says whether it waits for a
// load. A new key beyond the bound is not counted.
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

// HasWaiting says whether any counted look-up waits for a load; the primary
// should then hear of it at once.
func (c *Collector) HasWaiting() bool {
	for _, count := range c.counts {
		if count.Waits > 0 {
			return true
		}
	}
	return false
}

// Drain returns all counts in the order of their keys and forgets them.
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
