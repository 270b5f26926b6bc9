// Package bounds holds the times and amounts that a deployment is run by.
// Whoever waits derives the wait from them.
package bounds

// Bounds are a deployment's figures; times are in milliseconds.
type Bounds struct {
	// SeedLagMs is how far operators' lists of controllers trail.
	SeedLagMs int64
	// ReuseAfterMs is how soon after a runner's end its address may be given
	// to another, also of another service.
	ReuseAfterMs int64
	// InTouchMs is how long all must have been calm around a machine before
	// the bounds below hold for it.
	InTouchMs int64
	// AckMs is the time within which a proper order of an operator must be
	// acknowledged.
	AckMs int64
	// CatchUpMs is how long after its start a new or emptied machine counts
	// as lost.
	CatchUpMs int64
	// DrainMs is how long after a runner's leaving is known requests may
	// still be sent to it.
	DrainMs int64
	// GraceMs is the time between SIGTERM and SIGKILL.
	GraceMs int64
	// LostSlackMs is by how much an answer may come late around planned work.
	LostSlackMs int64
	// ApplyByMs is the time within which an acknowledged map must be in force
	// everywhere in touch.
	ApplyByMs int64
	// GoBackMs is how long after a map took effect an older one may still be
	// followed by the same process.
	GoBackMs int64
	// StretchMs is by how much an unsettled core stretches ApplyByMs.
	StretchMs int64
	// RetryRatio is how many second sends there may be for each request of a
	// service, over all routers, in each RetryWindowMs, beside ExtraTries.
	RetryRatio    float64
	RetryWindowMs int64
	ExtraTries    int
	// RecoverMs is the time after a disaster by which requests are served.
	RecoverMs int64
	// PassMs is how long one event of a stream may take through a router.
	PassMs int64
	// Fenced says that runners refuse a fence lower than one they have seen.
	Fenced bool
	// LeaseMs must pass between orders of two holders to one runner.
	LeaseMs int64
	// ThawMs is for how long after a thaw or a heal late orders are excused.
	ThawMs int64
	// OriginWindowMs is the window in which loads from the weight store are
	// counted; OriginOver is the factor on the store's pace that they may
	// reach in it.
	OriginWindowMs int64
	OriginOver     float64
}
