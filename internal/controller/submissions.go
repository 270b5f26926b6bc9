package controller

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// mapRow is the row of the copied state that holds the map in force.
const mapRow = "map"

const (
	// queueMost bounds the orders that wait for the one before them.
	queueMost = 64
	// onWayMs is for how long a map that was sent to a router counts as on its
	// way. A router asks several times before a large one has come over a thin
	// link, and sending it again would only keep it from coming.
	onWayMs = 700
)

// inForce is a map with its text, also packed as routers and disks get it.
type inForce struct {
	version  uint64
	sum      string
	text     string
	packed   []byte
	document *config.Configuration
}

// keptMap is how it lies in the copied state.
type keptMap struct {
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed"`
}

// Counters of orders that were answered from the history.
const (
	countRepeated = "orders acknowledged again"
	countStale    = "stale orders refused"
	countUnknown  = "orders too old to tell"
)

// maps is the taking of service maps: one at a time, whole or not at all.
type maps struct {
	current inForce
	// row is the text that current was read from.
	row   string
	queue []SubmitConfig
	// historyMost is how many accepted orders are kept.
	historyMost int
	// writing says that one is on its way to the copies.
	writing bool
	// told is the version and epoch that routers were last told.
	told []uint64
	// sent says which map each router was last sent.
	sent map[protocol.Node]sentMap
}

type sentMap struct {
	version uint64
	atMs    int64
}

func newMaps() maps {
	return maps{sent: map[protocol.Node]sentMap{}, historyMost: historyMost}
}

// send says whether the map in force is to be sent to a router, and notes it.
// Another life of the router is another place.
func (m *maps) send(nowMs int64, to protocol.Node) bool {
	if last := m.sent[to]; last.version == m.current.version && nowMs-last.atMs < onWayMs {
		return false
	}
	if len(m.sent) > sentMost {
		clear(m.sent)
	}
	m.sent[to] = sentMap{m.current.version, nowMs}
	return true
}

// sentMost bounds the routers that are remembered, with their earlier lives.
const sentMost = 4096

// load reads the map in force from the copied state, unless it is the one that
// was read last.
func (m *maps) load(h consensus.Host, format ConfigFormat) {
	text := h.Row(mapRow)
	if text == m.row {
		return
	}
	if text == "" {
		m.current, m.row = inForce{}, ""
		return
	}
	var kept keptMap
	if err := json.Unmarshal([]byte(text), &kept); err != nil {
		h.Logf("the map in force can't be read: %v", err)
		return
	}
	whole, err := protocol.Decompress(kept.Packed)
	if err != nil {
		h.Logf("the map in force can't be read: %v", err)
		return
	}
	document, faults := format.Parse([]byte(whole))
	if len(faults) > 0 {
		h.Logf("the map in force can't be read: %s", strings.Join(faults, "; "))
		return
	}
	m.current, m.row = inForce{kept.Version, protocol.Digest(whole), whole, kept.Packed, document}, text
}

// begin takes over what earlier releases kept of accepted orders, and then the
// first order that waits.
func (m *maps) begin(s *Controller, h consensus.Host) {
	rows := migratedRows(h, m.current.version)
	if rows == nil {
		m.next(s, h)
		return
	}
	m.writing = true
	h.Submit(rows, func(ok bool) {
		m.writing = false
		if ok {
			m.next(s, h)
		}
	})
}

// sum names an operator's order, so that it is known when it comes again.
func (in SubmitConfig) sum() string {
	return protocol.Digest(strconv.FormatUint(in.BaseVersion, 10) + strconv.FormatBool(in.Partial) + in.Text)
}

func (m *maps) handOver(s *Controller, h consensus.Host, in SubmitConfig) {
	switch {
	case !s.serving || !h.Active():
		s.notPrimary(h, in.ID)
	case len(m.queue) >= queueMost:
		h.Answer(in.ID, protocol.Rejection{Kind: errkind.NotAccepted, Detail: "too many orders wait"})
	default:
		m.queue = append(m.queue, in)
		m.next(s, h)
	}
}

// next takes the first order that waits and has no fault. One at a time, so that
// of two on top of one version the second loses.
func (m *maps) next(s *Controller, h consensus.Host) {
	for !m.writing && len(m.queue) > 0 && h.Active() {
		in := m.queue[0]
		m.queue = m.queue[1:]
		m.takeOne(s, h, in)
	}
}

// takeOne answers an order by what became of it before, or accepts it.
func (m *maps) takeOne(s *Controller, h consensus.Host, in SubmitConfig) {
	sum := in.sum()
	stands, version := standingOf(h, m.current.version, in.BaseVersion, sum)
	switch stands {
	case standingNext:
		m.accept(s, h, in, sum)
	case standingAccepted:
		h.Count(countRepeated)
		h.Answer(in.ID, ConfigAccepted{Version: version})
	case standingStale:
		m.refuseStale(h, in)
	case standingAhead:
		m.refuseAhead(s, h, in, sum)
	case standingUnknown:
		m.answerUnknown(s, h, in)
	}
}

func (m *maps) refuseStale(h consensus.Host, in SubmitConfig) {
	h.Count(countStale)
	h.Answer(in.ID, protocol.Rejection{Kind: errkind.StaleBase, Detail: "another version is in force", Revision: m.current.version})
}

// refuseAhead refuses an order on top of a version that has not been in force.
// A copy of the order may still be on its way when that version is, so the
// refusal is kept before it is told.
func (m *maps) refuseAhead(s *Controller, h consensus.Host, in SubmitConfig, sum string) {
	if isRefused(h, sum) {
		m.refuseStale(h, in)
		return
	}
	rows, room := refusedRows(h, in.BaseVersion, sum)
	if !room {
		h.Answer(in.ID, protocol.Rejection{Kind: errkind.NotAccepted, Detail: "too many orders build on versions that have not been in force"})
		return
	}
	m.write(s, h, in, rows, func() { m.refuseStale(h, in) })
}

// answerUnknown answers an order that is older than what is kept. It may have
// been accepted, unless it can't be read.
func (m *maps) answerUnknown(s *Controller, h consensus.Host, in SubmitConfig) {
	if !in.Partial {
		if _, faults := s.format.Parse([]byte(in.Text)); len(faults) > 0 {
			refuseFaulty(h, in, faults)
			return
		}
	}
	h.Count(countUnknown)
	h.Answer(in.ID, protocol.Rejection{Kind: errkind.AcceptanceUnknown, Detail: "it is older than the orders that are remembered", Revision: m.current.version})
}

func refuseFaulty(h consensus.Host, in SubmitConfig, faults []string) {
	h.Answer(in.ID, protocol.Rejection{Kind: errkind.FaultyDescription, Detail: "the map has no effect", Faults: faults})
}

// write brings rows to the copies, and goes on with then once they are safe.
// No other order is looked at before.
func (m *maps) write(s *Controller, h consensus.Host, in SubmitConfig, rows map[string]string, then func()) {
	m.writing = true
	h.Submit(rows, func(ok bool) {
		m.writing = false
		if !ok {
			// The copies may have it, so neither yes nor no would be true.
			h.Answer(in.ID, protocol.Rejection{Kind: errkind.AcceptanceUnknown, Detail: "it may be in force; ask again"})
			return
		}
		then()
		m.next(s, h)
	})
}

// accept puts an order that builds on the current version in force, unless it
// has faults.
func (m *maps) accept(s *Controller, h consensus.Host, in SubmitConfig, sum string) {
	next, faults := m.build(s.format, in)
	if len(faults) > 0 {
		refuseFaulty(h, in, faults)
		return
	}
	rows := acceptedRows(h, in.BaseVersion, next.version, sum, m.historyMost)
	row := encode(keptMap{next.version, next.packed})
	rows[mapRow] = row
	m.write(s, h, in, rows, func() {
		m.current, m.row = next, row
		h.Logf("map version %d is in force", next.version)
		s.keeper.SetMap(next.document)
		// Routers are told first: the sooner they hear, the sooner it holds.
		s.tellRouters(h)
		h.Answer(in.ID, ConfigAccepted{Version: next.version})
	})
}

// build makes the map that an order asks for, or gives its faults.
func (m *maps) build(format ConfigFormat, in SubmitConfig) (inForce, []string) {
	text := []byte(in.Text)
	if in.Partial {
		changed, faults := format.ApplyChange([]byte(m.current.text), text)
		if len(faults) > 0 {
			return inForce{}, faults
		}
		text = changed
	}
	document, faults := format.Parse(text)
	if len(faults) > 0 {
		return inForce{}, faults
	}
	if document.Version <= m.current.version {
		return inForce{}, []string{fmt.Sprintf("version: is %d; it must be above the one in force (%d)", document.Version, m.current.version)}
	}
	whole := string(text)
	return inForce{document.Version, protocol.Digest(whole), whole, protocol.Compress(whole), document}, nil
}

// end gives all that wait their answer at the end of a primacy.
func (m *maps) end(h consensus.Host, s *Controller) {
	waiting := m.queue
	m.queue, m.writing, m.told = nil, false, nil
	clear(m.sent)
	for _, in := range waiting {
		s.notPrimary(h, in.ID)
	}
}
