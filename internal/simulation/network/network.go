// Package network models the network of a simulated site in virtual time.
// Endpoints are named by strings. Each directed link between two endpoints can
// be blocked, and all links can lose, duplicate or delay transmissions.
package network

import (
	"math/rand"

	"myrtlewinch/internal/simulation/eventqueue"
)

// Link is one direction of the connection between two endpoints.
type Link struct{ From, To string }

// Latency draws how many milliseconds a transmission without faults takes.
type Latency func(random *rand.Rand) int64

// Network carries transmissions between endpoints. The rates are
// probabilities between 0 and 1; the caller may set them at any time, and Heal
// resets them. A Network is not safe for concurrent use.
type Network struct {
	// LossRate is the share of messages that are lost.
	LossRate float64
	// DuplicateRate is the share of messages that arrive twice.
	DuplicateRate float64
	// DelayRate is the share of transmissions that are delayed beyond the
	// usual latency, by up to MaxDelayMs.
	DelayRate float64
	// MaxDelayMs bounds the additional delay; it must be above 0 while
	// DelayRate is.
	MaxDelayMs int64

	queue   *eventqueue.Queue
	random  *rand.Rand
	latency Latency
	blocked map[Link]bool
}

// New returns a network without faults that uses the caller's queue and source
// of random numbers.
func New(queue *eventqueue.Queue, random *rand.Rand, latency Latency) *Network {
	return &Network{queue: queue, random: random, latency: latency, blocked: map[Link]bool{}}
}

// Partition blocks all links from one group of endpoints to another. Unless
// oneWay is set, it also blocks the links in the other direction. It returns
// the pairs of different endpoints that it partitioned, in order.
func (n *Network) Partition(from, to []string, oneWay bool) []Link {
	var pairs []Link
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			n.blocked[Link{a, b}] = true
			if !oneWay {
				n.blocked[Link{b, a}] = true
			}
			pairs = append(pairs, Link{a, b})
		}
	}
	return pairs
}

// Heal unblocks all links and ends loss, duplication and delay. It returns the
// links that were blocked, in no particular order.
func (n *Network) Heal() []Link {
	healed := make([]Link, 0, len(n.blocked))
	for link := range n.blocked {
		healed = append(healed, link)
	}
	n.blocked = map[Link]bool{}
	n.LossRate, n.DuplicateRate, n.DelayRate, n.MaxDelayMs = 0, 0, 0, 0
	return healed
}

// IsOpen reports whether the link from one endpoint to another is not blocked.
func (n *Network) IsOpen(from, to string) bool { return !n.blocked[Link{from, to}] }

// HasPartition reports whether any link is blocked.
func (n *Network) HasPartition() bool { return len(n.blocked) > 0 }

// IsUnreliable reports whether messages may be lost, duplicated or delayed.
func (n *Network) IsUnreliable() bool {
	return n.LossRate > 0 || n.DuplicateRate > 0 || n.DelayRate > 0
}

// DrawLoss draws whether a message is lost.
func (n *Network) DrawLoss() bool { return n.draw(n.LossRate) }

// DrawDuplicate draws whether a message arrives twice.
func (n *Network) DrawDuplicate() bool { return n.draw(n.DuplicateRate) }

// draw draws no number if the rate is 0, so that a network without faults
// leaves the sequence of random numbers as it is.
func (n *Network) draw(rate float64) bool {
	return rate > 0 && n.random.Float64() < rate
}

// Transmit schedules a call of arrive at the other end of a link. If the link
// is blocked at the time of arrival, it does not call arrive, and it calls lost
// unless lost is nil. An additional delay is less than maxDelayMs.
func (n *Network) Transmit(from, to string, maxDelayMs int64, arrive, lost func()) {
	tookMs := n.latency(n.random)
	if n.draw(n.DelayRate) {
		tookMs += n.random.Int63n(maxDelayMs)
	}
	n.queue.After(tookMs, func() {
		switch {
		case n.IsOpen(from, to):
			arrive()
		case lost != nil:
			lost()
		}
	})
}
