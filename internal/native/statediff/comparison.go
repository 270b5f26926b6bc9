// Package statediff sets side by side what two daemons believe.
package statediff

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// View is what one daemon believes: fields by name, with the age of what it
// was learnt from where the daemon tells one (-1 where not).
type View struct {
	Name   string
	Fields map[string]string
	AgesMs map[string]int64
}

// Difference is a field that two daemons see differently.
type Difference struct {
	Field      string `json:"field"`
	Left       string `json:"left"`
	Right      string `json:"right"`
	LeftAgeMs  int64  `json:"leftAgeMs"`
	RightAgeMs int64  `json:"rightAgeMs"`
}

const absent = "(none)"

// Read makes a belief of a daemon's status page.
func Read(text []byte) (View, error) {
	var part struct {
		Part string `json:"part"`
	}
	if err := json.Unmarshal(text, &part); err != nil {
		return View{}, err
	}
	b := View{Fields: map[string]string{}, AgesMs: map[string]int64{}}
	switch part.Part {
	case protocol.RoleController:
		var s controller.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return b, err
		}
		b.controller(s)
	case protocol.RoleRouter:
		var s router.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return b, err
		}
		b.router(s)
	default:
		return b, errors.Newf("not a daemon's status: part is %q", part.Part)
	}
	return b, nil
}

func (b *View) set(field, value string, ageMs int64) {
	b.Fields[field] = value
	b.AgesMs[field] = ageMs
}

func memberList(list []protocol.MemberID) string {
	var names []string
	for _, seat := range list {
		names = append(names, seat.Name+"/"+seat.Incarnation)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

func (b *View) leaving(marks []protocol.LeavingRunner) {
	for _, mark := range marks {
		b.set("leaving "+mark.Runner+"/"+mark.Incarnation, "yes", -1)
	}
}

func (b *View) controller(s controller.Status) {
	b.Name = s.Name
	ageMs := int64(-1)
	for _, peer := range s.Peers {
		b.set("roster "+peer.Name, peer.Address+" "+peer.Incarnation, peer.AgoMs)
		if peer.Name == s.Record.Primary {
			ageMs = peer.AgoMs
		}
	}
	b.set("epoch", fmt.Sprint(s.Record.Epoch), ageMs)
	b.set("primary", s.Record.Primary, ageMs)
	b.set("pair", memberList(s.Record.Replicas), ageMs)
	b.set("witnesses", memberList(s.Record.Witnesses), ageMs)
	b.set("revision", fmt.Sprint(s.Revision), ageMs)
	for _, row := range s.Rows {
		var held []string
		for item, h := range row.Held {
			held = append(held, fmt.Sprintf("%s=%d", item, h.Size))
		}
		sort.Strings(held)
		b.set("row "+row.Runner+" incarnation", row.Incarnation, ageMs)
		b.set("row "+row.Runner+" held", strings.Join(held, " "), ageMs)
		if row.Order != nil {
			b.set("row "+row.Runner+" order", fmt.Sprintf("%d %s %s %s", row.Order.Number, row.Order.Action, row.Order.Model, row.Order.Adapter), ageMs)
		}
	}
	b.leaving(s.Leaving)
}

func (b *View) router(s router.Status) {
	b.Name = s.Name
	b.set("epoch", fmt.Sprint(s.Epoch), s.WordMs)
	b.set("primary", s.Primary, s.WordMs)
	b.set("revision", fmt.Sprint(s.Revision), s.WordMs)
	for _, entry := range s.Cache {
		b.set("entry "+entry.Key, strings.Join(entry.Runners, " "), entry.AgeMs)
	}
	b.leaving(s.Leaving)
}

// Compare lists the differences in order of field. A field that only daemons
// of one part have is no difference to one of another part; the roster's own
// line and what a router was never asked for are not either.
func Compare(left, right View) []Difference {
	var out []Difference
	names := map[string]bool{}
	for name := range left.Fields {
		names[name] = true
	}
	for name := range right.Fields {
		names[name] = true
	}
	for name := range names {
		l, inLeft := left.Fields[name]
		r, inRight := right.Fields[name]
		if l == r && inLeft == inRight {
			continue
		}
		if !inLeft || !inRight {
			if !left.wouldReport(name) || !right.wouldReport(name) {
				continue
			}
		}
		d := Difference{Field: name, Left: l, Right: r, LeftAgeMs: -1, RightAgeMs: -1}
		if inLeft {
			d.LeftAgeMs = left.AgesMs[name]
		} else {
			d.Left = absent
		}
		if inRight {
			d.RightAgeMs = right.AgesMs[name]
		} else {
			d.Right = absent
		}
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}

// wouldReport says whether a daemon that lacks the field would have it if it
// believed it.
func (b View) wouldReport(field string) bool {
	kind, rest, _ := strings.Cut(field, " ")
	if _, controller := b.Fields["pair"]; !controller {
		return kind == "epoch" || kind == "primary" || kind == "revision" || kind == "leaving"
	}
	return kind != "entry" && !(kind == "roster" && rest == b.Name)
}
