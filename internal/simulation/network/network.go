// Package network models the network of a simulated site in virtual time.
// Endpoints are named by strings. Each directed link between two endpoints can
// be cut, and the network as a whole can lose, duplicate or delay what it
// carries.
package network

import (
	"math/rand"

	"myrtlewinch/internal/simulation/eventqueue"
)

// Link is one direction of the connection between two endpoints.
type Link struct{ From, To string }

// Latency draws how many milliseconds an undisturbed transmission takes.
type Latency func(random *rand.Rand) int64

// Network carries transmissions between endpoints. The rates are
// probabilities between 0 and 1; the caller sets them at any time, and Heal
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
	cuts    map[Link]bool
}

// New makes a network without faults, on the caller's queue and source of
// random numbers.
func New(queue *eventqueue.Queue, random *rand.Rand, latency Latency) *Network {
	return &Network{queue: queue, random: random, latency: latency, cuts: map[Link]bool{}}
}

// Cut cuts all links from one group of endpoints to another, and with oneWay
// false also those back. It returns the pairs of different endpoints that it
// cut, in order.
func (n *Network) Cut(from, to []string, oneWay bool) []Link {
	var pairs []Link
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			n.cuts[Link{a, b}] = true
			if !oneWay {
				n.cuts[Link{b, a}] = true
			}
			pairs = append(pairs, Link{a, b})
		}
	}
	return pairs
}

// Heal restores all links and ends loss, duplication and delay. It returns the
// links that were cut, in no particular order.
func (n *Network) Heal() []Link {
	healed := make([]Link, 0, len(n.cuts))
	for link := range n.cuts {
		healed = append(healed, link)
	}
	n.cuts = map[Link]bool{}
	n.LossRate, n.DuplicateRate, n.DelayRate, n.MaxDelayMs = 0, 0, 0, 0
	return healed
}

// IsOpen says whether the link from one endpoint to another is not cut.
func (n *Network) IsOpen(from, to string) bool { return !n.cuts[Link{from, to}] }

// HasCuts says whether any link is cut.
func (n *Network) HasCuts() bool { return len(n.cuts) > 0 }

// IsUnreliable says whether messages may be lost, duplicated or delayed.
func (n *Network) IsUnreliable() bool {
	return n.LossRate > 0 || n.DuplicateRate > 0 || n.DelayRate > 0
}

// DrawLoss draws whether a message is lost.
func (n *Network) DrawLoss() bool { return n.draw(n.LossRate) }

// DrawDuplicate draws whether a message arrives twice.
func (n *Network) DrawDuplicate() bool { return n.draw(n.DuplicateRate) }

// draw draws no number where the rate is 0, so that a network without faults
// leaves the sequence of random numbers as it is.
func (n *Network) draw(rate float64) bool {
	return rate > 0 && n.random.Float64() < rate
}

// Transmit schedules an arrival at the other end of a link. A link that is cut
// at the time of arrival calls lost instead, unless that is nil. An additional
// delay is at most maxDelayMs.
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
