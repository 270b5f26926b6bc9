package faultsim

// InjectedBugs are deliberate faults of the system itself. Tests set them to
// show that a rule's check detects a system that breaks the rule; otherwise
// none is ever set.
type InjectedBugs struct {
	// ResendUnsafe makes routers resend lost requests that must not be repeated.
	ResendUnsafe bool
	// RejectLost makes routers reject requests that were lost at a runner.
	RejectLost bool
	// HideDraining hides from the system that runners are draining.
	HideDraining bool
	// LoseSyncedWrites makes disks confirm writes that they then lose.
	LoseSyncedWrites bool
	// AcknowledgeEarly acknowledges configurations before any replica has them.
	AcknowledgeEarly bool
	// RouteByFirstConfig makes routers at times use the first configuration.
	RouteByFirstConfig bool
	// WithholdConfig keeps from routers every configuration after the first.
	WithholdConfig bool
	// RetryWithoutBudget makes routers retry without asking the retry budget.
	RetryWithoutBudget bool
	// ReuseFence makes all controllers send orders with the same fencing token.
	ReuseFence bool
	// IgnoreExpectedCount makes runners accept an order whatever number of
	// earlier orders it expects, and delivers orders twice.
	IgnoreExpectedCount bool
	// OverstateCapacity tells the system twice the capacity that runners have.
	OverstateCapacity bool
	// OverstateStoreRate makes the check assume a twentieth of the load rate that
	// the configuration states for the weight store.
	OverstateStoreRate bool
	// DuplicateLookUp makes routers look each request up twice.
	DuplicateLookUp bool
	// NeverHeal leaves controllers and routers disconnected after a disaster.
	NeverHeal bool
	// SkipChunk loses a chunk where a stream is resumed.
	SkipChunk bool
	// IgnoreDiskFailure keeps a process running without its disk after a failed
	// write.
	IgnoreDiskFailure bool
	// WrongService sends some requests to a runner of another service.
	WrongService bool
	// DenyKnown answers requests for what the configuration has as unknown.
	DenyKnown bool
	// IgnoreShutdown keeps from routers that they are to stop.
	IgnoreShutdown bool
	// OmitRetryAfter leaves out of rejections when to retry.
	OmitRetryAfter bool
	// AnswerTwice gives rejected requests a second answer.
	AnswerTwice bool
	// DeferDiskWrites makes disks confirm writes early; a loss of power takes the
	// latest of them back.
	DeferDiskWrites bool
	// ForgetAccepted makes controllers forget which submissions were accepted.
	ForgetAccepted bool
	// IgnoreBase accepts submissions whatever version they are based on.
	IgnoreBase bool
	// StaleRead makes every controller answer reads from its own replica.
	StaleRead bool
	// StaleRejection makes every controller reject submissions by its own replica.
	StaleRejection bool
}
