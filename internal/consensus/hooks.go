package consensus

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// BootstrapMode determines who creates the first record of a site.
type BootstrapMode int

const (
	// BootstrapBySeeds lets the seeds bootstrap the site at its first start.
	BootstrapBySeeds BootstrapMode = iota
	// BootstrapByOperator waits for the input Bootstrap, which names the witnesses
	// and the other replica.
	BootstrapByOperator
)

// Hooks are further callbacks for an application. Settings.Hooks is nil for an
// application that needs none. All methods are called on the machine's own goroutine.
type Hooks interface {
	// Attach passes the machine to the application, once and before any other call.
	Attach(h ExtendedHost)
	// Elected is called when this daemon became the primary under the active record. It may
	// not answer on behalf of the site before Application.BecamePrimary.
	Elected()
	// Bootstrapped is called after Application.BecamePrimary if an operator's Bootstrap
	// input has just bootstrapped the site and made this daemon its first primary.
	Bootstrapped()
	// Hints returns what a primary sends its followers without storing it. It is
	// called before each regular round of messages to them.
	Hints() protocol.Hints
	// HintsReceived is called at a follower with what the primary's Hints returned.
	HintsReceived(hints protocol.Hints)
	// InputWhileRetired handles an input at a superseded daemon. The name of this daemon now
	// belongs to another disk. It may only answer that input.
	InputWhileRetired(input protocol.Input)
}

// ExtendedHost is what the machine offers an application with Hooks in addition to
// Host.
type ExtendedHost interface {
	Host
	// IsPrimary reports whether this daemon became the primary under the active record and
	// has not lost the primacy since. It may not yet answer on behalf of the site.
	IsPrimary() bool
	// Record returns the active record, as far as this daemon knows.
	Record() protocol.EpochRecord
	// PrimaryAliveMs returns when the primary was last known to be alive.
	PrimaryAliveMs() int64
	// Peers returns all known daemons, including this one. PeersWithRole returns those with
	// one role, without this one. They may be unresponsive.
	Peers() []protocol.Node
	PeersWithRole(part string) []protocol.Node
	// Position returns the position of the last change of the state. Ledger returns what
	// Settings.NewLedger created, with all changes up to that position. At a primary some of
	// these changes may not be committed yet. A snapshot replaces the ledger, so callers
	// must not keep it.
	Position() protocol.Position
	Ledger() statetable.Ledger
	// AllCommitted reports whether all replicas hold all changes up to Position.
	AllCommitted() bool
	// SubmitCommands is Submit for commands. They are applied together with other queued
	// commands, once the previous write has ended.
	SubmitCommands(done func(ok bool), commands ...statetable.Command)
	// MemberStatus returns what this daemon knows of itself and of its peers.
	MemberStatus() MemberStatus
}

func (h host) IsPrimary() bool                           { return h.m.isPrimary() }
func (h host) Record() protocol.EpochRecord              { return h.m.record() }
func (h host) PrimaryAliveMs() int64                     { return h.m.election.PrimaryAliveMs }
func (h host) Peers() []protocol.Node                    { return h.m.detector.Nodes() }
func (h host) PeersWithRole(part string) []protocol.Node { return h.m.detector.NodesOf(part) }
func (h host) Position() protocol.Position               { return h.m.state.Position }
func (h host) Ledger() statetable.Ledger                 { return h.m.state.Ledger() }

func (h host) AllCommitted() bool {
	return h.m.primary.Committed >= h.m.state.Position.Number
}

func (h host) SubmitCommands(done func(ok bool), commands ...statetable.Command) {
	h.m.submit(done, commands...)
}
