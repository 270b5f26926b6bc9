package scalesim

// usage sums up what a daemon did while it was measured.
type usage struct {
	// Processor time in ns: controlNs of the state machine for messages and ticks,
	// servingNs of the state machine for requests and their responses, and wireNs for
	// encoding and decoding messages.
	controlNs, servingNs, wireNs int64
	// Messages and their bytes. The bytes include the replies to frames.
	sent, received           int64
	sentBytes, receivedBytes int64
	// polls, runnerListReads and orders count calls to runners and the platform.
	polls, runnerListReads, orders int64
}

func (u *usage) add(other usage) {
	u.controlNs += other.controlNs
	u.servingNs += other.servingNs
	u.wireNs += other.wireNs
	u.sent += other.sent
	u.received += other.received
	u.sentBytes += other.sentBytes
	u.receivedBytes += other.receivedBytes
	u.polls += other.polls
	u.runnerListReads += other.runnerListReads
	u.orders += other.orders
}

// cost returns the mean cost of one daemon per second, from the usage of all daemons
// of a role.
func (u usage) cost(daemons, seconds int) RoleCost {
	each := func(n int64) float64 { return float64(n) / float64(max(1, daemons)) / float64(seconds) }
	return RoleCost{
		Daemons:   daemons,
		ControlUs: each(u.controlNs) / 1000, ServingUs: each(u.servingNs) / 1000, WireUs: each(u.wireNs) / 1000,
		Sent: each(u.sent), Received: each(u.received),
		SentBytes: each(u.sentBytes), ReceivedBytes: each(u.receivedBytes),
		Polls: each(u.polls), ListReads: each(u.runnerListReads), Orders: each(u.orders),
	}
}

// MessageCount counts the messages of one type and their bytes.
type MessageCount struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// RoleCost is the mean cost of a daemon of one role.
type RoleCost struct {
	Daemons int `json:"daemons"`
	// Processor time in us per second: of the state machine for messages and ticks,
	// for requests and their responses, and of the codec.
	ControlUs float64 `json:"control_us_s"`
	ServingUs float64 `json:"serving_us_s"`
	WireUs    float64 `json:"wire_us_s"`
	// Messages and bytes per second. The bytes include the replies to frames.
	Sent          float64 `json:"sent_s"`
	Received      float64 `json:"got_s"`
	SentBytes     float64 `json:"out_bytes_s"`
	ReceivedBytes float64 `json:"in_bytes_s"`
	// Calls to runners and the platform per second.
	Polls     float64 `json:"states_s"`
	ListReads float64 `json:"lists_s"`
	Orders    float64 `json:"orders_s"`
	// HeapKb is the live heap of a state machine. Peers is the number of daemons that it
	// exchanged messages with.
	HeapKb float64 `json:"heap_kb"`
	Peers  float64 `json:"lines"`
}

// Result is the measurement of one site.
type Result struct {
	Size     Size     `json:"size"`
	Router   RoleCost `json:"router"`
	Primary  RoleCost `json:"primary"`
	Follower RoleCost `json:"follower"`
	// Messages counts the messages between daemons by Go type.
	Messages map[string]MessageCount `json:"kinds"`
	Requests int64                   `json:"requests"`
	// LookUps counts the routers' look-ups. Misses counts the look-ups that a router had
	// to send to a controller.
	LookUps int64 `json:"look_ups"`
	Misses  int64 `json:"misses"`
	// Rejected counts the requests that routers rejected. StoreLoads counts the loads of
	// models from the weight store.
	Rejected   int64 `json:"dropped"`
	StoreLoads int64 `json:"loads"`
	// LongestStepMs is the longest step of the primary's state machine.
	LongestStepMs float64 `json:"primary_step_ms_most"`
	// ConfigKb is the size of a configuration. ConfigLagMs is the longest time from the
	// acceptance of a configuration to its use by all routers.
	ConfigKb    float64 `json:"map_kb"`
	ConfigLagMs int64   `json:"map_lag_ms"`
	// StateAgeMs is the mean age of the runners' states at the primary. OldestMs is the
	// age of the oldest state.
	StateAgeMs int64 `json:"state_age_ms"`
	OldestMs   int64 `json:"state_oldest_ms"`
	// ListedRunners is how many runners the index lists at the end.
	ListedRunners int `json:"offered"`
}
