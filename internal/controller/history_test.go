package controller

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// newPendingPrimary is a steward that serves, on a machine whose writes wait.
func newPendingPrimary(rows map[string]string) (*pendingHost, *Controller) {
	h := newPendingHost()
	// No order to runners is at stake here.
	h.rows[ordererRow] = testSelf.Name
	for key, text := range rows {
		h.rows[key] = text
	}
	s := New(Settings{Self: testSelf}, versionFormat{})
	s.BecamePrimary(h)
	return h, s
}

// chain accepts versions 1 to last, each on top of the one before.
func chain(h *pendingHost, s *Controller, last uint64) {
	for version := s.config.active.version + 1; version <= last; version++ {
		s.HandleInput(h, chained(1000+version, version))
		h.end(true)
	}
}

func chained(id, version uint64) SubmitConfig {
	return SubmitConfig{ID: id, BaseVersion: version - 1, Text: fmt.Sprintf("version %d", version)}
}

// lastTold gives the answer to an order that is not written, in words.
func lastTold(h *pendingHost, s *Controller, in SubmitConfig) string {
	delete(h.told, in.ID)
	s.HandleInput(h, in)
	return strings.Join(h.told[in.ID], ", ")
}

// Each of hundreds of accepted orders is acknowledged again, also at the next
// primary.
func TestEachAcceptedOrderIsAcknowledgedAgain(t *testing.T) {
	const accepted = 700
	h, s := newPendingPrimary(nil)
	chain(h, s, accepted)
	next := New(Settings{Self: testSelf}, versionFormat{})
	next.BecamePrimary(h)
	for version := uint64(1); version <= accepted; version++ {
		for _, primary := range []*Controller{s, next} {
			qt.Assert(t, lastTold(h, primary, chained(1, version)), qt.Equals, fmt.Sprintf("taken %d", version))
		}
	}
	qt.Assert(t, h.writes, qt.HasLen, 0)
	qt.Assert(t, h.counts[countRepeated], qt.Equals, 2*accepted)
}

// An order that is older than what is kept gets no clear answer, and what is
// kept stays bounded.
func TestHistoryIsBounded(t *testing.T) {
	const most, accepted = 5, 12
	const first = uint64(accepted - most + 1)
	h, s := newPendingPrimary(nil)
	s.submissions.maxHistory = most
	chain(h, s, accepted)
	for version := uint64(1); version <= accepted; version++ {
		want := string(errkind.AcceptanceUnknown) + " 12"
		if version >= first {
			want = fmt.Sprintf("taken %d", version)
		}
		qt.Check(t, lastTold(h, s, chained(1, version)), qt.Equals, want)
	}
	rows := 0
	for key, text := range h.rows {
		if strings.HasPrefix(key, successorPrefix) && text != "" {
			rows++
		}
	}
	qt.Assert(t, rows, qt.Equals, most)
	qt.Assert(t, h.counts[countTooOld], qt.Equals, int(first-1))
	// What can't be read was never accepted, however old.
	qt.Assert(t, lastTold(h, s, SubmitConfig{ID: 1, BaseVersion: 2, Text: "nonsense"}), qt.Equals, string(errkind.FaultyDescription))
}

// A bound that was lowered takes all surplus rows away with the next order.
func TestHistoryShrinks(t *testing.T) {
	h, s := newPendingPrimary(nil)
	chain(h, s, 9)
	s.submissions.maxHistory = 3
	chain(h, s, 10)
	qt.Assert(t, lastTold(h, s, chained(1, 8)), qt.Equals, "taken 8")
	qt.Assert(t, lastTold(h, s, chained(1, 7)), qt.Equals, string(errkind.AcceptanceUnknown)+" 10")
	qt.Assert(t, readHistoryRange(h, 10), qt.Equals, historyRange{OldestBase: 7, Count: 3})
}

// An accepted order writes a few short rows beside the map, however many were
// accepted before.
func TestAnOrderWritesFewBytes(t *testing.T) {
	h, s := newPendingPrimary(nil)
	chain(h, s, 500)
	s.HandleInput(h, chained(1, 501))
	bytes := 0
	for _, key := range h.writes[0].keys {
		if key != configRow {
			bytes += len(key) + len(h.rows[key])
		}
	}
	qt.Assert(t, len(h.writes[0].keys), qt.Equals, 3)
	qt.Assert(t, bytes < 200, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

// What an earlier release kept is read once: its orders are acknowledged
// again, and what it forgot gets no clear answer.
func TestHistoryOfAnEarlierRelease(t *testing.T) {
	_, old := newPendingPrimary(nil)
	var legacy []legacyAcceptance
	for version := uint64(200); version <= 327; version++ {
		legacy = append(legacy, legacyAcceptance{Sum: chained(1, version).sum(), Version: version})
	}
	text, err := json.Marshal(legacy)
	qt.Assert(t, err, qt.IsNil)
	inForce, faults := old.buildConfig(SubmitConfig{Text: "version 327"})
	qt.Assert(t, faults, qt.HasLen, 0)
	h, s := newPendingPrimary(map[string]string{legacyRow: string(text), configRow: encodeRow(storedConfig{327, inForce.packed})})

	// Orders wait until the rows are safe.
	s.HandleInput(h, chained(1, 300))
	qt.Assert(t, h.told, qt.HasLen, 0)
	h.end(true)
	qt.Assert(t, h.told[1], qt.DeepEquals, []string{"taken 300"})
	qt.Assert(t, h.rows[legacyRow], qt.Equals, "")
	for version := uint64(201); version <= 327; version++ {
		qt.Assert(t, lastTold(h, s, chained(1, version)), qt.Equals, fmt.Sprintf("taken %d", version))
	}
	qt.Assert(t, lastTold(h, s, chained(1, 200)), qt.Equals, string(errkind.AcceptanceUnknown)+" 327")
	qt.Assert(t, lastTold(h, s, SubmitConfig{ID: 1, BaseVersion: 300, Text: "version 305"}), qt.Equals, string(errkind.StaleBase)+" 327")
	chain(h, s, 328)
	qt.Assert(t, lastTold(h, s, chained(1, 328)), qt.Equals, "taken 328")
	qt.Assert(t, readHistoryRange(h, 328), qt.Equals, historyRange{OldestBase: 200, Count: 128})
}

// What an earlier release kept can't be read: none of it is refused.
func TestUnreadableHistoryRefusesNothing(t *testing.T) {
	inForce, _ := New(Settings{Self: testSelf}, versionFormat{}).buildConfig(SubmitConfig{Text: "version 9"})
	kept := encodeRow(storedConfig{9, inForce.packed})
	for name, rows := range map[string]map[string]string{
		"list of an earlier release": {legacyRow: "[", configRow: kept},
		"history":                    {historyRow: "[", configRow: kept},
		"no history":                 {configRow: kept},
	} {
		t.Run(name, func(t *testing.T) {
			h, s := newPendingPrimary(rows)
			for len(h.writes) > 0 {
				h.end(true)
			}
			qt.Assert(t, lastTold(h, s, chained(1, 4)), qt.Equals, string(errkind.AcceptanceUnknown)+" 9")
			chain(h, s, 10)
			qt.Assert(t, lastTold(h, s, chained(1, 10)), qt.Equals, "taken 10")
			qt.Assert(t, lastTold(h, s, chained(1, 4)), qt.Equals, string(errkind.AcceptanceUnknown)+" 10")
		})
	}
}

// An order on top of a version that is yet to come is refused, and stays so
// when that version is in force and a copy of the order comes late.
func TestARefusedOrderStaysRefused(t *testing.T) {
	c := qt.New(t)
	stale := string(errkind.StaleBase)
	h, s := newPendingPrimary(nil)
	chain(h, s, 1)
	early := SubmitConfig{ID: 1, BaseVersion: 2, Text: "version 3 early"}
	s.HandleInput(h, early)
	c.Assert(h.told[1], qt.HasLen, 0, qt.Commentf("the refusal is told before it is safe"))
	h.end(true)
	c.Assert(h.told[1], qt.DeepEquals, []string{stale + " 1"})
	chain(h, s, 2)
	next := New(Settings{Self: testSelf}, versionFormat{})
	next.BecamePrimary(h)
	for _, primary := range []*Controller{s, next} {
		c.Assert(lastTold(h, primary, early), qt.Equals, stale+" 2")
	}
	c.Assert(h.writes, qt.HasLen, 0)
	// Another order on that version is taken, and then nothing of the refusal
	// needs to be kept.
	chain(h, s, 3)
	c.Assert(h.rows[rejectedRow], qt.Equals, "")
	c.Assert(lastTold(h, s, early), qt.Equals, stale+" 3")
}

// Refusals as stale are counted.
func TestStaleOrdersAreCounted(t *testing.T) {
	h, s := newPendingPrimary(nil)
	chain(h, s, 3)
	for id, base := range []uint64{0, 1, 2} {
		s.HandleInput(h, SubmitConfig{ID: uint64(id), BaseVersion: base, Text: "version 9"})
	}
	qt.Assert(t, h.counts[countStale], qt.Equals, 3)
}

// The copied state stays small enough for a snapshot in one message, beside the
// largest map.
func TestHistoryFitsASnapshot(t *testing.T) {
	row := encodeRow(successor{math.MaxUint64, protocol.Digest("")})
	bytes := maxHistory * (len(successorKey(math.MaxUint64)) + len(row) + len("state/kept/"))
	t.Logf("%d bytes", bytes)
	qt.Assert(t, bytes < protocol.MaxFrameBytes/4, qt.IsTrue)
}

// A refusal whose write has no known end is no clear answer.
func TestARefusalOfUnknownEnd(t *testing.T) {
	h, s := newPendingPrimary(nil)
	s.HandleInput(h, SubmitConfig{ID: 1, BaseVersion: 2, Text: "version 3"})
	h.end(false)
	qt.Assert(t, h.told[1], qt.DeepEquals, []string{string(errkind.AcceptanceUnknown)})
}

// The refusals that are kept are bounded; what finds no room is not refused.
func TestRefusalsAreBounded(t *testing.T) {
	h, s := newPendingPrimary(nil)
	for i := range uint64(maxRejections) {
		s.HandleInput(h, SubmitConfig{ID: i, BaseVersion: 7, Text: fmt.Sprintf("version 9 of %d", i)})
		h.end(true)
	}
	qt.Assert(t, lastTold(h, s, SubmitConfig{ID: 1, BaseVersion: 7, Text: "version 9"}), qt.Equals, string(errkind.NotAccepted))
	qt.Assert(t, h.writes, qt.HasLen, 0)
}

// A follower whose state changes elsewhere does not read the map anew.
func TestFollowerReadsAMapOnce(t *testing.T) {
	h, s := newPendingPrimary(nil)
	chain(h, s, 1)
	reads := &countingFormat{}
	follower := New(Settings{Self: testSelf}, reads)
	for range 3 {
		follower.StateChanged(h)
	}
	qt.Assert(t, reads.count, qt.Equals, 1)
	chain(h, s, 2)
	follower.StateChanged(h)
	qt.Assert(t, reads.count, qt.Equals, 2)
}

type countingFormat struct {
	versionFormat
	count int
}

func (f *countingFormat) Parse(text []byte) (*config.Configuration, []string) {
	f.count++
	return f.versionFormat.Parse(text)
}
