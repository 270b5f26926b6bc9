package endurance

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// opaqueFormat takes any text for a configuration whose first line is its
// version: only bytes count here, and how often it is read.
type opaqueFormat struct{ reads *int }

func (f opaqueFormat) Parse(text []byte) (*config.Configuration, []string) {
	*f.reads++
	document := &config.Configuration{}
	if _, err := fmt.Sscanf(string(text[:min(len(text), 24)]), "%d\n", &document.Version); err != nil {
		return nil, []string{err.Error()}
	}
	document.BuildIndex()
	return document, nil
}

func (opaqueFormat) ApplyChange(_, change []byte) ([]byte, []string) { return change, nil }

// site is a few controllers in virtual time.
type site struct {
	nowMs   int64
	losses  int
	mbit    int64
	syncMs  int64
	members []*member
	events  events
	order   uint64
	counts  map[string]int
	body    string
	seeds   []string
	wipes   int
	// version is the newest that was acknowledged.
	version uint64
	asked   uint64
	ids     uint64
	gapMs   int64
	quiet   bool
	notes   []string
	// reads holds, for each configuration that was asked for, the version that
	// had been acknowledged by then; older are the answers that were older.
	reads map[uint64]uint64
	read  int
	older []string
	broke breaks
}

// breaks are deliberate faults, for showing that a check fires.
type breaks struct {
	// eagerAnswers counts a change as acknowledged as soon as it is sent.
	eagerAnswers bool
	// lostFollowed loses what a returned member says of how far it is.
	lostFollowed bool
	// hangingDisk lets the disk of a returned member sync nothing.
	hangingDisk bool
}

type member struct {
	name, address string
	incarnation   string
	machine       *consensus.Machine
	keys          map[string]string
	down          bool
	life          int
	links         map[string]*connection
	saves         []protocol.DiskWrite
	syncing       bool
	syncMs        int64
	syncs, saved  int
	// reads counts the configurations that it read since its start.
	reads int
}

type event struct {
	atMs  int64
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].atMs < e[j].atMs || e[i].atMs == e[j].atMs && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (s *site) after(ms int64, do func()) {
	s.order++
	heap.Push(&s.events, event{s.nowMs + ms, s.order, do})
}

func (s *site) run(ms int64) {
	endMs := s.nowMs + ms
	for len(s.events) > 0 && s.events[0].atMs <= endMs {
		next := heap.Pop(&s.events).(event)
		s.nowMs = next.atMs
		next.do()
	}
	s.nowMs = endMs
}

// until lets time pass until it is so, and gives how long that took, or -1.
func (s *site) until(ms int64, ok func() bool) int64 {
	began := s.nowMs
	for s.nowMs-began < ms {
		if ok() {
			return s.nowMs - began
		}
		s.run(10)
	}
	return -1
}

// packedBytes is what a configuration of 1,400 routes packs to.
const packedBytes = 40_637

const controllerTickMs = 50

func newSite(losses int, mbit, syncMs int64) *site {
	s := &site{nowMs: 3_600_000, losses: losses, mbit: mbit, syncMs: syncMs, counts: map[string]int{}, reads: map[uint64]uint64{}, gapMs: 300}
	random := rand.New(rand.NewSource(1))
	body := make([]byte, packedBytes)
	random.Read(body)
	s.body = string(body)
	for i := range 2*losses + 1 {
		m := &member{name: fmt.Sprintf("core-%d", i+1), address: fmt.Sprintf("10.0.0.%d:7", i+1), syncMs: syncMs}
		m.incarnation = m.name + "-disk"
		s.members = append(s.members, m)
		if i < 3 {
			s.seeds = append(s.seeds, m.address)
		}
	}
	for _, m := range s.members {
		s.start(m, map[string]string{}, true)
	}
	return s
}

func (s *site) place(m *member) protocol.Node {
	return protocol.Node{Name: m.name, Address: m.address, Zone: m.name, Part: protocol.RoleController, Incarnation: m.incarnation}
}

func (s *site) start(m *member, keys map[string]string, first bool) {
	m.life++
	m.down, m.syncing, m.saves, m.keys = false, false, nil, keys
	m.links, m.syncs, m.saved, m.reads = map[string]*connection{}, 0, 0, 0
	self := s.place(m)
	limits := bounds.Bounds{CatchUpMs: 4000, LeaseMs: 3000}
	tenant := controller.New(controller.Settings{Self: self, Bounds: limits, ListAddress: "list", ListPerSec: 1, ControlPort: "80"}, opaqueFormat{&m.reads})
	machine, err := consensus.New(consensus.Settings{
		Site: "s", Self: self, Seeds: s.seeds, Application: tenant, MaxLosses: s.losses, FirstStart: first, GapMs: limits.LeaseMs, WitnessTimeoutMs: 1000, ReplicaGraceMs: 400,
	}, maps.Clone(keys), s.nowMs)
	if err != nil {
		panic(err)
	}
	m.machine = machine
	life := m.life
	s.after(int64(len(s.events)%controllerTickMs), func() { s.tick(m, life) })
}

func (s *site) tick(m *member, life int) {
	if m.down || m.life != life {
		return
	}
	s.step(m, protocol.Tick{})
	s.after(controllerTickMs, func() { s.tick(m, life) })
}

func (s *site) kill(m *member) { m.down = true; m.life++ }

// back brings a member back, with its disk or an empty one.
func (s *site) back(m *member, wiped bool) {
	keys := m.keys
	if wiped {
		s.wipes++
		keys, m.incarnation = map[string]string{}, fmt.Sprintf("%s-disk-%d", m.name, s.wipes)
	}
	s.start(m, keys, false)
}

func (s *site) step(m *member, input any) {
	if m.down {
		return
	}
	life := m.life
	out := m.machine.Step(s.nowMs, input)
	for _, note := range out.LogLines {
		s.notes = append(s.notes, fmt.Sprintf("%d %s: %s", s.nowMs-3_600_000, m.name, note))
	}
	for _, name := range out.Counts {
		s.counts[m.name+" "+name]++
	}
	m.saves = append(m.saves, out.DiskWrites...)
	if !m.syncing {
		s.sync(m)
	}
	for _, send := range out.Sends {
		if _, is := send.Body.(protocol.AppendReply); is && s.broke.lostFollowed && m.life > 1 {
			continue
		}
		for _, to := range s.members {
			if to.address == send.Address {
				s.put(m, to, protocol.Envelope{Site: "s", From: s.place(m), To: send.To, Body: send.Body})
			}
		}
	}
	for _, call := range out.Calls {
		if _, is := call.Body.(protocol.ListRunners); is {
			s.after(10, func() {
				if m.life == life {
					s.step(m, protocol.RunnerList{})
				}
			})
		}
	}
	for _, answer := range out.Responses {
		s.answered(m, answer)
	}
}

// sync brings what waits to the platter together, as package daemon does.
func (s *site) sync(m *member) {
	batch := m.saves
	if m.syncing = len(batch) > 0; !m.syncing {
		return
	}
	m.saves = nil
	life := m.life
	m.syncs, m.saved = m.syncs+1, m.saved+len(batch)
	s.after(m.syncMs, func() {
		if m.life != life || s.broke.hangingDisk && life > 1 {
			return
		}
		keys := maps.Clone(m.keys)
		for _, save := range batch {
			save.Write.Apply(keys)
		}
		m.keys = keys
		for _, save := range batch {
			s.step(m, protocol.DiskWriteDone{Number: save.Number, Ok: true})
		}
		s.sync(m)
	})
}

func (s *site) text(version uint64) string { return fmt.Sprintf("%d\n%s", version, s.body) }

// change hands the next version over at the primary.
func (s *site) change() {
	primary := s.primary()
	if primary == nil || s.asked > s.version {
		// The same again, since it got no clear answer.
		if primary != nil && s.asked > s.version {
			s.hand(primary, s.asked)
		}
		return
	}
	s.asked = s.version + 1
	s.hand(primary, s.asked)
}

func (s *site) hand(primary *member, version uint64) {
	s.ids++
	if s.broke.eagerAnswers {
		s.version = version
	}
	s.step(primary, controller.SubmitConfig{ID: s.ids, BaseVersion: version - 1, Text: s.text(version)})
}

func (s *site) answered(m *member, answer protocol.Response) {
	switch said := answer.Body.(type) {
	case controller.ConfigText:
		s.read++
		if said.Version < s.reads[answer.ID] {
			s.older = append(s.older, fmt.Sprintf("%s served version %d after %d was acknowledged", m.name, said.Version, s.reads[answer.ID]))
		}
	case controller.ConfigAccepted:
		s.version = max(s.version, said.Version)
	case protocol.Rejection:
		s.counts["refused "+string(said.Kind)]++
	}
}

// changes lets so many be acknowledged, as fast as they are.
func (s *site) changes(count int) bool {
	for range count {
		want := s.version + 1
		s.change()
		if s.until(20_000, func() bool {
			if s.version < want && s.nowMs%500 == 0 {
				s.change()
			}
			return s.version >= want
		}) < 0 {
			return false
		}
	}
	return true
}

// keepChanging makes a change each gap from now on.
func (s *site) keepChanging() {
	if !s.quiet {
		s.change()
		s.after(s.gapMs, s.keepChanging)
	}
}

const readMs = 100

// keepReading asks every member for the configuration in force from now on.
func (s *site) keepReading() {
	for _, m := range s.members {
		s.ids++
		s.reads[s.ids] = s.version
		s.step(m, controller.ReadConfig{ID: s.ids})
	}
	s.after(readMs, s.keepReading)
}

func (s *site) record(m *member) (record protocol.EpochRecord) {
	var kept struct {
		Record protocol.EpochRecord `json:"record"`
	}
	if json.Unmarshal([]byte(m.keys["record"]), &kept) == nil {
		record = kept.Record
	}
	return record
}

// primary is the member that holds the newest record and is named in it.
func (s *site) primary() *member {
	var best *member
	newest := uint64(0)
	for _, m := range s.members {
		if record := s.record(m); !m.down && record.Epoch > newest {
			newest = record.Epoch
			best = nil
			for _, named := range s.members {
				if named.name == record.Primary && !named.down {
					best = named
				}
			}
		}
	}
	return best
}

// whole says whether the record names as many live disks as must be.
func (s *site) whole() bool {
	primary := s.primary()
	if primary == nil {
		return false
	}
	record := s.record(primary)
	if len(record.Replicas) != s.losses+1 || len(record.Witnesses) != 2*s.losses+1 {
		return false
	}
	for _, seat := range append(slices.Clone(record.Replicas), record.Witnesses...) {
		if !slices.ContainsFunc(s.members, func(m *member) bool {
			return !m.down && m.name == seat.Name && m.incarnation == seat.Incarnation
		}) {
			return false
		}
	}
	return true
}

// holdsVersion reads the version that a disk holds.
func holdsVersion(m *member) uint64 {
	var kept struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal([]byte(m.keys[ledger.Prefix+"kept/map"]), &kept)
	return kept.Version
}

// traffic sums what went between two members.
func (s *site) traffic(from, to *member) string {
	link := from.links[to.name]
	if link == nil {
		return "nothing"
	}
	return fmt.Sprintf("%d KB, largest batch %d KB, %d too large, %d late", link.total>>10, link.largest>>10, link.tooLarge, link.late)
}

func (s *site) lastNotes(count int) string {
	return strings.Join(s.notes[max(0, len(s.notes)-count):], "\n")
}
