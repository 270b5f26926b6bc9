// Package controller is the control plane of the project's own interface: the
// acceptance of descriptions, the index that answers routers, the placement of
// models and the orders to runners. It runs as an application on the replicated
// state of package consensus.
package controller

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Settings is what a controller of the own interface is started with.
type Settings struct {
	// Site is the name that all daemons of the site share.
	Site string
	// Self is this daemon as its peers know it.
	Self protocol.Node
	// Seeds are the addresses of controllers at which peers are looked for.
	Seeds []string
	// Platform is the address of the platform's list of runners.
	Platform string
	// GapMs is the least time between the last order of one primary and the first of the
	// next; 0 is consensus.DefaultGapMs.
	GapMs int64
}

// SubmitDescription is an input: a description to be put in force or, with Partial, a
// change of named parts of it. Base is the revision on which it is based. It is answered
// with DescriptionAccepted or protocol.Rejection.
type SubmitDescription struct {
	ID      uint64
	Base    uint64
	Text    string
	Partial bool
}

// MachineInput marks SubmitDescription as a protocol.Input.
func (SubmitDescription) MachineInput() {}

// application is the own interface on top of the replicated state:
// descriptions, the index, the placement and the orders.
type application struct {
	settings Settings
	host     consensus.ExtendedHost
	// description is the description in force, compiled; nil while none is.
	description *description.Description
	// compiledRevision is the revision that description was read from.
	compiledRevision ledger.Revision
	proposals        proposals
	index            index
	primary          primaryState
	table            choice.Table
	// hints are what the primary last told its followers beside rows.
	hints protocol.Hints
	// acceptFromMs is from when a new primary may accept descriptions: the leases
	// that the one before gave to routers have run out by then.
	acceptFromMs int64
}

func newApplication(settings Settings) *application {
	if settings.GapMs == 0 {
		settings.GapMs = consensus.DefaultGapMs
	}
	a := &application{settings: settings}
	a.proposals.resetRouters()
	a.index = index{waiting: map[choice.Key]map[string]int64{}, pendingDemand: map[string]int64{}}
	a.primary = newPrimaryState()
	return a
}

// New makes a controller of the own interface from what its disk holds.
func New(settings Settings, keys map[string]string, nowMs int64) (*consensus.Machine, error) {
	m, _, err := newController(settings, keys, nowMs)
	return m, err
}

// newController also gives the application, for tests.
func newController(settings Settings, keys map[string]string, nowMs int64) (*consensus.Machine, *application, error) {
	a := newApplication(settings)
	m, err := consensus.New(consensus.Settings{
		Site: settings.Site, Self: settings.Self, Seeds: settings.Seeds, GapMs: a.settings.GapMs,
		Application: a, Hooks: a, Bootstrap: consensus.BootstrapByOperator, StopWithoutHandover: true, PeersForRouters: true,
		QuietAfterRecoveryMs: routerLeaseMs, NewLedger: func() statetable.Ledger { return ledger.New() },
	}, keys, nowMs)
	if err != nil {
		return nil, nil, err
	}
	// StateChanged could only log that the description can't be read.
	if err := a.compileDescription(); err != nil {
		return nil, nil, err
	}
	return m, a, nil
}

// compileDescription compiles the description in force.
func (a *application) compileDescription() error {
	a.table.Invalidate()
	a.compiledRevision = a.state().Revision
	if a.compiledRevision.Number == 0 {
		a.description = nil
		return nil
	}
	d, faults := description.Read([]byte(a.compiledRevision.Text), a.settings.Site)
	if len(faults) > 0 {
		return errors.Newf("the description in force can't be read: %s", strings.Join(faults, "; "))
	}
	a.description = d
	return nil
}

// Attach takes the machine that keeps the state.
func (a *application) Attach(h consensus.ExtendedHost) { a.host = h }

// StateChanged brings what is compiled from the state up to it.
func (a *application) StateChanged(consensus.Host) {
	a.table.Invalidate()
	if a.state().Revision != a.compiledRevision {
		if err := a.compileDescription(); err != nil {
			a.host.Logf("%v", err)
		}
	}
	a.notifyWaiting()
}

// Elected forgets what an earlier primacy knew.
func (a *application) Elected() {
	a.acceptFromMs = a.host.NowMs() + routerLeaseMs
	a.primary.reset(a.host.NowMs(), a.host.Epoch())
}

// BecamePrimary puts the revision of the state in force and tells the routers.
func (a *application) BecamePrimary(consensus.Host) {
	a.proposals.current = a.state().Revision
	a.proposals.token = fmt.Sprintf("%s-%d", protocol.Digest(a.proposals.current.Text), a.host.Epoch())
	a.requestPolls()
}

// Bootstrapped lets descriptions be accepted at once: no router has ever been
// given a lease.
func (a *application) Bootstrapped() { a.acceptFromMs = a.host.NowMs() }

// LostPrimacy ends what only a primary may do.
func (a *application) LostPrimacy(consensus.Host) { a.abandonProposals() }

// Hints gives the runners' burdens and who of them is silent.
func (a *application) Hints() protocol.Hints {
	a.hints = a.primary.hints(a.host.NowMs())
	return a.hints
}

// HintsReceived takes the primary's hints at a follower.
func (a *application) HintsReceived(hints protocol.Hints) {
	a.hints = hints
	a.table.Invalidate()
}

// HandleMessage takes a message of a router or of another controller.
func (a *application) HandleMessage(_ consensus.Host, e protocol.Envelope) bool {
	switch body := e.Body.(type) {
	case protocol.RouterPoll:
		a.handlePoll(e, body)
	case protocol.LookUp:
		a.lookUp(e, body)
	case protocol.DemandReport:
		a.handleDemandReport(body)
	default:
		return false
	}
	return true
}

// HandleInput takes what an operator or a call to a runner or the platform brings.
func (a *application) HandleInput(_ consensus.Host, input protocol.Input) bool {
	switch in := input.(type) {
	case protocol.RunnerReportResult:
		a.handleRunnerReport(in)
	case protocol.RunnerListResult:
		a.handleRunnerList(in)
	case SubmitDescription:
		a.submitDescription(in)
	case StatusRequest:
		a.replyStatus(in)
	case DescriptionRequest:
		a.replyDescription(in)
	default:
		return false
	}
	return true
}

// InputWhileRetired still answers reads, and rejects descriptions.
func (a *application) InputWhileRetired(input protocol.Input) {
	switch in := input.(type) {
	case StatusRequest:
		a.replyStatus(in)
	case DescriptionRequest:
		a.replyDescription(in)
	case SubmitDescription:
		a.reject(in.ID, errkind.NotPrimary, "this daemon is retired", nil)
	}
}

// Tick does what is due by time.
func (a *application) Tick(consensus.Host) {
	a.advanceProposal()
	a.runIndexTimers()
	a.runPrimary()
}

func (a *application) countKind(kind errkind.Kind) { a.host.Count(string(kind)) }

// state is the ledger in memory; a snapshot replaces it, so it must not be kept.
func (a *application) state() *ledger.State { return a.host.Ledger().(*ledger.State) }

// submit has commands applied at the primary; then runs with true once their
// rows are safe on all copies, or with false when that can't be known any more.
func (a *application) submit(then func(ok bool), commands ...ledger.Command) {
	a.host.SubmitCommands(then, ledger.Batch(commands))
}
