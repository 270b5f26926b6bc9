package protocol

// IndexLookUp asks a controller which runners can serve a request. A router sends one
// for each request, even if its cache has the result: controllers measure the demand by
// the look-ups.
type IndexLookUp struct {
	// ID is the router's number for the look-up; the reply echoes it.
	ID uint64
	// Model and Adapter are empty if the runners of the service hold none.
	Service, Model, Adapter string
	// Tokens is the work of the request, in tokens of the prompt and of the response.
	Tokens int64
	// Waits is true if the router knows no runner that holds the model, so that the
	// request waits for the reply.
	Waits bool
	// Prompt is the part of Tokens that belongs to the prompt.
	Prompt int64
	// ReadMs is about how many milliseconds an almost idle runner recently took to
	// prefill 1,000 tokens for the model; 0 means not measured.
	ReadMs float64
	// Runner is the runner to which the request was sent at the time of the look-up. It is
	// empty for a request that waits. PrefillMs is about how many milliseconds the prefill
	// takes there.
	Runner    string
	PrefillMs int64
}

// SpreadLookUpsAbove is the number of routers above which the look-ups of hits in their
// caches are spread over all controllers. Up to that number all look-ups go to the primary,
// which then sees the whole demand without delay.
const SpreadLookUpsAbove = 32

// PrefillMaxAgeMs is how long the figures of a PrefillReport are valid. PrefillRefreshMs
// is the interval at which a sender repeats those that are not 0, so that two reports in
// a row may be lost.
const (
	PrefillMaxAgeMs  = 3 * PrefillRefreshMs
	PrefillRefreshMs = 1_500
)

// PrefillReport reports the prefill in flight at the runners for which the sender's figure
// changed. A router reports its own requests to a controller. A controller reports the
// requests of its routers to the other controllers, and the requests of the whole site to
// its routers. The figures are totals, not differences, and only hints for load balancing,
// so a lost report does no lasting harm.
type PrefillReport struct{ Runners []RunnerPrefill }

// RunnerPrefill is the prefill in flight at a runner, in milliseconds.
type RunnerPrefill struct {
	Runner string
	Ms     int64
}

// IndexHolder is a runner that an IndexReply lists, with its load.
type IndexHolder struct {
	ID, Address, Zone string
	// Adapter is true if the runner holds the adapter as well as the model.
	Adapter bool
	// Slots is how many requests the runner serves at once.
	Slots int
	// Active, Queued (requests), CacheUsed and CacheTotal (tokens) are the figures that
	// the runner reported AgeMs milliseconds before the reply was created.
	Active, Queued        int
	CacheUsed, CacheTotal int64
	AgeMs                 int64
	// PrefillMs is the prefill in flight at the runner according to the routers' reports. It
	// is 0 if there is none.
	PrefillMs int64
}

// IndexReply is the reply to an IndexLookUp. With ID 0 it is a notification of changed
// holders, sent to a router that looked the model up recently.
type IndexReply struct {
	ID                      uint64
	Service, Model, Adapter string
	// Epoch and Change order replies: a reply with a lower (Epoch, Change) is older.
	Epoch, Change uint64
	// Known is false while the controller has no state to reply from, for example after its
	// start.
	Known   bool
	Holders []IndexHolder
	// TurnMs is the estimated time in milliseconds until some runner holds the model, or
	// -1 if there is no estimate. It is used only while no runner holds it.
	TurnMs int64
	// Loading is true if a runner is loading the model.
	Loading bool
}
