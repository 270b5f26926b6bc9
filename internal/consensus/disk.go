package consensus

import (
	"encoding/json"

	"myrtlewinch/internal/election"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// Keys of a controller's own rows on the disk, in addition to witness.Key and the keys of
// the replicated state. Data folders of earlier releases have them, so they must not
// change. The rows hold the active record, a mark that this disk is superseded, and the
// known nodes.
const (
	recordKey  = "record"
	retiredKey = "retired"
	nodesKey   = "fellows"
	// initialDiskKey marks a disk that was empty when it took part in the first start of the
	// site. Only a disk with this mark may vote for a first record. A disk that was wiped
	// later may have voted for another first record before.
	initialDiskKey = "bootstrap"
)

// initialDiskMark is the value of initialDiskKey.
const initialDiskMark = "first start"

// InitialRows returns the rows that an empty disk gets before anything else at the first start of
// a site that its seeds bootstrap. They must be durable before the daemon can be reached: a disk
// that loses its daemon before has none, and cannot be told from one that was wiped later.
func InitialRows() map[string]string { return map[string]string{initialDiskKey: initialDiskMark} }

// savedRecord is the active record with the ballot under which it was accepted.
type savedRecord struct {
	Record protocol.EpochRecord `json:"record"`
	Ballot protocol.Ballot      `json:"ballot"`
}

// disk is the state of the machine's disk: the writes in flight, and whether one failed.
type disk struct {
	// saves holds the callbacks of the writes in flight, by the number of the write. saved
	// is the number of the last write.
	saves map[uint64]func(ok bool)
	saved uint64
	// failed is true if a write has failed. It is unknown how much of that write is on the
	// disk, so nothing more is written until the daemon is restarted.
	failed bool
}

func newDisk() disk { return disk{saves: map[uint64]func(bool){}} }

// save starts a write to the disk. done, unless nil, is called once the write has
// ended. Writes end in the order of the calls.
func (m *Machine) save(write storage.Write, done func(ok bool)) {
	m.disk.saved++
	if done != nil {
		m.disk.saves[m.disk.saved] = done
	}
	m.out.DiskWrites = append(m.out.DiskWrites, protocol.DiskWrite{Number: m.disk.saved, Write: write})
}

// saveRow writes one row unless the disk failed.
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
		m.stepDown("the disk failed")
	}
}

func (m *Machine) saveRecord(adopted election.RecordAdopted) {
	text, _ := json.Marshal(savedRecord{Record: adopted.Record, Ballot: adopted.Ballot})
	m.saveRow(recordKey, string(text))
}

// saveNodesMs is the minimum time between two writes of the known nodes, because all
// routers appear at once when a site starts.
const saveNodesMs = 500

// savedNodes is the list of nodes that was last saved, its digest, and the time.
type savedNodes struct {
	text    string
	digest  uint64
	savedMs int64
}

// saveNodes saves the known nodes, so that this daemon finds its peers after a
// restart even if all seeds were replaced meanwhile. Routers store nothing on disk, so
// after an outage of the whole site the controllers connect to them.
func (m *Machine) saveNodes() {
	last := &m.savedNodes
	if m.disk.failed || m.detector.Digest() == last.digest || m.nowMs-last.savedMs < saveNodesMs {
		return
	}
	last.digest, last.savedMs = m.detector.Digest(), m.nowMs
	text, _ := json.Marshal(m.detector.OtherNodes())
	if string(text) == last.text {
		return
	}
	last.text = string(text)
	m.saveRow(nodesKey, last.text)
}
