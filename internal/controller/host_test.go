package controller

import (
	"fmt"

	"myrtlewinch/internal/protocol"
)

// pendingHost is a machine whose writes wait until the test says how they end.
type pendingHost struct {
	*stubHost
	active   bool
	primary  protocol.Node
	ordersMs int64
	writes   []pendingWrite
	calls    []protocol.OutboundCall
	// told are the answers to each id, in words.
	told   map[uint64][]string
	counts map[string]int
}

type pendingWrite struct {
	keys []string
	then func(ok bool)
}

func newPendingHost() *pendingHost {
	return &pendingHost{
		stubHost: &stubHost{nowMs: 10_000, rows: map[string]string{}}, active: true, primary: testSelf,
		ordersMs: 10_000, told: map[uint64][]string{}, counts: map[string]int{},
	}
}

func (h *pendingHost) Count(name string)      { h.counts[name]++ }
func (h *pendingHost) Active() bool           { return h.active }
func (h *pendingHost) Primary() protocol.Node { return h.primary }
func (h *pendingHost) OrdersFromMs() int64    { return h.ordersMs }

func (h *pendingHost) Call(address string, body protocol.OutboundRequest) {
	h.calls = append(h.calls, protocol.OutboundCall{Address: address, Body: body})
}

// Submit shows the rows at once, as a primary's own state does.
func (h *pendingHost) Submit(rows map[string]string, then func(ok bool)) {
	var keys []string
	for key, text := range rows {
		h.rows[key] = text
		keys = append(keys, key)
	}
	h.writes = append(h.writes, pendingWrite{keys, then})
}

// end ends the first write that waits.
func (h *pendingHost) end(ok bool) {
	write := h.writes[0]
	h.writes = h.writes[1:]
	write.then(ok)
}

func (h *pendingHost) Answer(id uint64, body any) {
	text := fmt.Sprintf("%T", body)
	switch said := body.(type) {
	case ConfigAccepted:
		text = fmt.Sprintf("taken %d", said.Version)
	case protocol.Rejection:
		text = string(said.Kind)
		if said.Revision > 0 {
			text += fmt.Sprintf(" %d", said.Revision)
		}
		if said.Primary != "" {
			text += " " + said.Primary
		}
	}
	h.told[id] = append(h.told[id], text)
}
