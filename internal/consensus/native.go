package consensus

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// NativeSettings is what a controller of the own interface knows at its start.
type NativeSettings struct {
	Site  string
	Self  protocol.Node
	Seeds []string
	// Platform is the address of the platform's list of runners.
	Platform string
	// GapMs replaces the usual gap between the orders of two primaries.
	GapMs int64
}

// HandOver is an input: a description to be taken, or, with Part, a change of
// named parts of it. Base is the revision that it is based on.
type HandOver struct {
	ID   uint64
	Base uint64
	Text string
	Part bool
}

// nativeApplication is the own interface on top of the replicated state:
// descriptions, the index, the placement and the orders.
type nativeApplication struct {
	settings NativeSettings
	host     ExtendedHost
	// described is the description in force, compiled; nil while none is.
	described *description.Description
	// compiled is the revision that described was read from.
	compiled ledger.Revision
	offer    offer
	index    index
	duty     duty
	table    choice.Table
	// hints are, at a follower, what the primary last said beside rows.
	hints protocol.Hints
	// acceptFromMs is from when a new primary may accept descriptions: the leases
	// that the one before gave to routers have run out by then.
	acceptFromMs int64
}

func newNativeApplication(settings NativeSettings) *nativeApplication {
	if settings.GapMs == 0 {
		settings.GapMs = gapMs
	}
	a := &nativeApplication{settings: settings}
	a.offer.forget()
	a.index = index{waiting: map[choice.Key]map[string]int64{}, counts: map[string]int64{}}
	a.duty = newDuty()
	return a
}

// NewNative makes a controller of the own interface from what its disk holds.
func NewNative(settings NativeSettings, keys map[string]string, nowMs int64) (*Machine, error) {
	m, _, err := newNative(settings, keys, nowMs)
	return m, err
}

func newNative(settings NativeSettings, keys map[string]string, nowMs int64) (*Machine, *nativeApplication, error) {
	a := newNativeApplication(settings)
	m, err := New(Settings{
		Site: settings.Site, Self: settings.Self, Seeds: settings.Seeds, GapMs: a.settings.GapMs,
		Application: a, Hooks: a, Bootstrap: BootstrapByOperator, StopWithoutHandover: true, PeersForRouters: true,
		QuietAfterRecoveryMs: RouterHoldMs,
	}, keys, nowMs)
	if err != nil {
		return nil, nil, err
	}
	if err := a.describe(); err != nil {
		return nil, nil, err
	}
	return m, a, nil
}

// describe compiles the description in force.
func (a *nativeApplication) describe() error {
	a.table.Forget()
	a.compiled = a.host.State().Revision
	if a.compiled.Number == 0 {
		a.described = nil
		return nil
	}
	d, faults := description.Read([]byte(a.compiled.Text), a.settings.Site)
	if len(faults) > 0 {
		return errors.Newf("the description in force can't be read: %s", strings.Join(faults, "; "))
	}
	a.described = d
	return nil
}

// Attach takes the machine that keeps the state.
func (a *nativeApplication) Attach(h ExtendedHost) { a.host = h }

// StateChanged brings what is compiled from the state up to it.
func (a *nativeApplication) StateChanged(Host) {
	a.table.Forget()
	if a.host.State().Revision != a.compiled {
		if err := a.describe(); err != nil {
			a.host.Logf("%v", err)
		}
	}
	a.tellWaiting()
}

// Elected forgets what an earlier primacy knew.
func (a *nativeApplication) Elected() {
	a.acceptFromMs = a.host.NowMs() + RouterHoldMs
	a.duty.begin(a.host.NowMs(), a.host.Epoch())
}

// BecamePrimary puts the revision of the state in force and tells the routers.
func (a *nativeApplication) BecamePrimary(Host) {
	a.offer.current = a.host.State().Revision
	a.offer.token = fmt.Sprintf("%s-%d", protocol.Digest(a.offer.current.Text), a.host.Epoch())
	a.nudge()
}

// Bootstrapped lets descriptions be accepted at once: no router has ever been
// given a lease.
func (a *nativeApplication) Bootstrapped() { a.acceptFromMs = a.host.NowMs() }

// LostPrimacy ends what only a primary may do.
func (a *nativeApplication) LostPrimacy(Host) { a.endOffer() }

// Hints gives the runners' burdens and who of them is silent.
func (a *nativeApplication) Hints() protocol.Hints {
	a.hints = a.duty.soft(a.host.NowMs())
	return a.hints
}

// HintsReceived takes the primary's hints at a follower.
func (a *nativeApplication) HintsReceived(hints protocol.Hints) {
	a.hints = hints
	a.table.Forget()
}

// HandleMessage takes a message of a router or of another controller.
func (a *nativeApplication) HandleMessage(_ Host, e protocol.Envelope) bool {
	switch body := e.Body.(type) {
	case protocol.RouterPoll:
		a.asked(e, body)
	case protocol.LookUp:
		a.lookUp(e, body)
	case protocol.DemandReport:
		a.demanded(body)
	default:
		return false
	}
	return true
}

// HandleInput takes what an operator or a call to a runner or the platform brings.
func (a *nativeApplication) HandleInput(_ Host, input any) bool {
	switch in := input.(type) {
	case protocol.RunnerReportResult:
		a.reported(in)
	case protocol.RunnerListResult:
		a.listed(in)
	case HandOver:
		a.handOver(in)
	case Look:
		a.look(in)
	default:
		return false
	}
	return true
}

// InputWhileRetired shows the pages still, and takes no description.
func (a *nativeApplication) InputWhileRetired(input any) {
	switch in := input.(type) {
	case Look:
		a.look(in)
	case HandOver:
		a.drop(in.ID, errkind.NotPrimary, "this daemon is retired", nil)
	}
}

// Tick does what is due by time.
func (a *nativeApplication) Tick(Host) {
	a.tickOffer()
	a.tickIndex()
	a.tickDuty()
}

func (a *nativeApplication) count(kind errkind.Kind) { a.host.Count(string(kind)) }
