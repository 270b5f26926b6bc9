package membership

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// witnessChange replaces the witness at an index of the list. The index after the last
// one adds a witness.
type witnessChange struct {
	index   int
	witness protocol.MemberID
	logLine string
}

// UnresponsiveWitnesses returns the witnesses that have not acknowledged anything to this
// primary for longer than the witness timeout.
func (v *View) UnresponsiveWitnesses() []protocol.MemberID {
	var unresponsive []protocol.MemberID
	for _, id := range v.Record.Witnesses {
		if v.sinceReplyMs(id) > v.WitnessTimeoutMs {
			unresponsive = append(unresponsive, id)
		}
	}
	return unresponsive
}

// sinceReplyMs returns how long ago, in ms, the daemon of a member last acknowledged
// something to this primary, whichever disk it has now. For a daemon that never did, it
// counts from when this daemon became the primary.
func (v *View) sinceReplyMs(id protocol.MemberID) int64 {
	if id == v.self() {
		return 0
	}
	lastContactMs := v.Primary.BeganMs
	if progress := v.Primary.Tracker.ByName(id.Name); progress != nil {
		lastContactMs = max(lastContactMs, progress.LastReplyMs)
	}
	return v.NowMs - lastContactMs
}

// witnessWithNewDisk returns the first witness whose daemon returned with another disk.
// That disk replaces the previous one as a witness.
func (v *View) witnessWithNewDisk() (witnessChange, bool) {
	for i, id := range v.Record.Witnesses {
		progress := v.Primary.Tracker.ByName(id.Name)
		if progress == nil || progress.Incarnation == id.Incarnation || v.NowMs-progress.LastReplyMs > v.LiveMs {
			continue
		}
		returned := protocol.MemberID{Name: id.Name, Incarnation: progress.Incarnation}
		return witnessChange{i, returned, logLinef("replacing the witness disk of %s with its new disk", id.Name)}, true
	}
	return witnessChange{}, false
}

// additionalWitness returns the addition of a witness if there are too few, because
// MaxLosses was raised after the site was bootstrapped.
func (v *View) additionalWitness() (witnessChange, bool) {
	have := len(v.Record.Witnesses)
	if have >= v.wantedWitnesses() {
		return witnessChange{}, false
	}
	id, ok := v.witnessCandidate()
	return witnessChange{have, id, logLinef("adding %s as a witness", id.Name)}, ok
}

// witnessesToReplace returns the unresponsive witnesses, then the first one whose daemon
// is shutting down as planned.
func (v *View) witnessesToReplace() []protocol.MemberID {
	replace := v.UnresponsiveWitnesses()
	leaving := slices.IndexFunc(v.Record.Witnesses, func(id protocol.MemberID) bool {
		return v.Primary.Tracker.Leaving(id) || id == v.self() && v.Leaving
	})
	if leaving >= 0 {
		replace = append(replace, v.Record.Witnesses[leaving])
	}
	return replace
}

// witnessCandidate returns a caught-up daemon that is not a witness.
func (v *View) witnessCandidate() (protocol.MemberID, bool) {
	for id := range v.availableControllers() {
		if !hasName(v.Record.Witnesses, id.Name) && v.caughtUp(id) {
			return id, true
		}
	}
	return protocol.MemberID{}, false
}

func (v *View) replaceWitness(previous, successor protocol.MemberID) witnessChange {
	logLine := logLinef("%s takes the place of witness %s, which is unresponsive or leaving", successor.Name, previous.Name)
	return witnessChange{slices.Index(v.Record.Witnesses, previous), successor, logLine}
}
