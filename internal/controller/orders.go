package controller

import "myrtlewinch/internal/consensus"

// ordererRow names who was the last to order runners. Holders may not take
// turns within the lease, so a new one waits it out; one that finds its own
// name knows that nobody has ordered since, and one that finds none, that
// nobody ever has.
const ordererRow = "orderer"

// orders is the state of the right to order.
type orders int

const (
	ordersNone orders = iota
	// ordersAsked: the row is on its way to the copies.
	ordersAsked
	ordersTaken
)

// beginOrders is what a new primary may do about orders at once.
func (s *Controller) beginOrders(h consensus.Host) {
	s.orders = ordersNone
	if h.Row(ordererRow) == h.Self().Name {
		s.orders = ordersTaken
		s.keeper.BecomePrimary(h.NowMs(), h.Epoch(), h.NowMs())
		return
	}
	s.keeper.BecomePrimary(h.NowMs(), h.Epoch(), h.OrdersFromMs())
	s.keeper.ForbidOrders(h.OrdersFromMs())
}

// takeOrders takes the right to order once the one before can't have ordered
// for long enough; no order leaves before the row is safe.
func (s *Controller) takeOrders(h consensus.Host) {
	if s.orders != ordersNone || h.Row(ordererRow) != "" && h.NowMs() < h.OrdersFromMs() {
		return
	}
	s.orders = ordersAsked
	h.Submit(map[string]string{ordererRow: h.Self().Name}, func(ok bool) {
		if ok {
			s.orders = ordersTaken
			s.keeper.AllowOrders(h.NowMs())
		}
	})
}
