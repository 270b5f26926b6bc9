package nativesim

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// Submitted descriptions differ from the first one by a marker service of their
// own, by which clients and runners can tell which description is in effect.

var markerPattern = regexp.MustCompile(`"(mark-[0-9]+)"`)

// markerOf names the marker service of a description, if it has one.
func markerOf(text string) string {
	if found := markerPattern.FindStringSubmatch(text); found != nil {
		return found[1]
	}
	return ""
}

// markerService is a service that uses the runners of the small one.
func (w *World) markerService(number int) string {
	small, _ := w.Description.Service(w.smallService())
	return fmt.Sprintf(`{"name": "mark-%d", "repeatable": true, "pools": [%q], "deadlineMs": 3000, "holding": 64}`, number, small.Pools[0])
}

// servicesEnd is what follows the last service in the example descriptions.
const servicesEnd = "\n  ],\n  \"store\""

// Variant is the site's description with a marker service and another allowance
// of retries.
func (w *World) Variant(number int) string {
	allowance := fmt.Sprintf(`"secondGoes": %d`, 10-number%3)
	text := strings.Replace(w.DescriptionText, `"secondGoes": 10`, allowance, 1)
	return strings.Replace(text, servicesEnd, ",\n    "+w.markerService(number)+servicesEnd, 1)
}

// Part is the change of one named part that has the same marker service.
func (w *World) Part(number int) string {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal([]byte(w.Variant(number)), &whole); err != nil {
		panic(fmt.Sprintf("nativesim: a variant is no JSON: %v", err))
	}
	return fmt.Sprintf(`{"services": %s}`, whole["services"])
}

// Faulty is a variant with a fault.
func (w *World) Faulty(number int) string {
	return strings.Replace(w.Variant(number), `"holding": 64`, `"holding": -1`, 1)
}
