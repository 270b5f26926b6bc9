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
	ElectionTimeoutMs int64
	// PreVoteMs is how long they have to answer.
	PreVoteMs int64
	// BallotTimeoutMs bounds each half of an election: the promises, the record.
	BallotTimeoutMs int64
	// RequestRetryMs passes until an unanswered question of an election is repeated.
	RequestRetryMs int64
	// AppendIntervalMs passes between two words of the primary to a follower.
	AppendIntervalMs int64
	// AppendRetryMs is how long a change or a snapshot may stay unacknowledged before
	// it is sent again.
	AppendRetryMs int64
	// DiskStallMs is how long a disk may take for a write before its daemon does not
	// count as a copy.
	DiskStallMs int64
}

// usualCatchUpMs is the catch-up time for which the usual waits were chosen: in
// it a lost member's part is taken by another, so that the next may be lost.
const usualCatchUpMs = 4000

var usualTiming = Timing{
	LeaseMs: 1500, RenewMs: 300, ElectionTimeoutMs: 1000, PreVoteMs: 300, BallotTimeoutMs: 800, RequestRetryMs: 150,
	AppendIntervalMs: 300, AppendRetryMs: 900, DiskStallMs: 1500,
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
		LeaseMs: part(usualTiming.LeaseMs), RenewMs: part(usualTiming.RenewMs), ElectionTimeoutMs: part(usualTiming.ElectionTimeoutMs),
		PreVoteMs: part(usualTiming.PreVoteMs), BallotTimeoutMs: part(usualTiming.BallotTimeoutMs), RequestRetryMs: part(usualTiming.RequestRetryMs),
		AppendIntervalMs: part(usualTiming.AppendIntervalMs), AppendRetryMs: part(usualTiming.AppendRetryMs), DiskStallMs: part(usualTiming.DiskStallMs),
	}
}

// stepMs is the time between two steps of a machine, by which each stage of a
// repair may be late.
const stepMs = 50

// RecoveryMs is the longest that the loss of the primary and of losses members in
// all takes until their parts are with others, from the moment of the loss: the
// primary is missed and the lease runs out, one election, then the copies and
// the votes one after the other. A sync takes syncMs, a message there and back
// roundTripMs; showMs and awayMs are those of Settings.
func (t Timing) RecoveryMs(losses int, syncMs, roundTripMs, showMs, awayMs int64) int64 {
	// The primary's last renewal may be granted right before it is lost; its last
	// word may be older. Who asks too early repeats its question.
	missedMs := t.ElectionTimeoutMs + t.PreVoteMs + 2*stepMs
	leaseMs := t.LeaseMs + t.RequestRetryMs + stepMs
	// A promise, the last record kept once more, the new one: each is synced by
	// the witnesses, with the member's own copy of the record before it in turn.
	electionMs := 3*(roundTripMs+2*syncMs) + stepMs
	recordMs := roundTripMs + 2*syncMs + stepMs
	copiesMs := showMs + stepMs + int64(losses)*recordMs
	// Each vote takes a record that changes the set and one that ends the change.
	votesMs := max(0, awayMs-copiesMs) + stepMs + int64(losses)*2*recordMs
	return max(missedMs, leaseMs) + electionMs + copiesMs + votesMs
}

// WitnessTimeoutFor is after how long a silent witness's vote passes to another, for a
// catch-up time, in ms. A moment's silence should not move it.
func WitnessTimeoutFor(catchUpMs int64) int64 {
	return max(TimingFor(catchUpMs).ElectionTimeoutMs, catchUpMs/4)
}

// ReplicaGraceFor is how long a recorded copy has to show itself to a new primary, for
// a catch-up time, in ms: one that lives answers in a few ms.
func ReplicaGraceFor(catchUpMs int64) int64 {
	return max(leastMs, min(usualShowMs, catchUpMs/10))
}

const usualShowMs = 400

// usualWitnessTimeoutMs is how long a witness is silent before another daemon
// takes its place, where nothing else is set.
const usualWitnessTimeoutMs = 30_000
