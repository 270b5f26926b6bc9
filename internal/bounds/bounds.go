// Package bounds holds the time limits and amounts that a deployment is run by.
// Every wait and time-out on the users' platform's path is derived from them.
package bounds

// Bounds are the figures of a deployment. Each field has the name of the setting
// under "bounds" that it is read from; all times are in milliseconds. The platform
// gives the figures. Which of them are required, and the defaults of the others,
// is said in package platform.
type Bounds struct {
	// SeedLagMs is by how much the lists of controllers that operators keep may
	// be outdated.
	SeedLagMs int64
	// ReuseAfterMs is how soon after a runner's end its address may be given to
	// another runner, also to one of another service.
	ReuseAfterMs int64
	// InTouchMs is how long there must have been no fault around a machine
	// before the guarantees below hold for it.
	InTouchMs int64
	// AckMs is the time within which a valid submission of an operator must be
	// acknowledged.
	AckMs int64
	// CatchUpMs is for how long after its start a new or emptied machine counts
	// as lost.
	CatchUpMs int64
	// DrainMs is for how long after a runner is known to be leaving requests
	// may still be sent to it.
	DrainMs int64
	// GraceMs is the time between SIGTERM and SIGKILL.
	GraceMs int64
	// LostSlackMs is by how much a response may be late around planned work.
	LostSlackMs int64
	// ApplyByMs is the time within which an acknowledged configuration must
	// apply everywhere that is in touch.
	ApplyByMs int64
	// GoBackMs is for how long after a configuration took effect in a process
	// that process may still use an older one.
	GoBackMs int64
	// StretchMs is by how much ApplyByMs is longer while the controllers have
	// a fault.
	StretchMs int64
	// RetryRatio is the retry budget: how many retries there may be for each
	// request of a service, over all routers, within each RetryWindowMs.
	// ExtraTries more are allowed beside that.
	RetryRatio    float64
	RetryWindowMs int64
	ExtraTries    int
	// RecoverMs is the time after a disaster by which requests are served again.
	RecoverMs int64
	// PassMs is how long a router may take to forward one event of a stream.
	PassMs int64
	// Fenced says that runners reject orders whose fencing token is lower than
	// one that they have seen.
	Fenced bool
	// LeaseMs is the time that must pass between the orders of two controllers
	// to one runner.
	LeaseMs int64
	// ThawMs is for how long late orders are excused after a process was
	// suspended or a partition has healed.
	ThawMs int64
	// OriginWindowMs is the window in which loads from the weight store are
	// counted, and OriginOver the factor on the store's rate that they may
	// reach within it.
	OriginWindowMs int64
	OriginOver     float64
}
