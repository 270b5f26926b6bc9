package main

import (
	"bytes"
	"os"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"myrtlewinch/internal/threads"
	"myrtlewinch/platform"
)

// checkMs is how often the settings are looked at without any signal.
const checkMs = 5000

// reload follows the settings file. Seeds are all that may change within the
// life of a process; the rest is heeded at its next start.
type reload struct {
	file   string
	text   []byte
	seeds  []string
	to     interface{ Reseed(seeds []string) }
	logger *log.Logger
}

func newReload(file string, place platform.Settings, to interface{ Reseed(seeds []string) }, logger *log.Logger) *reload {
	return &reload{file: file, seeds: place.PeerSeeds(), to: to, logger: logger}
}

// join adds the duty that reads the file after each signal, and now and then.
func (r *reload) join(c *threads.Group, hangups <-chan os.Signal) {
	done := make(chan struct{})
	c.Add(func() error {
		ticker := time.NewTicker(checkMs * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return nil
			case <-hangups:
			case <-ticker.C:
			}
			r.look()
		}
	}, func() { close(done) })
}

// look reads the file and passes new seeds on. What can't be used is logged
// once; the process goes on with what it has.
func (r *reload) look() {
	text, err := os.ReadFile(r.file)
	if err != nil {
		r.logger.Warn("the settings can't be read; going on as before", "cause", err)
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	place, err := platform.ParseSettings(text)
	if err != nil {
		r.logger.Warn("the settings are off; going on as before", "cause", err)
		return
	}
	if seeds := place.PeerSeeds(); !slices.Equal(seeds, r.seeds) {
		r.seeds = seeds
		r.to.Reseed(seeds)
		r.logger.Info("new seeds", "seeds", seeds)
	}
}
