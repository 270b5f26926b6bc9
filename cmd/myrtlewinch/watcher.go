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

// checkInterval is how often the settings file is checked without a signal.
const checkInterval = 5 * time.Second

// seedsTarget is notified of new seeds.
type seedsTarget interface{ SetSeeds(seeds []string) }

// settingsWatcher applies changes to the settings file. Only the seeds may change
// while a process runs; the other settings apply from its next start.
type settingsWatcher struct {
	file string
	// text is the file's content when it was last read. seeds are the seeds that target
	// uses.
	text   []byte
	seeds  []string
	target seedsTarget
	logger *log.Logger
}

func newSettingsWatcher(file string, settings platform.Settings, target seedsTarget, logger *log.Logger) *settingsWatcher {
	return &settingsWatcher{file: file, seeds: settings.PeerSeeds(), target: target, logger: logger}
}

// addTasks adds the task that checks the file after each signal and at intervals.
func (w *settingsWatcher) addTasks(group *threads.Group, signals <-chan os.Signal) {
	done := make(chan struct{})
	group.Add(func() error {
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return nil
			case <-signals:
			case <-ticker.C:
			}
			w.checkFile()
		}
	}, func() { close(done) })
}

// checkFile reads the file and notifies the target of new seeds. Invalid settings are
// logged once, and the daemon keeps its current ones.
func (w *settingsWatcher) checkFile() {
	text, err := os.ReadFile(w.file)
	if err != nil {
		w.logger.Warn("reading the settings file failed; keeping the current settings", "cause", err)
		return
	}
	if bytes.Equal(text, w.text) {
		return
	}
	w.text = text
	settings, err := platform.ParseSettings(text)
	if err != nil {
		w.logger.Warn("the settings file is invalid; keeping the current settings", "cause", err)
		return
	}
	if seeds := settings.PeerSeeds(); !slices.Equal(seeds, w.seeds) {
		w.seeds = seeds
		w.target.SetSeeds(seeds)
		w.logger.Info("new seeds", "seeds", seeds)
	}
}
