package consensus

import (
	"encoding/json"

	"myrtlewinch/internal/election"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// Keys of a controller's own rows on the disk, beside witness.Key and those of the
// replicated state. They stay as they are from release to release.
const (
	recordKey  = "record"
	retiredKey = "retired"
	nodesKey   = "fellows"
	// firstDiskKey marks a disk that was there, empty, at the first start of the
	// site. Only such a disk may vote for a first record: one that was emptied later
	// may have voted for another, which it forgot.
	firstDiskKey = "bootstrap"
)

// savedRecord is the record in force with the ballot under which it was stored.
type savedRecord struct {
	Record protocol.EpochRecord `json:"record"`
	Ballot protocol.Ballot      `json:"ballot"`
}

// disk is what the machine knows of its disk.
type disk struct {
	// saves are the callbacks of writes under way, by number; saved is the last
	// number that was given.
	saves map[uint64]func(ok bool)
	saved uint64
	// failed says that a write failed. What it left behind is unknown, so nothing
	// more is written until the daemon is restarted.
	failed bool
}

func newDisk() disk { return disk{saves: map[uint64]func(bool){}} }

// save asks for a change of the disk; done, where it isn't nil, is called once it
// ended. Writes end in the order in which they were asked for.
func (m *Machine) save(write storage.Write, done func(ok bool)) {
	m.disk.saved++
	if done != nil {
		m.disk.saves[m.disk.saved] = done
	}
	m.out.DiskWrites = append(m.out.DiskWrites, protocol.DiskWrite{Number: m.disk.saved, Write: write})
}

// saveRow sets one row unless the disk failed.
func (m *Machine) saveRow(key, text string) {
	if !m.disk.failed {
		m.save(storage.Write{Set: map[string]string{key: text}}, nil)
	}
}

func (m *Machine) handleWriteDone(write protocol.DiskWriteDone) {
	done := m.disk.saves[write.Number]
	delete(m.disk.saves, write.Number)
	if done != nil {
		done(write.Ok)
	}
	if !write.Ok && !m.disk.failed {
		m.disk.failed = true
		m.logf("the disk failed; no more votes or writes until a restart")
		m.stepDown("disk defect")
	}
}

func (m *Machine) saveRecord(adopted election.RecordAdopted) {
	text, _ := json.Marshal(savedRecord{Record: adopted.Record, Ballot: adopted.Ballot})
	m.saveRow(recordKey, string(text))
}

// saveNodesMs is the least time between two writes of the known nodes: all routers
// come at once at a site's start.
const saveNodesMs = 500

// savedNodes is the list of nodes that was last saved, its digest and when.
type savedNodes struct {
	text    string
	digest  uint64
	savedMs int64
}

// saveNodes saves the known nodes, so that seeds may be swapped while this daemon
// is down. Routers keep no files: after the loss of everything it is the
// controllers that find them.
func (m *Machine) saveNodes() {
	known := &m.savedNodes
	if m.disk.failed || m.detector.Digest() == known.digest || m.nowMs-known.savedMs < saveNodesMs {
		return
	}
	known.digest, known.savedMs = m.detector.Digest(), m.nowMs
	text, _ := json.Marshal(m.detector.OtherNodes())
	if string(text) == known.text {
		return
	}
	known.text = string(text)
	m.saveRow(nodesKey, known.text)
}
