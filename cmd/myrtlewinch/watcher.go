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

// seedsTarget is what is notified of new seeds.
type seedsTarget interface{ SetSeeds(seeds []string) }

// settingsWatcher applies changes of the settings file. Only the seeds may change
// while a process runs; the other settings apply from its next start.
type settingsWatcher struct {
	file string
	// text is the file as it was last read, seeds are those last passed on.
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

// checkFile reads the file and passes on new seeds. Settings that can't be used are
// logged once, and the process continues with those that it has.
func (w *settingsWatcher) checkFile() {
	text, err := os.ReadFile(w.file)
	if err != nil {
		w.logger.Warn("the settings can't be read; going on as before", "cause", err)
		return
	}
	if bytes.Equal(text, w.text) {
		return
	}
	w.text = text
	settings, err := platform.ParseSettings(text)
	if err != nil {
		w.logger.Warn("the settings are off; going on as before", "cause", err)
		return
	}
	if seeds := settings.PeerSeeds(); !slices.Equal(seeds, w.seeds) {
		w.seeds = seeds
		w.target.SetSeeds(seeds)
		w.logger.Info("new seeds", "seeds", seeds)
	}
}
