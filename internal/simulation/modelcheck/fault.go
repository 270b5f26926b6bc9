package modelcheck

import (
	"fmt"
	"strings"
)

// FaultKind is a way in which a schedule deviates from the default one.
type FaultKind uint8

// The kinds of fault. Faults of a message or a write apply to the event itself;
// faults of a member happen right before an event at that member.
const (
	// DropMessage loses a message.
	DropMessage FaultKind = iota + 1
	// DelayMessage delays a message, so that later messages arrive before it.
	DelayMessage
	// DuplicateMessage delivers a message now and once more later.
	DuplicateMessage
	// DelayWrite delays a write and the writes queued after it.
	DelayWrite
	// FailWrite makes a write fail.
	FailWrite
	// Crash ends a process; its incomplete writes are lost.
	Crash
	// CrashAfterWrite ends a process after a write became durable, but before the
	// process's machine is notified that the write completed.
	CrashAfterWrite
	// CrashMidSend ends a process permanently right after it handled the event. The
	// messages in flight from the process to a set of other members are lost.
	CrashMidSend
	// Freeze pauses a process temporarily. It then handles the events that arrived
	// meanwhile.
	Freeze
	// Partition temporarily loses all messages from and to a member.
	Partition
	// PartitionOutbound temporarily loses all messages from a member.
	PartitionOutbound
	// Leave is a planned stop, followed by the exit of the process.
	Leave
	// PowerLoss ends all processes at once. All restart, a set of them with empty
	// disks.
	PowerLoss
	// loseMembers stops a set of members permanently, as a probe at the end of a
	// schedule; see Scope.ProbeDeviations.
	loseMembers
)

var faultNames = map[FaultKind]string{
	DropMessage: "drop", DelayMessage: "delay", DuplicateMessage: "duplicate",
	DelayWrite: "slow-write", FailWrite: "fail-write",
	Crash: "crash", CrashAfterWrite: "crash-after-write", CrashMidSend: "crash-mid-send",
	Freeze: "freeze", Partition: "cut-off", PartitionOutbound: "cut-sending", Leave: "leave", PowerLoss: "power-loss", loseMembers: "lose-set",
}

func (k FaultKind) String() string { return faultNames[k] }

// FaultKinds lists all kinds that a scope may name.
func FaultKinds() []FaultKind {
	var kinds []FaultKind
	for kind := DropMessage; kind <= PowerLoss; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// ParseFaults parses a comma-separated list of names of kinds.
func ParseFaults(text string) ([]FaultKind, error) {
	var kinds []FaultKind
	for name := range strings.SplitSeq(text, ",") {
		found := false
		for _, kind := range FaultKinds() {
			if kind.String() == name {
				kinds, found = append(kinds, kind), true
			}
		}
		if !found && name != "" {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
	}
	return kinds, nil
}

// RestartMode is how a member restarts after its process ended.
type RestartMode uint8

// The restart modes.
const (
	// NoRestart means that the member does not restart.
	NoRestart RestartMode = iota
	// WithDisk restarts a member from its disk.
	WithDisk
	// WithoutDisk restarts a member with an empty disk, as a new incarnation.
	WithoutDisk
)

var restartModeNames = [...]string{"permanently", "restarted with its disk", "restarted with an empty disk"}

func (r RestartMode) String() string { return restartModeNames[r] }

// Fault is one fault with its parameters.
type Fault struct {
	Kind FaultKind
	// Ms is the delay of a message or write, the duration of a freeze or partition, or
	// the time until a process that ended restarts.
	Ms int64
	// Restart is how a member restarts after its process ended.
	Restart RestartMode
	// Set is a set of members, one bit each: the members to which messages are lost,
	// that lose their disks, or that a probe loses.
	Set uint32
}

func (f Fault) String() string {
	switch f.Kind {
	case Crash, CrashAfterWrite, Leave:
		if f.Restart == NoRestart {
			return fmt.Sprintf("%s %s", f.Kind, NoRestart)
		}
		return fmt.Sprintf("%s, %s after %d ms", f.Kind, f.Restart, f.Ms)
	case CrashMidSend:
		return fmt.Sprintf("%s %s, its messages to %s lost", f.Kind, NoRestart, memberNames(f.Set))
	case PowerLoss:
		if f.Set == 0 {
			return f.Kind.String()
		}
		return fmt.Sprintf("%s, %s %s", f.Kind, memberNames(f.Set), WithoutDisk)
	case loseMembers:
		return "lose permanently " + memberNames(f.Set)
	case DropMessage, FailWrite:
		return f.Kind.String()
	}
	return fmt.Sprintf("%s %d ms", f.Kind, f.Ms)
}

// memberNames lists the members of a set.
func memberNames(set uint32) string {
	var names []string
	for i := range maxMembers {
		if contains(set, i) {
			names = append(names, fmt.Sprintf("member-%d", i+1))
		}
	}
	return strings.Join(names, " and ")
}

// isMessageFault reports whether the fault applies to a message.
func (f Fault) isMessageFault() bool {
	return f.Kind == DropMessage || f.Kind == DelayMessage || f.Kind == DuplicateMessage
}

// countsAsLoss reports whether the member counts as lost because of the fault.
func (f Fault) countsAsLoss() bool {
	if f.Kind == DelayWrite {
		return f.Ms > slowWriteMs
	}
	return !f.isMessageFault()
}

// maxMembers is how many members a set can hold.
const maxMembers = 32

// contains reports whether a set contains a member.
func contains(set uint32, member int) bool { return set&(1<<member) != 0 }

// Deviation is a fault at a numbered event of the schedule.
type Deviation struct {
	Event int
	Fault Fault
}

// Schedule is the deviations of one run, in order.
type Schedule []Deviation

// Parameters of the faults that are explored.
const (
	// afterNextTickMs delays a message past the messages of the next tick.
	afterNextTickMs = 60
	// afterResendMs delays a message past its resend, so that the reply to the resent
	// message may arrive first.
	afterResendMs = 1200
	// slowWriteMs is the delay of a slow write, which does not count as a loss.
	// stalledWriteMs is the delay of a stalled write, which counts as a loss.
	slowWriteMs    = 60
	stalledWriteMs = 1700
	// restartMs is how long a restart takes.
	restartMs = 300
	// longerThanElectionMs is longer than a lease and the election after it together.
	longerThanLeaseMs    = 1700
	longerThanElectionMs = 3200
)

var messageFaults = []Fault{
	{Kind: DropMessage}, {Kind: DelayMessage, Ms: afterNextTickMs}, {Kind: DelayMessage, Ms: afterResendMs}, {Kind: DuplicateMessage, Ms: afterResendMs},
}

var writeFaults = []Fault{
	{Kind: DelayWrite, Ms: slowWriteMs}, {Kind: DelayWrite, Ms: stalledWriteMs}, {Kind: FailWrite},
	{Kind: CrashAfterWrite, Ms: restartMs, Restart: WithDisk},
}

var memberFaults = []Fault{
	{Kind: Crash},
	{Kind: Crash, Ms: restartMs, Restart: WithDisk},
	{Kind: Crash, Ms: restartMs, Restart: WithoutDisk},
	{Kind: Freeze, Ms: longerThanLeaseMs},
	{Kind: Freeze, Ms: longerThanElectionMs},
	{Kind: Partition, Ms: longerThanElectionMs},
	{Kind: PartitionOutbound, Ms: longerThanLeaseMs},
	{Kind: Leave},
	{Kind: Leave, Ms: restartMs, Restart: WithDisk},
}
