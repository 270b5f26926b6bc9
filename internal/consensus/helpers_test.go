package consensus

import (
	qt "github.com/frankban/quicktest"
)

// served is a core that serves, with its members' catch-up behind it.
func served(c *qt.C, losses, count int) *core {
	w := newCore(c, losses, count)
	w.until(10_000, "bootstrap", w.serves)
	w.run(5000)
	return w
}

// write hands a row over and waits until it is acknowledged.
func (w *core) write(row string) {
	answered := w.put(row)
	w.until(3000, "an acknowledgement", func() bool { return *answered })
}
