package controller

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

// rollMs is for how long what was counted of the daemons stands. Hundreds of
// routers ask within it, and each answer would go through all of them.
const rollMs = 100

// roll is what routers are told of the daemons of the site.
type roll struct {
	calledMs    int64
	called      bool
	routers     int
	controllers []protocol.Node
	sum         uint64
}

// call counts anew where the last count is too old.
func (r *roll) call(s *Controller, h consensus.Host) {
	if r.called && h.NowMs()-r.calledMs < rollMs {
		return
	}
	r.called, r.calledMs = true, h.NowMs()
	r.routers = s.countRouters(h)
	// Words that were sent share the list, so a new one is made each time.
	r.controllers = append(h.Controllers(), h.Self())
	r.sum = protocol.DigestNodes(r.controllers)
}

// countRouters is how many routers may spend the budget of second tries.
func (s *Controller) countRouters(h consensus.Host) int {
	for _, place := range h.Routers() {
		s.routers[place.Name] = max(s.routers[place.Name], h.NowMs())
	}
	for name, atMs := range s.routers {
		if h.NowMs()-atMs > routerMs {
			delete(s.routers, name)
		}
	}
	return max(1, len(s.routers))
}

// leaving is what routers are told of the runners that leave.
type leaving struct {
	ids []string
	sum uint64
}

func (l *leaving) take(ids []string) { l.ids, l.sum = ids, protocol.DigestStrings(ids) }
