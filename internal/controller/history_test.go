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

// newPendingPrimary returns a primary on a host whose writes stay pending. The rows
// are part of the replicated state from the start.
func newPendingPrimary(rows map[string]string) (*pendingHost, *Controller) {
	h := newPendingHost()
	// With its own name in the row the primary need not claim the right to order.
	h.rows[ordererRow] = testSelf.Name
	for key, text := range rows {
		h.rows[key] = text
	}
	controller := New(Settings{Self: testSelf}, versionFormat{})
	controller.BecamePrimary(h)
	return h, controller
}

// acceptVersions accepts the versions up to last, each based on the one before.
func acceptVersions(h *pendingHost, controller *Controller, last uint64) {
	for version := controller.config.active.version + 1; version <= last; version++ {
		controller.HandleInput(h, submission(1000+version, version))
		h.endWrite(true)
	}
}

func submission(id, version uint64) SubmitConfig {
	return SubmitConfig{ID: id, BaseVersion: version - 1, Text: fmt.Sprintf("version %d", version)}
}

// submitAgain returns the reply to a submission that needs no write.
func submitAgain(h *pendingHost, controller *Controller, in SubmitConfig) string {
	delete(h.answered, in.ID)
	controller.HandleInput(h, in)
	return strings.Join(h.answered[in.ID], ", ")
}

// Each of hundreds of accepted submissions is acknowledged when it is repeated,
// also by the next primary.
func TestAcceptedSubmissionsAreAcknowledgedAgain(t *testing.T) {
	const accepted = 700
	h, controller := newPendingPrimary(nil)
	acceptVersions(h, controller, accepted)
	next := New(Settings{Self: testSelf}, versionFormat{})
	next.BecamePrimary(h)
	for version := uint64(1); version <= accepted; version++ {
		for _, primary := range []*Controller{controller, next} {
			qt.Assert(t, submitAgain(h, primary, submission(1, version)), qt.Equals, fmt.Sprintf("accepted %d", version))
		}
	}
	qt.Assert(t, h.writes, qt.HasLen, 0)
	qt.Assert(t, h.counts[countRepeated], qt.Equals, 2*accepted)
}

// A submission that is older than the history is rejected as unknown, and the
// history stays bounded.
func TestHistoryIsBounded(t *testing.T) {
	const limit, accepted = 5, 12
	const first = uint64(accepted - limit + 1)
	h, controller := newPendingPrimary(nil)
	controller.submissions.maxHistory = limit
	acceptVersions(h, controller, accepted)
	for version := uint64(1); version <= accepted; version++ {
		want := string(errkind.AcceptanceUnknown) + " 12"
		if version >= first {
			want = fmt.Sprintf("accepted %d", version)
		}
		qt.Check(t, submitAgain(h, controller, submission(1, version)), qt.Equals, want)
	}
	rows := 0
	for key, text := range h.rows {
		if strings.HasPrefix(key, successorPrefix) && text != "" {
			rows++
		}
	}
	qt.Assert(t, rows, qt.Equals, limit)
	qt.Assert(t, h.counts[countTooOld], qt.Equals, int(first-1))
	// A configuration with faults was never accepted, however old it is.
	qt.Assert(t, submitAgain(h, controller, SubmitConfig{ID: 1, BaseVersion: 2, Text: "nonsense"}), qt.Equals, string(errkind.FaultyDescription))
}

// After its limit was lowered, the history drops the excess entries with the next
// submission.
func TestLoweredHistoryLimitDropsSurplus(t *testing.T) {
	h, controller := newPendingPrimary(nil)
	acceptVersions(h, controller, 9)
	controller.submissions.maxHistory = 3
	acceptVersions(h, controller, 10)
	qt.Assert(t, submitAgain(h, controller, submission(1, 8)), qt.Equals, "accepted 8")
	qt.Assert(t, submitAgain(h, controller, submission(1, 7)), qt.Equals, string(errkind.AcceptanceUnknown)+" 10")
	qt.Assert(t, readHistoryRange(h, 10), qt.Equals, historyRange{OldestBase: 7, Count: 3})
}

// An accepted submission writes a few short rows beside the configuration,
// however many were accepted before.
func TestSubmissionWritesFewBytes(t *testing.T) {
	h, controller := newPendingPrimary(nil)
	acceptVersions(h, controller, 500)
	controller.HandleInput(h, submission(1, 501))
	bytes := 0
	for _, key := range h.writes[0].keys {
		if key != configRow {
			bytes += len(key) + len(h.rows[key])
		}
	}
	qt.Assert(t, len(h.writes[0].keys), qt.Equals, 3)
	qt.Assert(t, bytes < 200, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

// The list of an earlier release is migrated once: its submissions are
// acknowledged again, and older ones are rejected as unknown.
func TestHistoryOfEarlierReleaseIsMigrated(t *testing.T) {
	_, old := newPendingPrimary(nil)
	var legacy []legacyAcceptance
	for version := uint64(200); version <= 327; version++ {
		legacy = append(legacy, legacyAcceptance{Sum: submission(1, version).sum(), Version: version})
	}
	text, err := json.Marshal(legacy)
	qt.Assert(t, err, qt.IsNil)
	active, rejection := old.buildConfig(SubmitConfig{Text: "version 327"})
	qt.Assert(t, rejection, qt.IsNil)
	h, controller := newPendingPrimary(map[string]string{legacyRow: string(text), configRow: encodeRow(storedConfig{327, active.packed})})

	// Submissions wait until the migration is committed.
	controller.HandleInput(h, submission(1, 300))
	qt.Assert(t, h.answered, qt.HasLen, 0)
	h.endWrite(true)
	qt.Assert(t, h.answered[1], qt.DeepEquals, []string{"accepted 300"})
	qt.Assert(t, h.rows[legacyRow], qt.Equals, "")
	for version := uint64(201); version <= 327; version++ {
		qt.Assert(t, submitAgain(h, controller, submission(1, version)), qt.Equals, fmt.Sprintf("accepted %d", version))
	}
	qt.Assert(t, submitAgain(h, controller, submission(1, 200)), qt.Equals, string(errkind.AcceptanceUnknown)+" 327")
	qt.Assert(t, submitAgain(h, controller, SubmitConfig{ID: 1, BaseVersion: 300, Text: "version 305"}), qt.Equals, string(errkind.StaleBase)+" 327")
	acceptVersions(h, controller, 328)
	qt.Assert(t, submitAgain(h, controller, submission(1, 328)), qt.Equals, "accepted 328")
	qt.Assert(t, readHistoryRange(h, 328), qt.Equals, historyRange{OldestBase: 200, Count: 128})
}

// If the history is unreadable, old submissions are rejected as unknown rather than
// as stale.
func TestUnreadableHistoryRejectsAsUnknown(t *testing.T) {
	active, _ := New(Settings{Self: testSelf}, versionFormat{}).buildConfig(SubmitConfig{Text: "version 9"})
	kept := encodeRow(storedConfig{9, active.packed})
	for name, rows := range map[string]map[string]string{
		"list of an earlier release": {legacyRow: "[", configRow: kept},
		"history":                    {historyRow: "[", configRow: kept},
		"no history":                 {configRow: kept},
	} {
		t.Run(name, func(t *testing.T) {
			h, controller := newPendingPrimary(rows)
			for len(h.writes) > 0 {
				h.endWrite(true)
			}
			qt.Assert(t, submitAgain(h, controller, submission(1, 4)), qt.Equals, string(errkind.AcceptanceUnknown)+" 9")
			acceptVersions(h, controller, 10)
			qt.Assert(t, submitAgain(h, controller, submission(1, 10)), qt.Equals, "accepted 10")
			qt.Assert(t, submitAgain(h, controller, submission(1, 4)), qt.Equals, string(errkind.AcceptanceUnknown)+" 10")
		})
	}
}

// A submission whose base version has not been active yet is rejected. It stays
// rejected if a duplicate of it is delivered late, when that version is active.
func TestRejectedSubmissionStaysRejected(t *testing.T) {
	c := qt.New(t)
	h, controller := newPendingPrimary(nil)
	acceptVersions(h, controller, 1)
	early := SubmitConfig{ID: 1, BaseVersion: 2, Text: "version 3 early"}
	controller.HandleInput(h, early)
	c.Assert(h.answered[1], qt.HasLen, 0, qt.Commentf("the rejection is sent before it is committed"))
	h.endWrite(true)
	c.Assert(h.answered[1], qt.DeepEquals, []string{stale + " 1"})
	acceptVersions(h, controller, 2)
	next := New(Settings{Self: testSelf}, versionFormat{})
	next.BecamePrimary(h)
	for _, primary := range []*Controller{controller, next} {
		c.Assert(submitAgain(h, primary, early), qt.Equals, stale+" 2")
	}
	c.Assert(h.writes, qt.HasLen, 0)
	// Once another submission with that base is accepted, the rejection need not
	// be kept.
	acceptVersions(h, controller, 3)
	c.Assert(h.rows[rejectedRow], qt.Equals, "")
	c.Assert(submitAgain(h, controller, early), qt.Equals, stale+" 3")
}

// Submissions rejected as stale are counted.
func TestStaleSubmissionsAreCounted(t *testing.T) {
	h, controller := newPendingPrimary(nil)
	acceptVersions(h, controller, 3)
	for id, base := range []uint64{0, 1, 2} {
		controller.HandleInput(h, SubmitConfig{ID: uint64(id), BaseVersion: base, Text: "version 9"})
	}
	qt.Assert(t, h.counts[countStale], qt.Equals, 3)
}

// A snapshot of the replicated state is one message, which must hold the largest
// configuration too. A full history takes less than a quarter of it.
func TestHistoryFitsInSnapshot(t *testing.T) {
	row := encodeRow(successor{math.MaxUint64, protocol.Digest("")})
	bytes := maxHistory * (len(successorKey(math.MaxUint64)) + len(row) + len("state/kept/"))
	t.Logf("%d bytes", bytes)
	qt.Assert(t, bytes < protocol.MaxMessageBytes/4, qt.IsTrue)
}

// If it is unknown whether a rejection was committed, the submission is rejected as
// unknown.
func TestRejectionWithUnknownCommit(t *testing.T) {
	h, controller := newPendingPrimary(nil)
	controller.HandleInput(h, SubmitConfig{ID: 1, BaseVersion: 2, Text: "version 3"})
	h.endWrite(false)
	qt.Assert(t, h.answered[1], qt.DeepEquals, []string{string(errkind.AcceptanceUnknown)})
}

// The number of recorded rejections is bounded. One more submission is rejected as not
// accepted, which is not final.
func TestRejectionsAreBounded(t *testing.T) {
	h, controller := newPendingPrimary(nil)
	for i := range uint64(maxRejections) {
		controller.HandleInput(h, SubmitConfig{ID: i, BaseVersion: 7, Text: fmt.Sprintf("version 9 of %d", i)})
		h.endWrite(true)
	}
	qt.Assert(t, submitAgain(h, controller, SubmitConfig{ID: 1, BaseVersion: 7, Text: "version 9"}), qt.Equals, string(errkind.NotAccepted))
	qt.Assert(t, h.writes, qt.HasLen, 0)
}

// A follower does not parse the configuration again when other rows change.
func TestFollowerParsesConfigOnce(t *testing.T) {
	h, controller := newPendingPrimary(nil)
	acceptVersions(h, controller, 1)
	reads := &countingFormat{}
	follower := New(Settings{Self: testSelf}, reads)
	for range 3 {
		follower.StateChanged(h)
	}
	qt.Assert(t, reads.count, qt.Equals, 1)
	acceptVersions(h, controller, 2)
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
