package process

import (
	"time"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

// probeMs is how often a disk that failed is looked at again.
const probeMs = 250

// saving is a write with the disk that it is for: after a defect the next
// machine has another.
type saving struct {
	protocol.DiskWrite
	disk *storage.Store
}

// saved ends a write of a disk.
type saved struct {
	protocol.DiskWriteDone
	disk *storage.Store
}

// renewed brings a machine that was made anew.
type renewed struct {
	machine Machine
	disk    *storage.Store
}

// savesMost bounds the writes that go to the platter together.
const savesMost = 1024

// save is the disk's own thread. Writes that waited while the disk was at work
// go to the platter together: one by one, a slow disk would fall behind by a
// sync for each.
func (s *Runtime) save() error {
	current := s.disk
	var failed *storage.Store
	defer func() { current.Close() }()
	var waiting []saving
	for {
		batch, rest, ok := s.takeSaves(waiting)
		if !ok {
			return nil
		}
		waiting = rest
		s.halt.wait()
		current = batch[0].disk
		writes := make([]storage.Write, 0, len(batch))
		for _, next := range batch {
			writes = append(writes, next.Write)
		}
		err := current.Save(writes...)
		for _, next := range batch {
			s.Submit(saved{protocol.DiskWriteDone{Number: next.Number, Ok: err == nil}, current})
		}
		if err != nil && failed != current {
			failed = current
			s.set.Log.Error("the disk failed", "cause", err)
			if s.set.Reopen != nil {
				threads.Go(func() { s.renew(failed) })
			}
		}
	}
}

// takeSaves gives the writes that wait for one disk, at least one, and a write
// for the next disk that was taken with them. False ends the thread.
func (s *Runtime) takeSaves(held []saving) (batch, rest []saving, ok bool) {
	batch = held
	if len(batch) == 0 {
		first, ok := s.saves.Pop()
		if !ok {
			return nil, nil, false
		}
		batch = []saving{first}
	}
	for waiting, _ := s.saves.Stats(); waiting > 0 && len(batch) < savesMost; waiting-- {
		next, ok := s.saves.Pop()
		if !ok {
			break
		}
		if next.disk != batch[0].disk {
			return batch, []saving{next}, true
		}
		batch = append(batch, next)
	}
	return batch, nil, true
}

// renew waits until the disk takes writes again and begins anew from it. A
// daemon that stayed deaf would be one loss more for good, and one that ended
// by itself would be counted as one that can't be relied on.
func (s *Runtime) renew(failed *storage.Store) {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(probeMs * time.Millisecond):
		}
		s.halt.wait()
		if failed.CheckWritable() != nil {
			continue
		}
		failed.Close()
		machine, d, err := s.set.Reopen()
		if err != nil {
			s.set.Log.Error("the disk can't be read", "cause", err)
			continue
		}
		if !s.inputs.Push(renewed{machine, d}) {
			d.Close()
		}
		return
	}
}
