//go:build processtest

package hostileclients

import (
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// sampleInterval is the interval between two samples of a daemon.
const sampleInterval = 10 * time.Millisecond

// watch records the peaks of a daemon's memory and descriptors.
type watch struct {
	daemon *daemon
	done   chan struct{}
	group  sync.WaitGroup
	// peakBytes and peakDescriptors may be read once the watch has ended.
	peakBytes       int64
	peakDescriptors int
}

func watchDaemon(d *daemon) *watch {
	w := &watch{daemon: d, done: make(chan struct{})}
	w.group.Go(w.sample)
	return w
}

func (w *watch) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		w.peakBytes = max(w.peakBytes, w.daemon.usedBytes())
		w.peakDescriptors = max(w.peakDescriptors, w.daemon.openDescriptors())
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
	}
}

// check ends the watch and checks that the daemon lives and stayed within its limits.
func (w *watch) check(c *qt.C, maxBytes int64, maxDescriptors int) {
	close(w.done)
	w.group.Wait()
	c.Logf("%s: peak %d MB of %d, %d descriptors of %d",
		w.daemon.name, w.peakBytes>>20, maxBytes>>20, w.peakDescriptors, maxDescriptors)
	c.Check(w.daemon.isAlive(), qt.IsTrue, qt.Commentf("%s ended: %s", w.daemon.name, w.daemon.lastLog()))
	c.Check(w.peakBytes <= maxBytes, qt.IsTrue, qt.Commentf("memory of %s: peak %d MB of %d", w.daemon.name, w.peakBytes>>20, maxBytes>>20))
	c.Check(w.peakDescriptors <= maxDescriptors, qt.IsTrue, qt.Commentf("descriptors of %s: peak %d of %d", w.daemon.name, w.peakDescriptors, maxDescriptors))
}
