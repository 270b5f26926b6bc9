package nativesim

// Bugs are deliberate faults of the system itself. Tests set them to show that
// a rule fires; nothing else does.
type Bugs struct {
	// SkipSocketCheck makes daemons send without the check at the socket that
	// their permission still holds.
	SkipSocketCheck bool
	// LoseWrites makes disks report writes as synced that they lose.
	LoseWrites bool
	// RetryLost makes routers retry lost requests even if they are not
	// repeatable.
	RetryLost bool
	// HolderGapMs replaces the gap between the orders of two lease holders.
	HolderGapMs int64
	// HideRenewals makes routers keep from the primary which renewals they gave
	// to their peers.
	HideRenewals bool
	// RunDropped tells clients of a drop and runs the request all the same.
	RunDropped bool
	// EndBrokenStreams makes routers end a broken stream as if it were whole.
	EndBrokenStreams bool
	// InvertOutcomes tells operators the opposite of what became of a
	// description.
	InvertOutcomes bool
	// IgnoreFencing makes runners accept late orders of earlier lease holders.
	IgnoreFencing bool
	// SendOldRevision makes routers send under the first revision at times.
	SendOldRevision bool
	// ForgetLeases makes frozen daemons believe that no time has passed.
	ForgetLeases bool
}
