package scalesim

// Load is what one role did while it was measured.
type Load struct {
	// ControlNs is processor time of the machine for messages and ticks,
	// ServingNs for requests and answers, WireNs for writing and reading frames.
	ControlNs, ServingNs, WireNs int64
	Sent, Got                    int64
	SentBytes, GotBytes          int64
	// States, Lists and Orders count calls outward.
	States, Lists, Orders int64
}

func (l *Load) add(o Load) {
	l.ControlNs += o.ControlNs
	l.ServingNs += o.ServingNs
	l.WireNs += o.WireNs
	l.Sent += o.Sent
	l.Got += o.Got
	l.SentBytes += o.SentBytes
	l.GotBytes += o.GotBytes
	l.States += o.States
	l.Lists += o.Lists
	l.Orders += o.Orders
}

// Kind is the messages of one kind.
type Kind struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// Role is what a daemon of one role costs; all rates are per daemon.
type Role struct {
	Daemons int `json:"daemons"`
	// Processor time in us a second.
	ControlUs float64 `json:"control_us_s"`
	ServingUs float64 `json:"serving_us_s"`
	WireUs    float64 `json:"wire_us_s"`
	// Messages and bytes a second, with the answers that frames get.
	Sent     float64 `json:"sent_s"`
	Got      float64 `json:"got_s"`
	OutBytes float64 `json:"out_bytes_s"`
	InBytes  float64 `json:"in_bytes_s"`
	// Calls outward a second.
	States float64 `json:"states_s"`
	Lists  float64 `json:"lists_s"`
	Orders float64 `json:"orders_s"`
	// HeapKb is the live heap of one machine, Lines the peers it talks to.
	HeapKb float64 `json:"heap_kb"`
	Lines  float64 `json:"lines"`
}

func (l Load) role(daemons, seconds int) Role {
	each := func(n int64) float64 { return float64(n) / float64(max(1, daemons)) / float64(seconds) }
	return Role{
		Daemons: daemons, ControlUs: each(l.ControlNs) / 1000, ServingUs: each(l.ServingNs) / 1000, WireUs: each(l.WireNs) / 1000,
		Sent: each(l.Sent), Got: each(l.Got), OutBytes: each(l.SentBytes), InBytes: each(l.GotBytes),
		States: each(l.States), Lists: each(l.Lists), Orders: each(l.Orders),
	}
}

// Result is one measured site.
type Result struct {
	Size      Size            `json:"size"`
	Router    Role            `json:"router"`
	Primary   Role            `json:"primary"`
	Follower  Role            `json:"follower"`
	Kinds     map[string]Kind `json:"kinds"`
	Requests  int64           `json:"requests"`
	LookUps   int64           `json:"look_ups"`
	Misses    int64           `json:"misses"`
	Dropped   int64           `json:"dropped"`
	Loads     int64           `json:"loads"`
	StepMsMax float64         `json:"primary_step_ms_most"`
	MapKb     float64         `json:"map_kb"`
	// MapLagMs is how long the slowest map took to be in use at all routers.
	MapLagMs int64 `json:"map_lag_ms"`
	// StateAgeMs is how old the states of the runners were on the average, as
	// the primary had them, and OldestMs the oldest.
	StateAgeMs int64 `json:"state_age_ms"`
	OldestMs   int64 `json:"state_oldest_ms"`
	// Offered is how many runners the index offers at the end, of all.
	Offered int `json:"offered"`
}
