package membership

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/protocol"
)

// Planner plans the next record of a primary. The zero value is ready to use.
type Planner struct {
	// reportedWitness is the witness that Next last logged as unresponsive or leaving and
	// without a replacement. It keeps Next from logging the same witness again.
	reportedWitness string
}

// Plan is the next record to propose, if any.
type Plan struct {
	// Record is the next record, to be proposed if Change is true.
	Record protocol.EpochRecord
	Change bool
	// LogLine is empty if there is nothing new to log. It may be set without a change.
	LogLine string
}

// Next plans the record that follows the view's. It changes one member at a time.
// Replicas go first, because without enough of them no write is committed. A change of
// the witnesses needs a majority of the previous set as well as of the new one. So each
// later candidate learns of the change from some witness, whichever set it knows.
func (p *Planner) Next(v *View) Plan {
	next := v.Record
	next.Epoch++
	next.Before = v.Record.Witnesses
	if change, ok := v.nextReplicas(); ok {
		next.Replicas, next.Gone = change.replicas, change.gone
		return Plan{Record: next, Change: true, LogLine: change.logLine}
	}
	// The record with the new set of witnesses was chosen, so the previous set need not
	// agree any more.
	if v.witnessSetChanging() {
		return Plan{Record: next, Change: true}
	}
	change, warning, ok := p.nextWitness(v)
	if !ok {
		return Plan{LogLine: warning}
	}
	next.Witnesses, next.Gone = change.apply(v.Record)
	return Plan{Record: next, Change: true, LogLine: change.logLine}
}

// nextWitness returns the change that the witnesses need, if any. Otherwise it may return
// a warning, once, about an unresponsive or leaving witness without a replacement.
func (p *Planner) nextWitness(v *View) (change witnessChange, warning string, ok bool) {
	if change, ok = v.witnessWithNewDisk(); ok {
		return change, "", true
	}
	if change, ok = v.additionalWitness(); ok {
		return change, "", true
	}
	replace := v.witnessesToReplace()
	if len(replace) == 0 {
		p.reportedWitness = ""
		return witnessChange{}, "", false
	}
	if successor, found := v.witnessCandidate(); found {
		return v.replaceWitness(replace[0], successor), "", true
	}
	if p.reportedWitness == replace[0].Name {
		return witnessChange{}, "", false
	}
	p.reportedWitness = replace[0].Name
	warning = logLinef("witness %s is unresponsive or leaving and no other controller can replace it; the loss of another witness may leave no majority", p.reportedWitness)
	return witnessChange{}, warning, false
}

// logLinef formats a line for the log.
func logLinef(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// apply returns the witnesses after the change, and the disks that will never
// return: a daemon that returned with another disk has lost its previous one.
func (c witnessChange) apply(record protocol.EpochRecord) (witnesses, gone []protocol.MemberID) {
	witnesses, gone = slices.Clone(record.Witnesses), record.Gone
	if c.index == len(witnesses) {
		return append(witnesses, c.witness), gone
	}
	if previous := witnesses[c.index]; previous.Name == c.witness.Name {
		gone = record.GoneWith(previous)
	}
	witnesses[c.index] = c.witness
	return witnesses, gone
}
