package modelcheck

import (
	"encoding/json"
	"fmt"

	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// Keys that package consensus writes.
const (
	// recordKey is the key of the member's epoch record.
	recordKey = "record"
	// positionKey is the key of the position up to which the replica holds the changes.
	positionKey = "state/position"
)

// storedRecord is the part of the value of recordKey that the checks read.
type storedRecord struct{ Record protocol.EpochRecord }

// diskState is the part of a disk's content that the checks use.
type diskState struct {
	witness  witness.State
	record   protocol.EpochRecord
	position protocol.Position
}

// apply updates the fields whose keys a write sets. The other fields stay unchanged.
func (d *diskState) apply(write storage.Write) {
	readKey(write, witness.Key, &d.witness)
	var stored storedRecord
	readKey(write, recordKey, &stored)
	if stored.Record.Epoch > 0 {
		d.record = stored.Record
	}
	readKey(write, positionKey, &d.position)
}

// readKey decodes the value that a write sets for a key, if it sets one.
func readKey(write storage.Write, key string, into any) {
	text := write.Set[key]
	if text == "" {
		return
	}
	if err := json.Unmarshal([]byte(text), into); err != nil {
		panic(fmt.Sprintf("modelcheck: decoding the value of key %s on a disk failed: %v", key, err))
	}
}

// isBefore reports whether a position is before another.
func isBefore(a, b protocol.Position) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Number < b.Number
}
