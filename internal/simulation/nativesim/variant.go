package nativesim

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

var markPattern = regexp.MustCompile(`"(mark-[0-9]+)"`)

// markOf names the service that only this text has, if it has one.
func markOf(text string) string {
	if found := markPattern.FindStringSubmatch(text); found != nil {
		return found[1]
	}
	return ""
}

// markService is a small service by which senders and runners can tell which
// text is in effect.
func (w *World) markService(number int) string {
	small, _ := w.Site.Service(w.small())
	return fmt.Sprintf(`{"name": "mark-%d", "repeatable": true, "pools": [%q], "deadlineMs": 3000, "holding": 64}`, number, small.Pools[0])
}

const servicesEnd = "\n  ],\n  \"store\""

// Variant is the site's description with a service of its own and another
// allowance.
func (w *World) Variant(number int) string {
	text := strings.Replace(w.Text, `"secondGoes": 10`, fmt.Sprintf(`"secondGoes": %d`, 10-number%3), 1)
	return strings.Replace(text, servicesEnd, ",\n    "+w.markService(number)+servicesEnd, 1)
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
