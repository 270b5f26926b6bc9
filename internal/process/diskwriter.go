package process

import (
	"time"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

const (
	// recheckInterval is the interval between checks of a disk that failed.
	recheckInterval = 250 * time.Millisecond
	// maxBatchWrites bounds the writes that are saved together in one call.
	maxBatchWrites = 1024
)

// diskWrite is a write and the store to write to. Each machine that is started after a
// disk failure has a new store.
type diskWrite struct {
	protocol.DiskWrite
	store *storage.Store
}

// diskWriteDone is the input that reports the result of a diskWrite.
type diskWriteDone struct {
	protocol.DiskWriteDone
	store *storage.Store
}

// machineReopened is the input that replaces the machine after its disk failed.
type machineReopened struct {
	machine Machine
	store   *storage.Store
}

// MachineInput marks machineReopened as an Input, so that it can be queued. The runtime
// handles it and does not pass it to the machine.
func (machineReopened) MachineInput() {}

// queueWrite queues a write of the machine. If the write cannot be queued, queueWrite
// reports that it failed.
func (r *Runtime) queueWrite(write protocol.DiskWrite) {
	if r.store == nil || !r.writes.Push(diskWrite{write, r.store}) {
		r.submitWriteDone(diskWrite{write, r.store}, false)
	}
}

func (r *Runtime) submitWriteDone(write diskWrite, ok bool) {
	r.Submit(diskWriteDone{protocol.DiskWriteDone{Number: write.Number, Ok: ok}, write.store})
}

// writeToDisk is the goroutine that writes to the disk. Writes that were queued while the
// disk was busy are saved together, because with one sync for each a slow disk would fall
// behind.
func (r *Runtime) writeToDisk() error {
	store := r.store
	defer func() { store.Close() }()
	var failed *storage.Store
	var batch, rest []diskWrite
	for {
		var ok bool
		if batch, rest, ok = r.nextWrites(rest); !ok {
			return nil
		}
		r.pause.wait()
		store = batch[0].store
		err := saveBatch(store, batch)
		for _, write := range batch {
			r.submitWriteDone(write, err == nil)
		}
		if err != nil && failed != store {
			failed = store
			r.handleDiskFailure(failed, err)
		}
	}
}

func saveBatch(store *storage.Store, batch []diskWrite) error {
	writes := make([]storage.Write, 0, len(batch))
	for _, write := range batch {
		writes = append(writes, write.Write)
	}
	return store.Save(writes...)
}

// nextWrites waits for a write and returns it with those queued behind it for the same
// store. If it meets a write for another store, it returns that write in rest. The caller
// passes rest to the next call as carriedOver, and the next batch begins with it. It returns
// false once the queue is closed and empty.
func (r *Runtime) nextWrites(carriedOver []diskWrite) (batch, rest []diskWrite, ok bool) {
	batch = carriedOver
	if len(batch) == 0 {
		first, ok := r.writes.Pop()
		if !ok {
			return nil, nil, false
		}
		batch = []diskWrite{first}
	}
	for waiting, _ := r.writes.Stats(); waiting > 0 && len(batch) < maxBatchWrites; waiting-- {
		next, ok := r.writes.Pop()
		if !ok {
			break
		}
		if next.store != batch[0].store {
			return batch, []diskWrite{next}, true
		}
		batch = append(batch, next)
	}
	return batch, nil, true
}

// handleDiskFailure logs the first failure of a store and starts waiting until its disk
// accepts writes again.
func (r *Runtime) handleDiskFailure(failed *storage.Store, cause error) {
	r.options.Log.Error("writing to the disk failed", "cause", cause)
	if r.options.Reopen != nil {
		threads.Go(func() { r.reopenWhenWritable(failed) })
	}
}

// reopenWhenWritable waits until the disk accepts writes again. It then replaces the machine
// by one that starts from the stored state. If the process went on without its disk, the
// site would lack a working daemon permanently. If it exited instead, it would be counted
// as unreliable.
func (r *Runtime) reopenWhenWritable(failed *storage.Store) {
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(recheckInterval):
		}
		r.pause.wait()
		if failed.CheckWritable() != nil {
			continue
		}
		failed.Close()
		machine, store, err := r.options.Reopen()
		if err != nil {
			r.options.Log.Error("reopening the data folder failed", "cause", err)
			continue
		}
		if !r.inputs.Push(machineReopened{machine, store}) {
			store.Close()
		}
		return
	}
}
