package consensus

// Timing holds the timeouts and intervals of election and replication, in ms. TimingFor
// returns the Timing for a catch-up time. All members of a site must have the same Timing.
type Timing struct {
	// LeaseMs is how long a primary may serve after a majority of the witnesses
	// renewed its lease, counted from when the renewal was sent. A restarted witness
	// promises nothing to other candidates for that time.
	LeaseMs int64
	// RenewMs is the interval between two renewals.
	RenewMs int64
	// ElectionTimeoutMs is how long a primary may be unresponsive before a replica asks
	// its peers whether they have lost contact with it as well (pre-vote).
	ElectionTimeoutMs int64
	// PreVoteMs is how long the peers have to reply to a pre-vote.
	PreVoteMs int64
	// BallotTimeoutMs bounds each of the two phases of a ballot, prepare and
	// accept.
	BallotTimeoutMs int64
	// RequestRetryMs is how long a request to a witness waits for a reply before it is
	// sent again.
	RequestRetryMs int64
	// AppendIntervalMs is the interval between two appends of the primary to a follower
	// that is up to date.
	AppendIntervalMs int64
	// AppendRetryMs is how long a change or a snapshot may stay unacknowledged before
	// it is sent again.
	AppendRetryMs int64
	// DiskStallMs is how long a disk may take for a write before its daemon no longer
	// counts as a reliable replica.
	DiskStallMs int64
}

// defaultCatchUpMs is the catch-up time that belongs to defaultTiming. Within the catch-up
// time another member replaces a lost member, so that the next member may be lost.
const defaultCatchUpMs = 4000

var defaultTiming = Timing{
	LeaseMs: 1500, RenewMs: 300, ElectionTimeoutMs: 1000, PreVoteMs: 300, BallotTimeoutMs: 800, RequestRetryMs: 150,
	AppendIntervalMs: 300, AppendRetryMs: 900, DiskStallMs: 1500,
}

// minWaitMs is the lower bound of each timeout and interval, because machines tick every 50 ms.
const minWaitMs = 100

// TimingFor returns the timeouts and intervals for a catch-up time, in ms. A catch-up time
// longer than the default doesn't lengthen them.
func TimingFor(catchUpMs int64) Timing {
	if catchUpMs >= defaultCatchUpMs || catchUpMs <= 0 {
		return defaultTiming
	}
	scale := func(defaultMs int64) int64 { return max(minWaitMs, defaultMs*catchUpMs/defaultCatchUpMs) }
	return Timing{
		LeaseMs: scale(defaultTiming.LeaseMs), RenewMs: scale(defaultTiming.RenewMs), ElectionTimeoutMs: scale(defaultTiming.ElectionTimeoutMs),
		PreVoteMs: scale(defaultTiming.PreVoteMs), BallotTimeoutMs: scale(defaultTiming.BallotTimeoutMs), RequestRetryMs: scale(defaultTiming.RequestRetryMs),
		AppendIntervalMs: scale(defaultTiming.AppendIntervalMs), AppendRetryMs: scale(defaultTiming.AppendRetryMs), DiskStallMs: scale(defaultTiming.DiskStallMs),
	}
}

// tickMs is the time between two ticks of a machine, which may delay each stage of a
// recovery.
const tickMs = 50

// RecoveryMs returns the longest time from the loss of the primary until other members have
// replaced all lost members. losses is the number of lost members, including the primary.
// The stages follow each other: the later of the election timeout and the expiry of the
// lease, one election, the replacement of the replicas, and the replacement of the
// witnesses. A write takes syncMs. A message and its reply take roundTripMs. replicaGraceMs
// and witnessTimeoutMs are the values in Settings.
func (t Timing) RecoveryMs(losses int, syncMs, roundTripMs, replicaGraceMs, witnessTimeoutMs int64) int64 {
	// The primary's last renewal may be granted right before it is lost; its last
	// append may be older. A pre-vote that ends before the peers have lost contact is
	// repeated.
	detectionMs := t.ElectionTimeoutMs + t.PreVoteMs + 2*tickMs
	leaseMs := t.LeaseMs + t.RequestRetryMs + tickMs
	// An election has three rounds: a promise, the last record accepted again, and the new
	// record. In each round the witnesses write a row. This write may have to wait for the
	// member's own write of the previous record.
	electionMs := 3*(roundTripMs+2*syncMs) + tickMs
	recordMs := roundTripMs + 2*syncMs + tickMs
	replicasMs := replicaGraceMs + tickMs + int64(losses)*recordMs
	// Each replaced witness needs a record that changes the set and one that ends the
	// change.
	witnessesMs := max(0, witnessTimeoutMs-replicasMs) + tickMs + int64(losses)*2*recordMs
	return max(detectionMs, leaseMs) + electionMs + replicasMs + witnessesMs
}

// WitnessTimeoutFor returns Settings.WitnessTimeoutMs for a catch-up time, in ms. A witness
// that is unresponsive only briefly should not be replaced.
func WitnessTimeoutFor(catchUpMs int64) int64 {
	return max(TimingFor(catchUpMs).ElectionTimeoutMs, catchUpMs/4)
}

// ReplicaGraceFor returns Settings.ReplicaGraceMs for a catch-up time, in ms. A replica
// that is alive acknowledges an append within a few ms.
func ReplicaGraceFor(catchUpMs int64) int64 {
	return max(minWaitMs, min(maxReplicaGraceMs, catchUpMs/10))
}

const maxReplicaGraceMs = 400

// defaultWitnessTimeoutMs is the default of Settings.WitnessTimeoutMs.
const defaultWitnessTimeoutMs = 30_000
