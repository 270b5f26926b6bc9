package process

import (
	"time"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

const (
	// recheckInterval is how often a disk that failed is checked again.
	recheckInterval = 250 * time.Millisecond
	// maxBatchWrites bounds the writes that are saved together.
	maxBatchWrites = 1024
)

// diskWrite is a write with the store that it is for: after a failure the next
// machine has another one.
type diskWrite struct {
	protocol.DiskWrite
	store *storage.Store
}

// diskWriteDone is the input that ends a diskWrite.
type diskWriteDone struct {
	protocol.DiskWriteDone
	store *storage.Store
}

// machineReopened is the input that replaces the machine after its disk failed.
type machineReopened struct {
	machine Machine
	store   *storage.Store
}

// MachineInput lets machineReopened wait in the queue of inputs. The runtime takes
// it from there itself; no machine is stepped with it.
func (machineReopened) MachineInput() {}

// queueWrite queues a write of the machine. One that can't be queued has failed.
func (r *Runtime) queueWrite(write protocol.DiskWrite) {
	if r.store == nil || !r.writes.Push(diskWrite{write, r.store}) {
		r.submitWriteDone(diskWrite{write, r.store}, false)
	}
}

func (r *Runtime) submitWriteDone(write diskWrite, ok bool) {
	r.Submit(diskWriteDone{protocol.DiskWriteDone{Number: write.Number, Ok: ok}, write.store})
}

// writeToDisk is the disk's goroutine. Writes that waited while the disk was busy
// are saved together: with a sync for each, a slow disk would fall behind.
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

// nextWrites gives the writes that wait for one store, at least one, and a write
// for the next store that was taken from the queue with them. Writes that an
// earlier call gave back go first. False means that the queue is closed.
func (r *Runtime) nextWrites(givenBack []diskWrite) (batch, rest []diskWrite, ok bool) {
	batch = givenBack
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

// handleDiskFailure logs the first failure of a store and starts to wait for its
// disk.
func (r *Runtime) handleDiskFailure(failed *storage.Store, cause error) {
	r.options.Log.Error("the disk failed", "cause", cause)
	if r.options.Reopen != nil {
		threads.Go(func() { r.reopenWhenWritable(failed) })
	}
}

// reopenWhenWritable waits until the disk accepts writes again and replaces the
// machine by one that starts from it. A process that stayed without its disk
// would be one loss more for good, and one that ended by itself would be counted
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
			r.options.Log.Error("the disk can't be read", "cause", err)
			continue
		}
		if !r.inputs.Push(machineReopened{machine, store}) {
			store.Close()
		}
		return
	}
}
