// Package statediff compares the views that two daemons have of the site, according to their
// status pages.
package statediff

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// View is one daemon's view of the site: field values by name, each with the age in ms of the
// message that it was learnt from, or unknownAge.
type View struct {
	Name   string
	Fields map[string]string
	AgesMs map[string]int64
}

// Difference is a field that differs between two views.
type Difference struct {
	Field      string `json:"field"`
	Left       string `json:"left"`
	Right      string `json:"right"`
	LeftAgeMs  int64  `json:"leftAgeMs"`
	RightAgeMs int64  `json:"rightAgeMs"`
}

const (
	// absent is the value that is shown for a field that a view does not have.
	absent = "(none)"
	// unknownAge is the age of a field whose age the daemon does not report.
	unknownAge = -1
)

// Read parses a daemon's status page into a view.
func Read(text []byte) (View, error) {
	var part struct {
		Part string `json:"part"`
	}
	if err := json.Unmarshal(text, &part); err != nil {
		return View{}, err
	}
	v := View{Fields: map[string]string{}, AgesMs: map[string]int64{}}
	switch part.Part {
	case protocol.RoleController:
		var s controller.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return v, err
		}
		v.setController(s)
	case protocol.RoleRouter:
		var s router.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return v, err
		}
		v.setRouter(s)
	default:
		return v, errors.Newf("not the status page of a controller or router: its field \"part\" is %q", part.Part)
	}
	return v, nil
}

// The kinds of fields. A field's name starts with its kind, followed by a space and the name of
// what it describes, if there are several. replicasField holds the replicas of the epoch record,
// peerField a peer, cacheField an entry of a router's cache.
const (
	epochField     = "epoch"
	primaryField   = "primary"
	replicasField  = "pair"
	witnessesField = "witnesses"
	revisionField  = "revision"
	peerField      = "roster"
	rowField       = "row"
	leavingField   = "leaving"
	cacheField     = "entry"
)

func (v *View) set(field, value string, ageMs int64) {
	v.Fields[field] = value
	v.AgesMs[field] = ageMs
}

// memberList returns the members as text, which does not depend on their order.
func memberList(members []protocol.MemberID) string {
	var names []string
	for _, member := range members {
		names = append(names, member.Name+"/"+member.Incarnation)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

func (v *View) setLeaving(runners []protocol.LeavingRunner) {
	for _, runner := range runners {
		v.set(leavingField+" "+runner.Runner+"/"+runner.Incarnation, "yes", unknownAge)
	}
}

// setController sets the fields from a controller's status. What it knows of the epoch record
// and of runners is as old as the last message that it received from the primary.
func (v *View) setController(status controller.Status) {
	v.Name = status.Name
	ageMs := int64(unknownAge)
	for _, peer := range status.Peers {
		v.set(peerField+" "+peer.Name, peer.Address+" "+peer.Incarnation, peer.AgoMs)
		if peer.Name == status.Record.Primary {
			ageMs = peer.AgoMs
		}
	}
	v.set(epochField, fmt.Sprint(status.Record.Epoch), ageMs)
	v.set(primaryField, status.Record.Primary, ageMs)
	v.set(replicasField, memberList(status.Record.Replicas), ageMs)
	v.set(witnessesField, memberList(status.Record.Witnesses), ageMs)
	v.set(revisionField, fmt.Sprint(status.Revision), ageMs)
	for _, row := range status.Rows {
		v.setRow(row, ageMs)
	}
	v.setLeaving(status.Leaving)
}

func (v *View) setRow(row *ledger.RunnerRow, ageMs int64) {
	var held []string
	for item, holding := range row.Held {
		held = append(held, fmt.Sprintf("%s=%d", item, holding.Size))
	}
	sort.Strings(held)
	prefix := rowField + " " + row.Runner
	v.set(prefix+" incarnation", row.Incarnation, ageMs)
	v.set(prefix+" held", strings.Join(held, " "), ageMs)
	if order := row.Order; order != nil {
		v.set(prefix+" order", fmt.Sprintf("%d %s %s %s", order.Number, order.Action, order.Model, order.Adapter), ageMs)
	}
}

// setRouter sets the fields from a router's status.
func (v *View) setRouter(status router.Status) {
	v.Name = status.Name
	v.set(epochField, fmt.Sprint(status.Epoch), status.DrainingAgeMs)
	v.set(primaryField, status.Primary, status.DrainingAgeMs)
	v.set(revisionField, fmt.Sprint(status.Revision), status.DrainingAgeMs)
	for _, entry := range status.Cache {
		v.set(cacheField+" "+entry.Key, strings.Join(entry.Runners, " "), entry.AgeMs)
	}
	v.setLeaving(status.Leaving)
}

// Compare returns the differences, sorted by field. A field that is in one view only is a
// difference only if the other daemon would report it.
func Compare(left, right View) []Difference {
	fields := map[string]bool{}
	for _, view := range []View{left, right} {
		for field := range view.Fields {
			fields[field] = true
		}
	}
	var differences []Difference
	for field := range fields {
		leftValue, leftAgeMs, inLeft := left.get(field)
		rightValue, rightAgeMs, inRight := right.get(field)
		if leftValue == rightValue && inLeft == inRight {
			continue
		}
		inBoth := inLeft && inRight
		if !inBoth && !(left.wouldReport(field) && right.wouldReport(field)) {
			continue
		}
		differences = append(differences, Difference{
			Field: field, Left: leftValue, Right: rightValue, LeftAgeMs: leftAgeMs, RightAgeMs: rightAgeMs,
		})
	}
	sort.Slice(differences, func(i, j int) bool { return differences[i].Field < differences[j].Field })
	return differences
}

// get returns a field's value and age. If the view lacks the field, it returns absent, unknownAge
// and false.
func (v View) get(field string) (value string, ageMs int64, ok bool) {
	value, ok = v.Fields[field]
	if !ok {
		return absent, unknownAge, false
	}
	return value, v.AgesMs[field], true
}

// wouldReport reports whether the daemon's status page lists fields of this kind. A router's
// lists only the epoch, primary, revision and leaving runners, a controller has no cache, and no
// daemon lists itself as a peer.
func (v View) wouldReport(field string) bool {
	kind, name, _ := strings.Cut(field, " ")
	if _, isController := v.Fields[replicasField]; !isController {
		return kind == epochField || kind == primaryField || kind == revisionField || kind == leavingField
	}
	return kind != cacheField && !(kind == peerField && name == v.Name)
}
