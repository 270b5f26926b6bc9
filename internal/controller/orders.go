package controller

import "myrtlewinch/internal/consensus"

// ordererRow is the replicated row with the name of the controller that last
// had the right to order runners.
//
// Two controllers must not give orders to one runner within the lease time, so
// a new primary waits until the one before can't order any more. It need not
// wait where the row has its own name (nobody else has ordered since) or where
// there is no row (nobody ever has).
const ordererRow = "orderer"

// orderRight is the progress of a primary towards the right to order runners.
type orderRight int

const (
	orderRightNone orderRight = iota
	// orderRightRequested means that the row is being replicated.
	orderRightRequested
	orderRightHeld
)

// beginOrderRight sets what a new primary may order at once.
func (c *Controller) beginOrderRight(h consensus.Host) {
	c.orders = orderRightNone
	if h.Row(ordererRow) == h.Self().Name {
		c.orders = orderRightHeld
		c.placement.BecomePrimary(h.NowMs(), h.Epoch(), h.NowMs())
		return
	}
	c.placement.BecomePrimary(h.NowMs(), h.Epoch(), h.OrdersFromMs())
	c.placement.ForbidOrders(h.OrdersFromMs())
}

// claimOrderRight claims the right to order as soon as the primary before can't
// order any more. Orders are allowed once the claim is committed.
func (c *Controller) claimOrderRight(h consensus.Host) {
	hasPredecessor := h.Row(ordererRow) != ""
	mustWait := hasPredecessor && h.NowMs() < h.OrdersFromMs()
	if c.orders != orderRightNone || mustWait {
		return
	}
	c.orders = orderRightRequested
	h.Submit(map[string]string{ordererRow: h.Self().Name}, func(committed bool) {
		if committed {
			c.orders = orderRightHeld
			c.placement.AllowOrders(h.NowMs())
		}
	})
}
