package consensus

// Timing holds the waits of election and replication, in ms.
type Timing struct {
	// LeaseMs is how long a primary may speak for the site after a majority of
	// the witnesses renewed its lease, counted from when the renewal was sent. A
	// witness that was restarted gives no vote for as long.
	LeaseMs int64
	// RenewMs passes between two renewals.
	RenewMs int64
	// TimeoutMs is how long a primary may be silent before peers are asked.
	MissMs int64
	// OpinionMs is how long they have to answer.
	OpinionMs int64
	// AttemptMs bounds each half of an election: the promises, the record.
	AttemptMs int64
	// RepeatMs passes until an unanswered question of an election is repeated.
	RepeatMs int64
	// FollowMs passes between two words of the primary to a follower.
	FollowMs int64
	// ResendMs is how long a change or a snapshot may stay unacknowledged before
	// it is sent again.
	ResendMs int64
	// StallMs is how long a disk may take for a write before its daemon does not
	// count as a copy.
	StallMs int64
}

// usualCatchUpMs is the catch-up time for which the usual waits were chosen: in
// it a lost member's part is taken by another, so that the next may be lost.
const usualCatchUpMs = 4000

var usualTiming = Timing{
	LeaseMs: 1500, RenewMs: 300, MissMs: 1000, OpinionMs: 300, AttemptMs: 800, RepeatMs: 150,
	FollowMs: 300, ResendMs: 900, StallMs: 1500,
}

// leastMs is the least of any wait: machines step each 50 ms.
const leastMs = 100

// TimingFor gives the waits for a catch-up time, in ms. Where there is more time
// than usual, nothing is gained by waiting longer.
func TimingFor(catchUpMs int64) Timing {
	if catchUpMs >= usualCatchUpMs || catchUpMs <= 0 {
		return usualTiming
	}
	part := func(usualMs int64) int64 { return max(leastMs, usualMs*catchUpMs/usualCatchUpMs) }
	return Timing{
		LeaseMs: part(usualTiming.LeaseMs), RenewMs: part(usualTiming.RenewMs), MissMs: part(usualTiming.MissMs),
		OpinionMs: part(usualTiming.OpinionMs), AttemptMs: part(usualTiming.AttemptMs), RepeatMs: part(usualTiming.RepeatMs),
		FollowMs: part(usualTiming.FollowMs), ResendMs: part(usualTiming.ResendMs), StallMs: part(usualTiming.StallMs),
	}
}

// stepMs is the time between two steps of a machine, by which each stage of a
// repair may be late.
const stepMs = 50

// RepairMs is the longest that the loss of the primary and of losses members in
// all takes until their parts are with others, from the moment of the loss: the
// primary is missed and the lease runs out, one election, then the copies and
// the votes one after the other. A sync takes syncMs, a message there and back
// roundTripMs; showMs and awayMs are those of Settings.
func (t Timing) RepairMs(losses int, syncMs, roundTripMs, showMs, awayMs int64) int64 {
	// The primary's last renewal may be granted right before it is lost; its last
	// word may be older. Who asks too early repeats its question.
	missedMs := t.MissMs + t.OpinionMs + 2*stepMs
	leaseMs := t.LeaseMs + t.RepeatMs + stepMs
	// A promise, the last record kept once more, the new one: each is synced by
	// the witnesses, with the member's own copy of the record before it in turn.
	electionMs := 3*(roundTripMs+2*syncMs) + stepMs
	recordMs := roundTripMs + 2*syncMs + stepMs
	copiesMs := showMs + stepMs + int64(losses)*recordMs
	// Each vote takes a record that changes the set and one that ends the change.
	votesMs := max(0, awayMs-copiesMs) + stepMs + int64(losses)*2*recordMs
	return max(missedMs, leaseMs) + electionMs + copiesMs + votesMs
}

// AwayMsFor is after how long a silent witness's vote passes to another, for a
// catch-up time, in ms. A moment's silence should not move it.
func AwayMsFor(catchUpMs int64) int64 {
	return max(TimingFor(catchUpMs).MissMs, catchUpMs/4)
}

// ShowMsFor is how long a recorded copy has to show itself to a new primary, for
// a catch-up time, in ms: one that lives answers in a few ms.
func ShowMsFor(catchUpMs int64) int64 {
	return max(leastMs, min(usualShowMs, catchUpMs/10))
}

const usualShowMs = 400
