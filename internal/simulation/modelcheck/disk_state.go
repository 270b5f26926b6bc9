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
	// recordKey holds the member's epoch record.
	recordKey = "record"
	// positionKey holds the position up to which the replica has the changes.
	positionKey = "state/position"
)

// storedRecord is the part of the value of recordKey that the checks read.
type storedRecord struct{ Record protocol.EpochRecord }

// diskState is what a disk holds of epochs and of the replicated state.
type diskState struct {
	witness  witness.State
	record   protocol.EpochRecord
	position protocol.Position
}

// apply applies the keys that a write sets; the others stay as they were.
func (d *diskState) apply(write storage.Write) {
	readKey(write, witness.Key, &d.witness)
	var stored storedRecord
	readKey(write, recordKey, &stored)
	if stored.Record.Epoch > 0 {
		d.record = stored.Record
	}
	readKey(write, positionKey, &d.position)
}

// readKey decodes the value that a write sets for a key, if it sets it.
func readKey(write storage.Write, key string, into any) {
	text := write.Set[key]
	if text == "" {
		return
	}
	if err := json.Unmarshal([]byte(text), into); err != nil {
		panic(fmt.Sprintf("modelcheck: key %s on a disk: %v", key, err))
	}
}

// isBefore says whether a position is before another.
func isBefore(a, b protocol.Position) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Number < b.Number
}
