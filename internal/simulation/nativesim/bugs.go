package nativesim

// Bugs are deliberate defects of the system. Only tests set them, to show that
// the checker detects a violation of each rule.
type Bugs struct {
	// SkipSocketCheck makes daemons write to a socket without checking, at that
	// moment, that the write is still permitted.
	SkipSocketCheck bool
	// LoseWrites makes disks report writes as synced although they lose them.
	LoseWrites bool
	// RetryLost makes routers retry requests whose response was lost even if they
	// are not idempotent.
	RetryLost bool
	// HolderGapMs replaces the minimum time between the orders of two lease
	// holders, unless it is 0.
	HolderGapMs int64
	// HideRenewals makes routers report to the primary no leases that they
	// extended for their peers.
	HideRenewals bool
	// RunRejected makes routers send a client an error that promises that the
	// request did not run, although it does run.
	RunRejected bool
	// EndBrokenStreams makes routers end a broken stream as if it were complete.
	EndBrokenStreams bool
	// InvertOutcomes reports accepted descriptions to operators as rejected, and
	// rejected ones as accepted.
	InvertOutcomes bool
	// IgnoreFencing keeps runners from raising their epoch when a new lease holder
	// reads their report, so that they accept delayed orders of an earlier one.
	IgnoreFencing bool
	// SendStaleRevision makes routers send some requests under the first revision.
	SendStaleRevision bool
	// StopFrozenClocks stops the clocks of frozen daemons, so that they do not notice
	// that their leases expired.
	StopFrozenClocks bool
}
