// Package controller is the control plane of the project's own ("native") interface. It
// accepts descriptions, answers the routers' look-ups from an index, places models and
// gives orders to runners. It runs as an application on the replicated state of package
// consensus.
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

// Settings configures a controller of the native interface.
type Settings struct {
	// Site is the name that all daemons of the site share.
	Site string
	// Self is this daemon's name, address, role and incarnation, as its peers know them.
	Self protocol.Node
	// Seeds are the addresses of the controllers that this one contacts first to find its peers.
	Seeds []string
	// RunnerListAddress is the address of the platform's runner list.
	RunnerListAddress string
	// OrderDelayMs is the minimum time between the last order of one primary and the first of the
	// next; 0 selects consensus.DefaultOrderDelayMs.
	OrderDelayMs int64
}

// SubmitDescription is an input: a new description or, with Partial, a patch of the current
// one. Base is the number of the revision on which it is based. The reply is
// DescriptionAccepted or protocol.Rejection.
type SubmitDescription struct {
	ID      uint64
	Base    uint64
	Text    string
	Partial bool
}

// MachineInput marks SubmitDescription as a protocol.Input.
func (SubmitDescription) MachineInput() {}

// application implements the native interface on top of the replicated state:
// descriptions, the index, the placement and the orders.
type application struct {
	settings Settings
	host     consensus.ExtendedHost
	// description is parsed from parsedRevision. It is nil if no revision has been committed yet.
	description *description.Description
	// parsedRevision is the revision that description was parsed from.
	parsedRevision ledger.Revision
	proposals      proposals
	index          index
	primary        primaryState
	table          choice.Table
	// hints are the hints that this daemon last sent as the primary or last received as a
	// follower. They supplement the rows of the replicated state.
	hints protocol.Hints
	// acceptFromMs is when a new primary may begin to accept descriptions: the leases that
	// the previous one granted to routers have expired by then.
	acceptFromMs int64
}

func newApplication(settings Settings) *application {
	if settings.OrderDelayMs == 0 {
		settings.OrderDelayMs = consensus.DefaultOrderDelayMs
	}
	a := &application{settings: settings}
	a.proposals.resetRouters()
	a.index = index{waiting: map[choice.Key]map[string]int64{}, pendingDemand: map[string]int64{}}
	a.primary = newPrimaryState()
	return a
}

// New returns a controller of the native interface. keys are the rows that its disk holds.
func New(settings Settings, keys map[string]string, nowMs int64) (*consensus.Machine, error) {
	m, _, err := newController(settings, keys, nowMs)
	return m, err
}

// newController also returns the application, for tests.
func newController(settings Settings, keys map[string]string, nowMs int64) (*consensus.Machine, *application, error) {
	a := newApplication(settings)
	m, err := consensus.New(consensus.Settings{
		Site: settings.Site, Self: settings.Self, Seeds: settings.Seeds, OrderDelayMs: a.settings.OrderDelayMs,
		Application: a, Hooks: a, Bootstrap: consensus.BootstrapByOperator, StopWithoutHandover: true, PeersForRouters: true,
		ServeDelayAfterRecoveryMs: routerLeaseMs, NewLedger: func() statetable.Ledger { return ledger.New() },
	}, keys, nowMs)
	if err != nil {
		return nil, nil, err
	}
	// Parsed here once more because StateChanged could only log that the description is
	// unreadable.
	if err := a.parseDescription(); err != nil {
		return nil, nil, err
	}
	return m, a, nil
}

// parseDescription parses the description of the state's revision.
func (a *application) parseDescription() error {
	a.table.Invalidate()
	a.parsedRevision = a.state().Revision
	if a.parsedRevision.Number == 0 {
		a.description = nil
		return nil
	}
	d, faults := description.Read([]byte(a.parsedRevision.Text), a.settings.Site)
	if len(faults) > 0 {
		return errors.Newf("parsing the stored description failed: %s", strings.Join(faults, "; "))
	}
	a.description = d
	return nil
}

// Attach sets the state machine that holds the replicated state.
func (a *application) Attach(h consensus.ExtendedHost) { a.host = h }

// StateChanged updates what is derived from the replicated state.
func (a *application) StateChanged(consensus.Host) {
	a.table.Invalidate()
	if a.state().Revision != a.parsedRevision {
		if err := a.parseDescription(); err != nil {
			a.host.Logf("%v", err)
		}
	}
	a.notifyWaiting()
}

// Elected discards what this daemon learned in an earlier term as the primary.
func (a *application) Elected() {
	a.acceptFromMs = a.host.NowMs() + routerLeaseMs
	a.primary.reset(a.host.NowMs(), a.host.Epoch())
}

// BecamePrimary makes the revision of the state the current one and asks the routers to poll.
func (a *application) BecamePrimary(consensus.Host) {
	a.proposals.current = a.state().Revision
	a.proposals.token = fmt.Sprintf("%s-%d", protocol.Digest(a.proposals.current.Text), a.host.Epoch())
	a.requestPolls()
}

// Bootstrapped lets descriptions be accepted at once: no router was ever granted a lease.
func (a *application) Bootstrapped() { a.acceptFromMs = a.host.NowMs() }

// LostPrimacy rejects the submissions that only a primary may accept.
func (a *application) LostPrimacy(consensus.Host) { a.abandonProposals() }

// Hints returns the load of the runners, which of them are unresponsive, and the estimated
// waits for items that no runner holds.
func (a *application) Hints() protocol.Hints {
	a.hints = a.primary.hints(a.host.NowMs())
	return a.hints
}

// HintsReceived stores the primary's hints at a follower.
func (a *application) HintsReceived(hints protocol.Hints) {
	a.hints = hints
	a.table.Invalidate()
}

// HandleMessage handles a message from a router or from another controller.
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

// HandleInput handles requests of operators and results of calls to runners or the platform.
func (a *application) HandleInput(_ consensus.Host, input protocol.Input) bool {
	switch in := input.(type) {
	case protocol.NativeReportResult:
		a.handleRunnerReport(in)
	case protocol.NativeRunnerListResult:
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

// InputWhileRetired answers reads and rejects descriptions.
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

// Tick runs what is due at this time.
func (a *application) Tick(consensus.Host) {
	a.advanceProposal()
	a.runIndexTimers()
	a.runPrimary()
}

func (a *application) countKind(kind errkind.Kind) { a.host.Count(string(kind)) }

// state returns the ledger in memory. A snapshot replaces it, so the caller must not keep it.
func (a *application) state() *ledger.State { return a.host.Ledger().(*ledger.State) }

// submit applies commands at the primary. then is called with true once they are committed on
// all replicas, or with false when their outcome is no longer known.
func (a *application) submit(then func(ok bool), commands ...ledger.Command) {
	a.host.SubmitCommands(then, ledger.Batch(commands))
}
