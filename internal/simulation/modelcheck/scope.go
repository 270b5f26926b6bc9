package modelcheck

import "myrtlewinch/internal/protocol"

// Default bounds of a check.
const (
	DefaultMembers    = 3
	DefaultLosses     = 1
	DefaultDeviations = 2
	DefaultDepth      = 300
	DefaultStates     = 1_000_000
	// DefaultCatchUpMs is how long after a fault a site may be without a primary,
	// and for how long a member that came back still counts as lost.
	DefaultCatchUpMs = 4000
	// DefaultLeaveMs bounds a planned stop.
	DefaultLeaveMs = 4000
)

// StateMachine is a state machine that takes one input at a time.
type StateMachine interface {
	Step(nowMs int64, input protocol.Input) protocol.Effects
}

// Scope bounds one check.
type Scope struct {
	// Members is how many controllers there are.
	Members int
	// Losses is how many members may be lost at once.
	Losses int
	// Deviations is how many faults a schedule may have beside its scenario's.
	Deviations int
	// Depth is how many events after the beginning of the scenario's window may
	// be deviated from.
	Depth int
	// States is how many distinct states may be visited.
	States int
	// Workers is how many schedules run at once.
	Workers int
	// CatchUpMs bounds recovery; see DefaultCatchUpMs.
	CatchUpMs int64
	// LeaveMs bounds a planned stop: a process exits once its machine says that it
	// has handed over, and after this time at the latest.
	LeaveMs int64
	// Faults says which kinds of fault are explored; empty means all.
	Faults []FaultKind
	// Messages names the types of messages, such as Snapshot, that faults of
	// messages apply to; empty means all.
	Messages []string
	// ProbeDeviations is the most deviations of a schedule that is probed: once the
	// cluster has had its time to catch up, every set of as many members as may be
	// lost is lost for good. A negative number means no probes.
	ProbeDeviations int
	// Scenario is what happens in every schedule.
	Scenario Scenario
	// Wrap may put something between the cluster and each machine; nil is nothing.
	Wrap func(member string, machine StateMachine) StateMachine
}

// withDefaults sets fields that are 0 to their defaults.
func (s Scope) withDefaults() Scope {
	setDefault(&s.Members, DefaultMembers)
	setDefault(&s.Losses, DefaultLosses)
	setDefault(&s.Depth, DefaultDepth)
	setDefault(&s.States, DefaultStates)
	setDefault(&s.Workers, 1)
	setDefault(&s.CatchUpMs, DefaultCatchUpMs)
	setDefault(&s.LeaveMs, DefaultLeaveMs)
	return s
}

func setDefault[N int | int64](value *N, standard N) {
	if *value == 0 {
		*value = standard
	}
}
