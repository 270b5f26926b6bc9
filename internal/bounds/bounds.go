// Package bounds defines the time limits and quantities that the platform sets for a
// deployment. Every wait and timeout of the daemons that serve it is derived from them.
package bounds

// Bounds are the limits of a deployment. Each field has the name of the setting
// under "bounds" that it is read from; all times are in milliseconds. Package
// platform reads them and defines which are required and the defaults of the others.
type Bounds struct {
	// SeedLagMs is how outdated the operators' lists of controllers may be.
	SeedLagMs int64
	// ReuseAfterMs is how soon after a runner's end its address may be assigned to
	// another runner, also to one of another service.
	ReuseAfterMs int64
	// InTouchMs is how long there must have been no fault that affects a machine
	// before the guarantees below apply to it.
	InTouchMs int64
	// AckMs is the time within which a valid submission of an operator must be
	// acknowledged.
	AckMs int64
	// CatchUpMs is how long a machine that is new, or has lost its data, counts as
	// lost after its start.
	CatchUpMs int64
	// DrainMs is how long requests may still be sent to a runner after it is known
	// to be leaving.
	DrainMs int64
	// GraceMs is the time between SIGTERM and SIGKILL at a planned shutdown.
	GraceMs int64
	// LostSlackMs is how late a response may be around planned maintenance.
	LostSlackMs int64
	// ApplyByMs is the time within which an acknowledged configuration must apply
	// on every machine that has had no fault for InTouchMs.
	ApplyByMs int64
	// GoBackMs is how long a process may still use an older configuration after
	// a newer one took effect in it.
	GoBackMs int64
	// StretchMs is added to ApplyByMs while the controllers have a fault.
	StretchMs int64
	// RetryRatio is the retry budget: how many retries there may be for each
	// request of a service, over all routers, within each RetryWindowMs. ExtraTries
	// more are allowed in addition.
	RetryRatio    float64
	RetryWindowMs int64
	ExtraTries    int
	// RecoverMs is the time after a disaster within which requests are served again.
	RecoverMs int64
	// PassMs is the time that a router may take to forward one event of a stream.
	PassMs int64
	// Fenced is true if runners reject orders whose fencing token is lower than one
	// that they have seen.
	Fenced bool
	// LeaseMs is the time that must pass between orders of two different
	// controllers to the same runner.
	LeaseMs int64
	// ThawMs is how long orders that arrive after the lease are tolerated after a
	// suspended process has resumed or a partition has healed.
	ThawMs int64
	// OriginWindowMs is the window in which loads from the weight store are counted.
	// Within one window the loads may reach OriginOver times the store's rate limit.
	OriginWindowMs int64
	OriginOver     float64
}
