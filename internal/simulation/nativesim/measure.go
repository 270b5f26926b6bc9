package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Measurement is a figure that is measured on several seeds.
type Measurement struct {
	Name string
	Unit string
	// Measure runs a world and returns the figure, or why it could not be measured.
	Measure func(w *World) (float64, error)
}

// Measurements returns all measurements. Tables show the names of the
// measurements. Some words in the names differ from the code: "core" means the
// controllers, "no controller speaks" means that none is active, "second go"
// means a retry, and "leaver" means a leaving runner.
func Measurements() []Measurement {
	return []Measurement{
		{"small service without an answer, primary killed", "ms", serviceOutage(killPrimary)},
		{"small service without an answer, zone of the primary lost", "ms", serviceOutage(killZoneOfPrimary)},
		{"small service without an answer, every daemon killed and started", "ms", serviceOutage((*World).killAndStartAll)},
		{"small service without an answer, core cut off from all routers for 40 s", "ms", serviceOutage(partitionRoutersFromControllers)},
		{"every service answered again, every daemon killed and started", "ms", fullRecovery((*World).killAndStartAll)},
		{"every service answered again, every daemon and runner killed and started", "ms", fullRecovery(restartEverything)},
		{"no controller speaks, primary killed", "ms", controlOutage(killPrimary)},
		{"no controller speaks, primary stopped as planned", "ms", controlOutage(stepPrimaryDown)},
		{"no controller speaks, every daemon killed and started", "ms", controlOutage((*World).killAndStartAll)},
		{"last run under the old revision after acceptance, routers cut off", "ms", staleRevisionAge},
		{"last request to a leaver after the mark could be read", "ms", leavingRunnerDelay},
		{"second goes in the worst ten seconds, a part of first goes", "ratio", worstRetryRatio},
		{"look-ups a request, warm", "ratio", lookUpsAfter(func(*World) {})},
		{"look-ups a request, all routers cold", "ratio", lookUpsAfter(restartRouters)},
		{"look-ups a request, after recovery of everything", "ratio", lookUpsAfter(recoverEverything)},
		{"messages between daemons a second, idle", "count", messagesPerSec(stopTraffic)},
		{"messages between daemons a second, busy", "count", messagesPerSec(keepTraffic)},
		{"bytes between daemons a second, idle, each message sent alone", "thousands", kilobytesPerSec(stopTraffic)},
		{"bytes between daemons a second, busy, each message sent alone", "thousands", kilobytesPerSec(keepTraffic)},
		{"first answer for a cold rare model", "ms", coldModelLatency},
	}
}

// Measure takes every measurement on the seeds from 1 and returns a table with
// the median and the worst figure. The row of a failed measurement has the error
// in place of figures.
func Measure(text string, seeds int64) string {
	var out strings.Builder
	for _, m := range Measurements() {
		values, err := m.measureSeeds(text, seeds)
		if err != nil {
			fmt.Fprintf(&out, "| %s | not measured: %v | |\n", m.Name, err)
			continue
		}
		median, worst := medianAndWorst(values)
		fmt.Fprintf(&out, "| %s (%s) | %.4g | %.4g |\n", m.Name, m.Unit, median, worst)
	}
	return out.String()
}

func (m Measurement) measureSeeds(text string, seeds int64) ([]float64, error) {
	var values []float64
	for seed := int64(1); seed <= seeds; seed++ {
		value, err := m.Measure(New(text, seed))
		if err != nil {
			return nil, errors.Wrapf(err, "seed %d", seed)
		}
		values = append(values, value)
	}
	return values, nil
}

func medianAndWorst(values []float64) (median, worst float64) {
	sort.Float64s(values)
	return values[len(values)/2], values[len(values)-1]
}
