package endurance

import (
	"fmt"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
)

const (
	// changeIntervalMs is the time between two changes of keepChanging, and
	// readIntervalMs that between two reads of keepReading.
	changeIntervalMs = 300
	readIntervalMs   = 100
	// resubmitMs is how often a change without a clear answer is submitted again,
	// and changeTimeoutMs bounds that.
	resubmitMs      = 500
	changeTimeoutMs = 20_000
)

// workload is what operators do: they change the configuration and read it.
type workload struct {
	// body follows the version in each configuration.
	body string
	// version is the newest that was acknowledged, submitted the newest that was
	// submitted.
	version, submitted uint64
	lastID             uint64
	// quiet ends keepChanging.
	quiet bool
	// expected holds, for each read, the version that had been acknowledged by
	// then. reads counts the answers, and stale are those with an older version.
	expected map[uint64]uint64
	reads    int
	stale    []string
}

func newWorkload() workload { return workload{body: newBody(), expected: map[uint64]uint64{}} }

func (w *workload) text(version uint64) string { return fmt.Sprintf("%d\n%s", version, w.body) }

// change submits the next version at the primary, or the last one again if it got
// no clear answer.
func (c *cluster) change() {
	primary := c.primary()
	if primary == nil {
		return
	}
	if c.submitted <= c.version {
		c.submitted = c.version + 1
	}
	c.submit(primary, c.submitted)
}

func (c *cluster) submit(primary *node, version uint64) {
	c.lastID++
	if c.faults.acknowledgeEarly {
		c.version = version
	}
	c.step(primary, controller.SubmitConfig{ID: c.lastID, BaseVersion: version - 1, Text: c.text(version)})
}

// respond takes a node's response to a change or a read.
func (c *cluster) respond(n *node, response protocol.Response) {
	switch body := response.Body.(type) {
	case controller.ConfigText:
		c.reads++
		if expected := c.expected[response.ID]; body.Version < expected {
			c.stale = append(c.stale, fmt.Sprintf("%s served version %d after %d was acknowledged", n.name, body.Version, expected))
		}
	case controller.ConfigAccepted:
		c.version = max(c.version, body.Version)
	}
}

// makeChanges makes so many changes, as fast as they are acknowledged. It says
// whether all were.
func (c *cluster) makeChanges(count int) bool {
	for range count {
		next := c.version + 1
		c.change()
		acknowledged := func() bool {
			if c.version < next && c.events.NowMs()%resubmitMs == 0 {
				c.change()
			}
			return c.version >= next
		}
		if c.until(changeTimeoutMs, acknowledged) < 0 {
			return false
		}
	}
	return true
}

// keepChanging makes a change at each interval from now on.
func (c *cluster) keepChanging() {
	if !c.quiet {
		c.change()
		c.events.After(changeIntervalMs, c.keepChanging)
	}
}

// keepReading reads the configuration in force at every node from now on.
func (c *cluster) keepReading() {
	for _, n := range c.nodes {
		c.lastID++
		c.expected[c.lastID] = c.version
		c.step(n, controller.ReadConfig{ID: c.lastID})
	}
	c.events.After(readIntervalMs, c.keepReading)
}
