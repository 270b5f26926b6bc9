package modelcheck

import (
	"fmt"
	"strings"
)

// FaultKind is a way in which a schedule leaves the default one.
type FaultKind uint8

// The kinds of fault. Those of a message or a write apply to the event itself;
// those of a member happen right before an event at that member.
const (
	// DropMessage loses a message.
	DropMessage FaultKind = iota + 1
	// DelayMessage delays a message, so that later ones overtake it.
	DelayMessage
	// DuplicateMessage delivers a message now and once more later.
	DuplicateMessage
	// DelayWrite delays a write and those behind it.
	DelayWrite
	// FailWrite makes a write fail.
	FailWrite
	// Crash ends a process; writes that were not complete are lost.
	Crash
	// CrashAfterWrite ends a process once a write is durable, before its machine
	// is notified of that.
	CrashAfterWrite
	// CrashMidSend ends a process for good right after it handled the event, and
	// loses its messages in flight to a set of others.
	CrashMidSend
	// Freeze stops a process for a while; then it handles what came meanwhile.
	Freeze
	// CutOff loses all messages from and to a member for a while.
	CutOff
	// CutSending loses all messages from a member for a while.
	CutSending
	// Leave is a planned stop, and the exit some time later.
	Leave
	// PowerLoss ends all processes at once; they return, a set of them with empty
	// disks.
	PowerLoss
	// loseMembers ends a set of members for good, as a probe at the end of a
	// schedule; see Scope.ProbeDeviations.
	loseMembers
)

var faultNames = map[FaultKind]string{
	DropMessage: "drop", DelayMessage: "delay", DuplicateMessage: "duplicate",
	DelayWrite: "slow-write", FailWrite: "fail-write",
	Crash: "crash", CrashAfterWrite: "crash-after-write", CrashMidSend: "crash-mid-send",
	Freeze: "freeze", CutOff: "cut-off", CutSending: "cut-sending", Leave: "leave", PowerLoss: "power-loss", loseMembers: "lose-set",
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

// ParseFaults reads names of kinds, separated by commas.
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
			return nil, fmt.Errorf("there is no fault %q", name)
		}
	}
	return kinds, nil
}

// Return says how a member whose process ended comes back.
type Return uint8

// The ways in which a member comes back.
const (
	// Never means that the member does not come back.
	Never Return = iota
	// WithDisk restarts a member from its disk.
	WithDisk
	// WithoutDisk restarts a member with an empty disk, as a new incarnation.
	WithoutDisk
)

var returnNames = [...]string{"for good", "back with its disk", "back with an empty disk"}

func (r Return) String() string { return returnNames[r] }

// Fault is one fault with its parameters.
type Fault struct {
	Kind FaultKind
	// Ms is the delay of a message or write, the duration of a freeze or a cut, or
	// after how long a process that ended returns.
	Ms int64
	// Return is how a member whose process ended comes back.
	Return Return
	// Set is a set of members, one bit each: those to whom messages are lost, those
	// that lose their disks, or those that a probe loses.
	Set uint32
}

func (f Fault) String() string {
	switch f.Kind {
	case Crash, CrashAfterWrite, Leave:
		if f.Return == Never {
			return fmt.Sprintf("%s %s", f.Kind, Never)
		}
		return fmt.Sprintf("%s, %s after %d ms", f.Kind, f.Return, f.Ms)
	case CrashMidSend:
		return fmt.Sprintf("%s %s, before its messages to %s", f.Kind, Never, memberNames(f.Set))
	case PowerLoss:
		if f.Set == 0 {
			return f.Kind.String()
		}
		return fmt.Sprintf("%s, %s %s", f.Kind, memberNames(f.Set), WithoutDisk)
	case loseMembers:
		return "lose for good " + memberNames(f.Set)
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

// isMessageFault says whether the fault is one of a message.
func (f Fault) isMessageFault() bool {
	return f.Kind == DropMessage || f.Kind == DelayMessage || f.Kind == DuplicateMessage
}

// countsAsLoss says whether the member counts as lost.
func (f Fault) countsAsLoss() bool {
	if f.Kind == DelayWrite {
		return f.Ms > slowWriteMs
	}
	return !f.isMessageFault()
}

// maxMembers bounds a set of members.
const maxMembers = 32

// contains says whether a set contains a member.
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
	// overtakenMs delays a message past those of the next tick.
	overtakenMs = 60
	// lateMs delays a message past its resend, so that the answer to the second
	// may arrive first.
	lateMs = 1200
	// slowWriteMs is a slow write; stalledWriteMs one that stalls.
	slowWriteMs    = 60
	stalledWriteMs = 1700
	// returnMs is how long a restart takes.
	returnMs = 300
	// silenceMs is longer than a lease, takeOverMs also than the election after
	// it.
	silenceMs  = 1700
	takeOverMs = 3200
)

var messageFaults = []Fault{
	{Kind: DropMessage}, {Kind: DelayMessage, Ms: overtakenMs}, {Kind: DelayMessage, Ms: lateMs}, {Kind: DuplicateMessage, Ms: lateMs},
}

var writeFaults = []Fault{
	{Kind: DelayWrite, Ms: slowWriteMs}, {Kind: DelayWrite, Ms: stalledWriteMs}, {Kind: FailWrite},
	{Kind: CrashAfterWrite, Ms: returnMs, Return: WithDisk},
}

var memberFaults = []Fault{
	{Kind: Crash},
	{Kind: Crash, Ms: returnMs, Return: WithDisk},
	{Kind: Crash, Ms: returnMs, Return: WithoutDisk},
	{Kind: Freeze, Ms: silenceMs},
	{Kind: Freeze, Ms: takeOverMs},
	{Kind: CutOff, Ms: takeOverMs},
	{Kind: CutSending, Ms: silenceMs},
	{Kind: Leave},
	{Kind: Leave, Ms: returnMs, Return: WithDisk},
}
