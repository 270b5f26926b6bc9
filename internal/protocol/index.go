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
