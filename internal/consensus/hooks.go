package consensus

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// BootstrapMode says who makes the first record of a site.
type BootstrapMode int

const (
	// BootstrapBySeeds lets the seeds bootstrap the site among them at its first start.
	BootstrapBySeeds BootstrapMode = iota
	// BootstrapByOperator waits for the input Bootstrap, which names the witnesses
	// and the backup.
	BootstrapByOperator
)

// Hooks are further callbacks for an application, each at the moment of the
// event. Settings.Hooks is nil for an application that needs none. All methods
// run on the machine's own thread.
type Hooks interface {
	// Attach gives the machine to the application, once and before any other call.
	Attach(h ExtendedHost)
	// Elected says that this daemon is the primary by its record. It may not
	// speak for the site before Application.BecamePrimary.
	Elected()
	// Bootstrapped says, after Application.BecamePrimary, that this primacy is the site's first
	// and was begun by an operator's Bootstrap input.
	Bootstrapped()
	// Hints returns what a primary sends its followers without storing it. It is
	// called before each regular round of messages to them.
	Hints() protocol.Hints
	// HintsReceived gives a follower what the primary's Hints returned.
	HintsReceived(hints protocol.Hints)
	// InputWhileRetired takes an input at a daemon whose name has passed to
	// another disk. It may only answer that input.
	InputWhileRetired(input protocol.Input)
}

// ExtendedHost is what the machine offers an application with Hooks beside
// Host.
type ExtendedHost interface {
	Host
	// IsPrimary says whether this daemon is the primary by its record, also before
	// it may answer on behalf of the site.
	IsPrimary() bool
	// Record is the epoch record in force, as far as this daemon knows.
	Record() protocol.EpochRecord
	// PrimaryHeardMs is when the primary was last known to be alive.
	PrimaryHeardMs() int64
	// Peers lists all known daemons, with this one; Known those of one part, without
	// this one. They may be silent.
	Peers() []protocol.Node
	Known(part string) []protocol.Node
	// Position is that of the last change of the state; Ledger is what
	// Settings.NewLedger made, with all changes up to there. At a primary they may
	// be ahead of what is committed. A snapshot replaces the ledger, so it must not
	// be kept.
	Position() protocol.Position
	Ledger() statetable.Ledger
	// Settled says whether all replicas hold all changes up to Position.
	Settled() bool
	// SubmitCommands is Submit for commands. They are applied together with others
	// that wait, once the write before has ended.
	SubmitCommands(done func(ok bool), commands ...statetable.Command)
	// MemberStatus is what this daemon believes of itself and of its peers.
	MemberStatus() MemberStatus
}

func (h host) IsPrimary() bool                   { return h.m.isPrimary() }
func (h host) Record() protocol.EpochRecord      { return h.m.record() }
func (h host) PrimaryHeardMs() int64             { return h.m.election.HeardMs }
func (h host) Peers() []protocol.Node            { return h.m.detector.Nodes() }
func (h host) Known(part string) []protocol.Node { return h.m.detector.NodesOf(part) }
func (h host) Position() protocol.Position       { return h.m.state.Position }
func (h host) Ledger() statetable.Ledger         { return h.m.state.Ledger() }

func (h host) Settled() bool {
	return h.m.primary.Committed >= h.m.state.Position.Number
}

func (h host) SubmitCommands(done func(ok bool), commands ...statetable.Command) {
	h.m.submit(done, commands...)
}
