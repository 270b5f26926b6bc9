package daemon

import (
	"time"

	"myrtlewinch/crew"
	"myrtlewinch/disk"
	"myrtlewinch/wire"
)

// probeMs is how often a disk that failed is looked at again.
const probeMs = 250

// saving is a write with the disk that it is for: after a defect the next
// machine has another.
type saving struct {
	wire.Save
	disk *disk.Disk
}

// saved ends a write of a disk.
type saved struct {
	wire.Saved
	disk *disk.Disk
}

// renewed brings a machine that was made anew.
type renewed struct {
	machine Machine
	disk    *disk.Disk
}

// save is the disk's own thread.
func (s *Shell) save() error {
	current := s.disk
	var failed *disk.Disk
	defer func() { current.Close() }()
	for {
		next, ok := s.saves.Take()
		if !ok {
			return nil
		}
		s.halt.wait()
		current = next.disk
		err := current.Save(next.Write)
		s.Put(saved{wire.Saved{Number: next.Number, Ok: err == nil}, current})
		if err != nil && failed != current {
			failed = current
			s.set.Log.Error("the disk failed", "cause", err)
			if s.set.Renew != nil {
				crew.Side(func() { s.renew(failed) })
			}
		}
	}
}

// renew waits until the disk takes writes again and begins anew from it. A
// daemon that stayed deaf would be one loss more for good, and one that ended
// by itself would be counted as one that can't be relied on.
func (s *Shell) renew(failed *disk.Disk) {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(probeMs * time.Millisecond):
		}
		s.halt.wait()
		if failed.Probe() != nil {
			continue
		}
		failed.Close()
		machine, d, err := s.set.Renew()
		if err != nil {
			s.set.Log.Error("the disk can't be read", "cause", err)
			continue
		}
		if !s.inputs.Put(renewed{machine, d}) {
			d.Close()
		}
		return
	}
}
