// Package controller is the control plane of the users' platform. The primary
// controller accepts configurations from operators and distributes them to the
// routers, follows the runners that the platform lists, and orders them to load
// and unload models. The other controllers answer look-ups from snapshots that
// the primary sends them. If the primary fails, one of them becomes the primary.
//
// Controller is the state machine: a consensus.Application that is driven through
// its Host and accesses no clock and no socket itself. Daemon runs it as a process.
package controller

import (
	"net"
	"slices"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/placement"
	"myrtlewinch/internal/protocol"
)

// Settings are the parameters of a controller.
type Settings struct {
	Self   protocol.Node
	Bounds bounds.Bounds
	// RunnerListAddress is the address of the platform's runner list.
	// RunnerListCallsPerSec is how many calls per second the platform accepts at this
	// address from the whole site.
	RunnerListAddress     string
	RunnerListCallsPerSec float64
	// OperatorPort is the port at which every controller serves operators. It is
	// used in redirects to the primary.
	OperatorPort string
}

// Controller is the state machine of one controller process. All its methods
// run on the goroutine of the consensus machine.
type Controller struct {
	settings Settings
	format   ConfigFormat
	// placement holds the runners, the index and the planner.
	placement *placement.Manager
	// isPrimary is true from BecamePrimary to LostPrimacy. The primary may act
	// only while Host.Serves returns true, which includes that its lease is valid.
	isPrimary   bool
	config      configState
	submissions submissionQueue
	orderRight  orderRight
	index       indexExchange
	prefill     prefillExchange
	routers     routerRegistry
}

var _ consensus.Application = (*Controller)(nil)

// New returns a controller that has no configuration yet. The format parses the
// configurations that operators submit.
func New(settings Settings, format ConfigFormat) *Controller {
	return &Controller{
		settings: settings, format: format,
		placement:   placement.New(settings.Bounds, settings.Self.Name, settings.RunnerListAddress, settings.RunnerListCallsPerSec),
		submissions: submissionQueue{maxHistory: maxHistory},
		routers:     newRouterRegistry(),
		prefill:     newPrefillExchange(),
	}
}

// StateChanged reads the configuration again after the replicated state has
// changed. The primary ignores the call: acceptSubmission applies its own changes
// once they are committed. A follower may read a change that is not committed
// yet; that is safe because it replies to no operator and updates no router.
func (c *Controller) StateChanged(h consensus.Host) {
	if !c.isPrimary {
		c.config.load(h, c.format)
		c.placement.SetConfiguration(c.config.active.parsed)
	}
}

// BecamePrimary is called when this controller has become the primary.
func (c *Controller) BecamePrimary(h consensus.Host) {
	c.isPrimary = true
	c.config.load(h, c.format)
	c.placement.SetConfiguration(c.config.active.parsed)
	c.beginOrderRight(h)
	c.routers.beginPrimacy(c.placement.LeavingRunners())
	// Routers learn of the new primary at once rather than at their next poll.
	c.updateRouters(h)
	c.beginSubmissions(h)
}

// LostPrimacy is called when this controller is no longer the primary.
func (c *Controller) LostPrimacy(h consensus.Host) {
	c.isPrimary = false
	c.placement.BecomeFollower()
	c.routers.endPrimacy()
	c.rejectWaitingSubmissions(h)
}

// HandleMessage handles a message of a router or of another controller. It
// returns false for a type that it does not know.
func (c *Controller) HandleMessage(h consensus.Host, e protocol.Envelope) bool {
	switch body := e.Body.(type) {
	case protocol.ConfigPoll:
		c.handlePoll(h, e.From, body)
	case protocol.IndexLookUp:
		c.handleLookUp(h, e.From, body)
	case protocol.PrefillReport:
		c.handlePrefillReport(h, e.From, body)
	case IndexSnapshot:
		c.handleIndexSnapshot(h, body)
	case DemandReport:
		c.handleDemandReport(h, body)
	default:
		return false
	}
	return true
}

// HandleInput handles a request of an operator or the result of a call to the
// platform or to a runner. It returns false for a type that it does not know.
func (c *Controller) HandleInput(h consensus.Host, input protocol.Input) bool {
	switch in := input.(type) {
	case OperatorRequest:
		c.handleOperatorRequest(h, in)
	case protocol.FleetResult:
		c.handleFleetResult(h, in)
	default:
		return false
	}
	return true
}

func (c *Controller) handleOperatorRequest(h consensus.Host, request OperatorRequest) {
	switch request := request.(type) {
	case SubmitConfig:
		c.handleSubmitConfig(h, request)
	case ReadConfig:
		c.handleReadConfig(h, request)
	case ReadStatus:
		reply(h, request.ID, c.status(h))
	}
}

func (c *Controller) handleFleetResult(h consensus.Host, result protocol.FleetResult) {
	// A result that arrives after LostPrimacy is ignored: the next primary makes
	// its own calls.
	if !c.isPrimary {
		return
	}
	switch result := result.(type) {
	case protocol.RunnerList:
		c.handleRunnerList(h, result)
	case protocol.RunnerStateResult:
		c.placement.HandleRunnerState(h.NowMs(), result)
		c.advancePlacement(h)
	case protocol.RunnerOrderResult:
		c.placement.HandleOrderResult(h.NowMs(), result)
		c.advancePlacement(h)
	}
}

// handleRunnerList notifies the routers at once when the set of leaving runners
// has changed.
func (c *Controller) handleRunnerList(h consensus.Host, list protocol.RunnerList) {
	if c.placement.HandleRunnerList(h.NowMs(), list) {
		c.routers.setLeaving(c.placement.LeavingRunners())
		c.updateRouters(h)
	}
}

// Tick does the periodic work.
func (c *Controller) Tick(h consensus.Host) {
	c.tickPrefill(h)
	if c.isPrimary {
		c.tickPrimary(h)
	} else {
		c.tickFollower(h)
	}
}

func (c *Controller) tickPrimary(h consensus.Host) {
	if !h.Serves() {
		return
	}
	c.processSubmissions(h)
	c.placement.SetEpoch(h.Epoch())
	c.claimOrderRight(h)
	c.runPlacement(h)
	c.sendSnapshots(h)
}

// advancePlacement runs the placement now rather than at the next tick, if this
// controller is active.
func (c *Controller) advancePlacement(h consensus.Host) {
	if h.Serves() {
		c.runPlacement(h)
	}
}

// runPlacement makes the calls that the placement requests, and sends routers the
// index updates that are meant for them.
func (c *Controller) runPlacement(h consensus.Host) {
	calls, updates := c.placement.Tick(h.NowMs(), h.LeaseUntilMs())
	for _, call := range calls {
		if order, isOrder := call.Body.(protocol.RunnerOrder); isOrder {
			logOrder(h, order)
		}
		h.Call(call.Address, call.Body)
	}
	for _, update := range updates {
		h.Send(update.To, update.Reply)
	}
}

func logOrder(h consensus.Host, order protocol.RunnerOrder) {
	action := "unload"
	if order.Load {
		action = "load"
	}
	h.Logf("order %d to %s: %s %s %s", order.Number, order.Runner, action, order.Model, order.Adapter)
}

// mayAnswerOperators reports whether this controller is the primary and Host.Serves
// allows it to act as such.
func (c *Controller) mayAnswerOperators(h consensus.Host) bool { return c.isPrimary && h.Serves() }

// redirectToPrimary rejects an operator's request that only the primary may
// answer. It names the primary only if that is alive and a majority confirmed it
// recently: redirects to an outdated primary could form a loop.
func (c *Controller) redirectToPrimary(h consensus.Host, id uint64) {
	rejection := protocol.Rejection{Kind: errkind.NotPrimary, Detail: "only the primary answers this request"}
	primary := h.Primary()
	isPrimary := func(n protocol.Node) bool { return n.Name == primary.Name }
	isAlive := slices.ContainsFunc(h.Controllers(), isPrimary)
	host, _, err := net.SplitHostPort(primary.Address)
	if err == nil && isAlive && h.QuorumContact() {
		rejection.Primary = net.JoinHostPort(host, c.settings.OperatorPort)
	}
	reject(h, id, rejection)
}

// reply sends the reply to an operator's request.
func reply(h consensus.Host, id uint64, reply OperatorReply) { h.Respond(id, reply) }

// reject replies to an operator's request with a rejection.
func reject(h consensus.Host, id uint64, rejection protocol.Rejection) { h.Respond(id, rejection) }
