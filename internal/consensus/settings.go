package consensus

import (
	"myrtlewinch/internal/election"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Settings configures a controller. A time of 0 stands for the default.
type Settings struct {
	// Site is the name of the site. Messages of other sites are ignored.
	Site string
	// Self is this daemon, with the incarnation of its disk.
	Self protocol.Node
	// Seeds are the addresses of the daemons that are asked for peers.
	Seeds []string
	// OrderDelayMs is how long a new primary waits after its election before it sends
	// orders to runners; DefaultOrderDelayMs if 0.
	OrderDelayMs int64
	// Application is what runs on top of the replicated state. It must be set.
	Application Application
	// Hooks are further callbacks for the application. Hooks is nil if the application needs
	// none.
	Hooks Hooks
	// NewLedger returns an empty ledger, which the application keeps in addition to plain
	// rows. It is nil if the application keeps none.
	NewLedger func() statetable.Ledger
	// Bootstrap determines who creates the first record of a site. BootstrapByOperator
	// needs Hooks.
	Bootstrap BootstrapMode
	// StopWithoutHandover makes a planned shutdown step down at once, without handing this
	// daemon's replica and vote over first. It is for sites whose members are listed by
	// their operator, where no other daemon may replace a member.
	StopWithoutHandover bool
	// PeersForRouters sends routers the list of all known daemons. Otherwise
	// they get only the controllers.
	PeersForRouters bool
	// ServeDelayAfterRecoveryMs is how long a primary that an operator's recovery created
	// waits before it serves, so that leases of the lost primary expire first.
	ServeDelayAfterRecoveryMs int64
	// MaxLosses is how many disks may be lost at once. There are that many replicas besides
	// the primary's. 0 counts as one.
	MaxLosses int
	// FirstStart is true if this is the first start of the whole site, so that its
	// seeds bootstrap it.
	FirstStart bool
	// Timing holds the timeouts and intervals of election and replication; TimingFor(0) if
	// it is zero. All members of a site must have the same Timing.
	Timing Timing
	// WitnessTimeoutMs is how long a witness may be unresponsive before another daemon
	// replaces it; 30 s if 0.
	WitnessTimeoutMs int64
	// ReplicaGraceMs is how long a replica of the active record has to acknowledge
	// something to a new primary; Timing.ElectionTimeoutMs if 0.
	ReplicaGraceMs int64
	// LeaveTimeoutMs is how long a planned shutdown may take to hand this daemon's
	// replica and vote over; 4 s if 0.
	LeaveTimeoutMs int64
}

// DefaultOrderDelayMs is the default of Settings.OrderDelayMs: the minimum time between the last
// possible order of a primary and the first order of the next one.
const DefaultOrderDelayMs = 3000

// defaultLeaveTimeoutMs is how long a planned shutdown may take.
const defaultLeaveTimeoutMs = 4000

func orDefault(valueMs, defaultMs int64) int64 {
	if valueMs == 0 {
		return defaultMs
	}
	return valueMs
}

// withDefaults replaces zero values by the defaults.
func (s Settings) withDefaults() Settings {
	if s.Timing == (Timing{}) {
		s.Timing = defaultTiming
	}
	s.MaxLosses = max(s.MaxLosses, 1)
	s.OrderDelayMs = orDefault(s.OrderDelayMs, DefaultOrderDelayMs)
	s.WitnessTimeoutMs = orDefault(s.WitnessTimeoutMs, defaultWitnessTimeoutMs)
	s.ReplicaGraceMs = orDefault(s.ReplicaGraceMs, s.Timing.ElectionTimeoutMs)
	s.LeaveTimeoutMs = orDefault(s.LeaveTimeoutMs, defaultLeaveTimeoutMs)
	return s
}

// electionConfig returns the configuration of package election.
func (s Settings) electionConfig(startMs int64) election.Config {
	return election.Config{
		Self: s.Self, StartMs: startMs, MaxLosses: s.MaxLosses, FirstStart: s.FirstStart,
		BootstrapBySeeds: s.Bootstrap == BootstrapBySeeds, StopWithoutHandover: s.StopWithoutHandover,
		Timing: election.Timing{
			LeaseMs: s.Timing.LeaseMs, RenewMs: s.Timing.RenewMs, TimeoutMs: s.Timing.ElectionTimeoutMs,
			PreVoteMs: s.Timing.PreVoteMs, BallotMs: s.Timing.BallotTimeoutMs, RetryMs: s.Timing.RequestRetryMs,
			OrderDelayMs: s.OrderDelayMs, ServeDelayAfterRecoveryMs: s.ServeDelayAfterRecoveryMs,
		},
	}
}

// newState returns an empty replicated state.
func (s Settings) newState() *statetable.Table {
	if s.NewLedger == nil {
		return statetable.New(nil)
	}
	return statetable.New(s.NewLedger())
}
