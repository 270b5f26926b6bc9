package controller

import "myrtlewinch/internal/consensus"

// ordererRow is the replicated row with the name of the controller that last had
// the right to send orders to runners.
//
// Two controllers must not send orders to the same runner within the lease time, so
// a new primary waits until its predecessor can no longer send any. It need not
// wait if the row has the new primary's name (no other controller has sent orders
// since) or if there is no row (no controller has ever sent one).
const ordererRow = "orderer"

// orderRight is the state of a primary's claim to the right to order runners.
type orderRight int

const (
	orderRightNone orderRight = iota
	// orderRightRequested means that the row is being replicated.
	orderRightRequested
	orderRightHeld
)

// beginOrderRight grants a new primary the right to order at once if ordererRow has
// the primary's name. Otherwise it forbids orders until claimOrderRight has claimed
// the right.
func (c *Controller) beginOrderRight(h consensus.Host) {
	c.orderRight = orderRightNone
	if h.Row(ordererRow) == h.Self().Name {
		c.orderRight = orderRightHeld
		c.placement.BecomePrimary(h.NowMs(), h.Epoch(), h.NowMs())
		return
	}
	c.placement.BecomePrimary(h.NowMs(), h.Epoch(), h.OrdersFromMs())
	c.placement.ForbidOrders(h.OrdersFromMs())
}

// claimOrderRight claims the right to order as soon as the previous primary can no
// longer send orders. Orders are allowed once the claim is committed.
func (c *Controller) claimOrderRight(h consensus.Host) {
	hasPredecessor := h.Row(ordererRow) != ""
	mustWait := hasPredecessor && h.NowMs() < h.OrdersFromMs()
	if c.orderRight != orderRightNone || mustWait {
		return
	}
	c.orderRight = orderRightRequested
	h.Submit(map[string]string{ordererRow: h.Self().Name}, func(committed bool) {
		if committed {
			c.orderRight = orderRightHeld
			c.placement.AllowOrders(h.NowMs())
		}
	})
}
