package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Measurement is one figure that is taken on several seeds.
type Measurement struct {
	About string
	Unit  string
	// Take plays a world and gives the figure, or says why there is none.
	Take func(w *World) (float64, error)
}

// Measurements lists what is measured.
func Measurements() []Measurement {
	return []Measurement{
		{"small service without an answer, primary killed", "ms", serviceOutage(killPrimary)},
		{"small service without an answer, zone of the primary lost", "ms", serviceOutage(loseZone)},
		{"small service without an answer, every daemon killed and started", "ms", serviceOutage((*World).killAndStartAll)},
		{"small service without an answer, core cut off from all routers for 40 s", "ms", serviceOutage(cutOffRouters)},
		{"every service answered again, every daemon killed and started", "ms", fullRecovery((*World).killAndStartAll)},
		{"every service answered again, every daemon and runner killed and started", "ms", fullRecovery(restartEverything)},
		{"no controller speaks, primary killed", "ms", controlOutage(killPrimary)},
		{"no controller speaks, primary stopped as planned", "ms", controlOutage(stepPrimaryDown)},
		{"no controller speaks, every daemon killed and started", "ms", controlOutage((*World).killAndStartAll)},
		{"last run under the old revision after acceptance, routers cut off", "ms", oldRevisionAge},
		{"last request to a leaver after the mark could be read", "ms", leaverDelay},
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

// Measure takes every measurement on some seeds and gives a table. What could
// not be measured says so and gives no figure.
func Measure(text string, seeds int64) string {
	var out strings.Builder
	for _, m := range Measurements() {
		values, err := m.take(text, seeds)
		if err != nil {
			fmt.Fprintf(&out, "| %s | not measured: %v | |\n", m.About, err)
			continue
		}
		median, worst := medianAndWorst(values)
		fmt.Fprintf(&out, "| %s (%s) | %.4g | %.4g |\n", m.About, m.Unit, median, worst)
	}
	return out.String()
}

func (m Measurement) take(text string, seeds int64) ([]float64, error) {
	var values []float64
	for seed := int64(1); seed <= seeds; seed++ {
		value, err := m.Take(New(text, seed))
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
