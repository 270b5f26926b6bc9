package nativesim

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

var markerPattern = regexp.MustCompile(`"(mark-[0-9]+)"`)

// markerOf names the service that only this text has, if it has one.
func markerOf(text string) string {
	if found := markerPattern.FindStringSubmatch(text); found != nil {
		return found[1]
	}
	return ""
}

// markerService is a small service by which senders and runners can tell which
// text is in effect.
func (w *World) markerService(number int) string {
	small, _ := w.Description.Service(w.smallService())
	return fmt.Sprintf(`{"name": "mark-%d", "repeatable": true, "pools": [%q], "deadlineMs": 3000, "holding": 64}`, number, small.Pools[0])
}

const servicesEnd = "\n  ],\n  \"store\""

// Variant is the site's description with a service of its own and another
// allowance.
func (w *World) Variant(number int) string {
	text := strings.Replace(w.DescriptionText, `"secondGoes": 10`, fmt.Sprintf(`"secondGoes": %d`, 10-number%3), 1)
	return strings.Replace(text, servicesEnd, ",\n    "+w.markerService(number)+servicesEnd, 1)
}

// Part is the change of one named part that has the same mark.
func (w *World) Part(number int) string {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal([]byte(w.Variant(number)), &whole); err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"services": %s}`, whole["services"])
}

// Faulty is a variant with a fault.
func (w *World) Faulty(number int) string {
	return strings.Replace(w.Variant(number), `"holding": 64`, `"holding": -1`, 1)
}
