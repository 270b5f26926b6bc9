package modelcheck

import "myrtlewinch/internal/protocol"

// Default bounds of a check.
const (
	DefaultMembers    = 3
	DefaultLosses     = 1
	DefaultDeviations = 2
	DefaultDepth      = 300
	DefaultStates     = 1_000_000
	// DefaultCatchUpMs is how long after a fault a site may be without a primary, and
	// how long a restarted member still counts as lost.
	DefaultCatchUpMs = 4000
	// DefaultLeaveMs bounds a planned stop.
	DefaultLeaveMs = 4000
)

// StateMachine is a state machine that processes one input at a time.
type StateMachine interface {
	Step(nowMs int64, input protocol.Input) protocol.Effects
}

// Scope bounds one check.
type Scope struct {
	// Members is how many controllers there are.
	Members int
	// Losses is how many members may be lost at the same time.
	Losses int
	// Deviations is how many faults a schedule may have in addition to its scenario's.
	Deviations int
	// Depth is the length of the scenario's window in events: a schedule may deviate
	// at the first Depth events after the window starts.
	Depth int
	// States is how many distinct states may be visited.
	States int
	// Workers is how many schedules run in parallel.
	Workers int
	// CatchUpMs bounds recovery; see DefaultCatchUpMs.
	CatchUpMs int64
	// LeaveMs bounds a planned stop. A process exits when its machine reports that the
	// member has left, or after LeaveMs at the latest.
	LeaveMs int64
	// Faults lists the kinds of fault that are explored; empty means all.
	Faults []FaultKind
	// Messages lists the names of the message types, such as Snapshot, that message
	// faults apply to; empty means all.
	Messages []string
	// ProbeDeviations is the largest number of deviations of a schedule that is probed.
	// A probe loses a set of members permanently once the cluster has had time to catch
	// up; every set that brings the losses to Losses is tried. A negative number means
	// no probes.
	ProbeDeviations int
	// CheckBallots checks BallotUsedOnce as well.
	CheckBallots bool
	// Scenario is what happens in every schedule.
	Scenario Scenario
	// Wrap wraps the machine of each member, to inject bugs in tests; nil means that
	// machines are not wrapped.
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

func setDefault[N int | int64](value *N, defaultValue N) {
	if *value == 0 {
		*value = defaultValue
	}
}
