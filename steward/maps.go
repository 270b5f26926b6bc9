package steward

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"myrtlewinch/control"
	"myrtlewinch/defect"
	"myrtlewinch/wire"
)

// Rows of the copied state.
const (
	mapRow   = "map"
	takenRow = "taken"
)

const (
	// takenMost is how many accepted orders are remembered, so that one that
	// is sent again is acknowledged again.
	takenMost = 128
	lineMost  = 64
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
	document *Document
}

// keptMap is how it lies in the copied state.
type keptMap struct {
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed"`
}

// accepted is an operator's order that was taken.
type accepted struct {
	Sum     string `json:"sum"`
	Version uint64 `json:"version"`
}

// maps is the taking of service maps: one at a time, whole or not at all.
type maps struct {
	current inForce
	taken   []accepted
	line    []HandOver
	// writing says that one is on its way to the copies.
	writing bool
	// told is the version and epoch that routers were last told.
	told []uint64
	// sent says which map each router was last sent.
	sent map[wire.Place]sentMap
}

type sentMap struct {
	version uint64
	atMs    int64
}

func newMaps() maps { return maps{sent: map[wire.Place]sentMap{}} }

// send says whether the map in force is to be sent to a router, and notes it.
// Another life of the router is another place.
func (m *maps) send(nowMs int64, to wire.Place) bool {
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

// load reads the map in force from the copied state.
func (m *maps) load(h control.Host, format Format) {
	m.taken = nil
	if text := h.Row(takenRow); text != "" {
		if err := json.Unmarshal([]byte(text), &m.taken); err != nil {
			h.Note("the accepted orders can't be read: %v", err)
		}
	}
	text := h.Row(mapRow)
	if text == "" {
		m.current = inForce{}
		return
	}
	var kept keptMap
	if err := json.Unmarshal([]byte(text), &kept); err != nil {
		h.Note("the map in force can't be read: %v", err)
		return
	}
	if kept.Version == m.current.version && bytes.Equal(kept.Packed, m.current.packed) {
		return
	}
	whole, err := wire.Unpack(kept.Packed)
	if err != nil {
		h.Note("the map in force can't be read: %v", err)
		return
	}
	document, faults := format.Read([]byte(whole))
	if len(faults) > 0 {
		h.Note("the map in force can't be read: %s", strings.Join(faults, "; "))
		return
	}
	m.current = inForce{kept.Version, wire.Sum(whole), whole, kept.Packed, document}
}

// sum names an operator's order, so that it is known when it comes again.
func (in HandOver) sum() string {
	return wire.Sum(strconv.FormatUint(in.BuiltOn, 10) + strconv.FormatBool(in.Part) + in.Text)
}

func (m *maps) handOver(s *Steward, h control.Host, in HandOver) {
	switch {
	case !s.serving || !h.Active():
		s.notPrimary(h, in.Id)
	case len(m.line) >= lineMost:
		h.Answer(in.Id, wire.Dropped{Kind: defect.NotTaken, Detail: "too many orders wait"})
	default:
		m.line = append(m.line, in)
		m.next(s, h)
	}
}

// next takes the first of the line that has no fault. One at a time, so that
// of two on top of one version the second loses.
func (m *maps) next(s *Steward, h control.Host) {
	for !m.writing && len(m.line) > 0 && h.Active() {
		in := m.line[0]
		m.line = m.line[1:]
		m.takeOne(s, h, in)
	}
}

func (m *maps) takeOne(s *Steward, h control.Host, in HandOver) {
	sum := in.sum()
	// What was taken is acknowledged again, whatever is in force by now.
	if i := slices.IndexFunc(m.taken, func(a accepted) bool { return a.Sum == sum }); i >= 0 {
		h.Answer(in.Id, Taken{Version: m.taken[i].Version})
		return
	}
	if in.BuiltOn != m.current.version {
		h.Answer(in.Id, wire.Dropped{Kind: defect.StaleBase, Detail: "another version is in force", Revision: m.current.version})
		return
	}
	text := []byte(in.Text)
	var faults []string
	if in.Part {
		text, faults = s.format.Change([]byte(m.current.text), text)
	}
	var document *Document
	if len(faults) == 0 {
		document, faults = s.format.Read(text)
	}
	if len(faults) == 0 && document.Version <= m.current.version {
		faults = append(faults, fmt.Sprintf("version: is %d; it must be above the one in force (%d)", document.Version, m.current.version))
	}
	if len(faults) > 0 {
		h.Answer(in.Id, wire.Dropped{Kind: defect.FaultyDescription, Detail: "the map has no effect", Faults: faults})
		return
	}
	next := inForce{document.Version, wire.Sum(string(text)), string(text), wire.Pack(string(text)), document}
	taken := append(slices.Clone(m.taken), accepted{sum, next.version})
	taken = taken[max(0, len(taken)-takenMost):]
	kept, _ := json.Marshal(keptMap{next.version, next.packed})
	history, _ := json.Marshal(taken)
	m.writing = true
	h.Submit(map[string]string{mapRow: string(kept), takenRow: string(history)}, func(ok bool) {
		m.writing = false
		if !ok {
			// The copies may have it, so neither yes nor no would be true.
			h.Answer(in.Id, wire.Dropped{Kind: defect.AcceptanceUnknown, Detail: "it may be in force; ask again"})
			return
		}
		m.current, m.taken = next, taken
		h.Note("map version %d is in force", next.version)
		s.keeper.SetMap(next.document)
		// Routers are told first: the sooner they hear, the sooner it holds.
		s.tellRouters(h)
		h.Answer(in.Id, Taken{Version: next.version})
		m.next(s, h)
	})
}

// end gives all that wait their answer at the end of a primacy.
func (m *maps) end(h control.Host, s *Steward) {
	line := m.line
	m.line, m.writing, m.told = nil, false, nil
	clear(m.sent)
	for _, in := range line {
		s.notPrimary(h, in.Id)
	}
}
