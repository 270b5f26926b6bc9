package nativesim

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// Each variant of the site's description has a marker service, which is named
// after the variant's number. Requests for it show which description is in effect.

var markerPattern = regexp.MustCompile(`"(mark-[0-9]+)"`)

// markerOf returns the name of a description's marker service, or "".
func markerOf(text string) string {
	if found := markerPattern.FindStringSubmatch(text); found != nil {
		return found[1]
	}
	return ""
}

// markerService returns a service that uses the runners of the small service.
func (w *World) markerService(number int) string {
	small, _ := w.Description.Service(w.smallService())
	return fmt.Sprintf(`{"name": "mark-%d", "repeatable": true, "pools": [%q], "deadlineMs": 3000, "holding": 64}`, number, small.Pools[0])
}

// servicesEnd is what follows the last service in the example descriptions.
const servicesEnd = "\n  ],\n  \"store\""

// Variant returns the site's description with a marker service, and with a retry
// allowance that depends on the number.
func (w *World) Variant(number int) string {
	allowance := fmt.Sprintf(`"secondGoes": %d`, 10-number%3)
	text := strings.Replace(w.DescriptionText, `"secondGoes": 10`, allowance, 1)
	return strings.Replace(text, servicesEnd, ",\n    "+w.markerService(number)+servicesEnd, 1)
}

// PartialVariant returns a partial change. It replaces only the services, with
// the services of the Variant of the same number.
func (w *World) PartialVariant(number int) string {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal([]byte(w.Variant(number)), &whole); err != nil {
		panic(fmt.Sprintf("nativesim: decoding a variant failed: %v", err))
	}
	return fmt.Sprintf(`{"services": %s}`, whole["services"])
}

// InvalidVariant returns a variant that is not a valid description.
func (w *World) InvalidVariant(number int) string {
	return strings.Replace(w.Variant(number), `"holding": 64`, `"holding": -1`, 1)
}
