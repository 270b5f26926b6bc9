package faultsim

// InjectedBugs are deliberate faults in the system itself. Only tests set them, to show that the
// check of a rule detects a system that violates the rule.
type InjectedBugs struct {
	// ResendUnsafe makes routers resend lost requests that must not be repeated.
	ResendUnsafe bool
	// RejectLost makes routers reject requests whose response from a runner was lost, as if they
	// had not run.
	RejectLost bool
	// HideDraining hides from the system that runners are draining.
	HideDraining bool
	// LoseSyncedWrites makes disks confirm writes that never become durable.
	LoseSyncedWrites bool
	// AcknowledgeEarly acknowledges configurations before any replica has them.
	AcknowledgeEarly bool
	// RouteByFirstConfig makes routers use the first configuration for some requests.
	RouteByFirstConfig bool
	// WithholdConfig withholds every configuration after the first from routers.
	WithholdConfig bool
	// RetryWithoutBudget makes routers retry without consulting the retry budget.
	RetryWithoutBudget bool
	// ReuseFence makes all controllers send orders with the same fencing token.
	ReuseFence bool
	// IgnoreExpectedCount makes runners accept an order whose expected count of accepted
	// orders differs from the runner's, and delivers each order twice.
	IgnoreExpectedCount bool
	// OverstateCapacity doubles the capacity of runners in the configuration.
	OverstateCapacity bool
	// OverstateStoreRate treats the load rate that the configuration states for the weight store as
	// too high: the check allows only a twentieth of it.
	OverstateStoreRate bool
	// DuplicateLookUp makes routers look up each request twice.
	DuplicateLookUp bool
	// NeverHeal leaves controllers and routers disconnected from each other after a disaster.
	NeverHeal bool
	// SkipChunk loses a chunk where a stream is resumed.
	SkipChunk bool
	// CompleteCutStreams makes routers end a stream as complete where its runner cut it.
	CompleteCutStreams bool
	// IgnoreDiskFailure keeps a process running after a failed write without reopening its disk.
	IgnoreDiskFailure bool
	// WrongService sends some requests to a runner of another service.
	WrongService bool
	// DenyKnown gives rejections the error kind for an unknown page, also where the configuration
	// has a route for the request.
	DenyKnown bool
	// IgnoreShutdown hides the start of a graceful shutdown from routers.
	IgnoreShutdown bool
	// OmitRetryAfter omits the retry delay from rejections.
	OmitRetryAfter bool
	// AnswerTwice sends a second response to rejected requests.
	AnswerTwice bool
	// DeferDiskWrites makes disks confirm writes before they are durable; a loss of power loses the
	// latest of them.
	DeferDiskWrites bool
	// ForgetAccepted makes controllers forget which submissions were accepted.
	ForgetAccepted bool
	// IgnoreBase accepts submissions whatever version they are based on.
	IgnoreBase bool
	// StaleRead makes every controller respond to reads from its own replica, which may be stale.
	StaleRead bool
	// StaleRejection makes every controller reject submissions by comparing their base with its own
	// replica, which may be stale.
	StaleRejection bool
}
