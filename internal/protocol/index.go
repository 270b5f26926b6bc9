package protocol

// IndexLookUp asks a controller which runners can serve a request. A router
// sends one for each request, even where it can answer from its cache: the
// look-ups are how controllers learn the demand.
type IndexLookUp struct {
	// ID is the router's number for the look-up; the reply repeats it.
	ID uint64
	// Model and Adapter are empty where the runners of the service hold none.
	Service, Model, Adapter string
	// Tokens is the work that the request asks for: reading the prompt and
	// producing the answer.
	Tokens int64
	// Waits says that the router knows no runner that holds the model, so the
	// request waits for the reply.
	Waits bool
	// Prompt is the part of Tokens that is reading the prompt.
	Prompt int64
	// ReadMs is about how many milliseconds an almost idle runner took lately
	// to read 1,000 tokens of a prompt for the model; 0 means not measured.
	ReadMs float64
	// Runner is the runner that the request was sent to together with the
	// look-up, empty for a request that waits, and PrefillMs about how many
	// milliseconds the prefill of its prompt takes there.
	Runner    string
	PrefillMs int64
}

// SpreadLookUpsFrom is the number of routers above which the look-ups of hits
// are spread over all controllers; with fewer all go to the primary, which can
// then weigh the whole demand at once.
const SpreadLookUpsFrom = 32

// PrefillMaxAgeMs is for how long the figures of a PrefillReport hold.
// PrefillRefreshMs is how often a sender repeats those that are not 0, so that
// two reports in a row may be lost.
const (
	PrefillMaxAgeMs  = 3 * PrefillRefreshMs
	PrefillRefreshMs = 1_500
)

// PrefillReport says how much prefill is under way at some runners: those of
// which the sender's figure changed. A router reports its own requests to a
// controller, a controller those of its routers to the other controllers, and
// those of the whole site to its routers. The figures are absolute and only hints
// for balancing, so a lost report does no lasting harm.
type PrefillReport struct{ Runners []RunnerPrefill }

// RunnerPrefill is the prefill under way at a runner, in milliseconds.
type RunnerPrefill struct {
	Runner string
	Ms     int64
}

// IndexHolder is a runner that an IndexReply offers.
type IndexHolder struct {
	ID, Address, Zone string
	// Adapter says that the runner holds the adapter as well as the model.
	Adapter bool
	// Slots is how many requests the runner serves at once.
	Slots int
	// Active, Queued (requests), CacheUsed and CacheTotal (tokens) are what the
	// runner reported AgeMs milliseconds before the reply was made.
	Active, Queued        int
	CacheUsed, CacheTotal int64
	AgeMs                 int64
	// PrefillMs is the prefill under way there as the controller knows it from
	// the routers' reports, 0 for none.
	PrefillMs int64
}

// IndexReply answers an IndexLookUp. With ID 0 it notifies a router that looked
// the model up lately that the answer has changed.
type IndexReply struct {
	ID                      uint64
	Service, Model, Adapter string
	// Epoch and Change order replies: a reply with a lower pair is older.
	Epoch, Change uint64
	// Known is false while the controller has no state to answer from, as after
	// its start.
	Known   bool
	Holders []IndexHolder
	// TurnMs is the estimated time in milliseconds until some runner holds the
	// model, or -1 where there is no estimate. It matters where none does yet.
	TurnMs int64
	// Loading says that a runner is loading the model.
	Loading bool
}
