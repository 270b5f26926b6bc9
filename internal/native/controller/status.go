package controller

import (
	"sort"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// StatusRequest is an input. The reply is Status.
type StatusRequest struct{ ID uint64 }

// DescriptionRequest is an input. The reply is DescriptionReply.
type DescriptionRequest struct{ ID uint64 }

// MachineInput marks StatusRequest as a protocol.Input.
func (StatusRequest) MachineInput() {}

// MachineInput marks DescriptionRequest as a protocol.Input.
func (DescriptionRequest) MachineInput() {}

// Status is a controller's view of itself and of the site.
type Status struct {
	Site        string `json:"site"`
	Name        string `json:"name"`
	Part        string `json:"part"`
	Incarnation string `json:"incarnation"`
	Role        string `json:"role"`
	// Active is true if this controller is the primary and may answer on behalf of the site.
	// Orders is true if it may give orders to runners.
	Active       bool                 `json:"active"`
	Orders       bool                 `json:"orders"`
	DiskBroken   bool                 `json:"diskBroken"`
	Retired      bool                 `json:"retired"`
	WitnessBlank bool                 `json:"witnessBlank"`
	Record       protocol.EpochRecord `json:"record"`
	// UnresponsiveWitnesses lists, at the primary, the witnesses that have been unresponsive
	// for longer than the witness timeout.
	UnresponsiveWitnesses []string          `json:"witnessesAway"`
	Position              protocol.Position `json:"position"`
	Revision              uint64            `json:"revision"`
	// Pending is the revision number of the pending proposal, or 0.
	Pending uint64                   `json:"pending"`
	LookUps uint64                   `json:"lookUps"`
	Peers   []consensus.PeerStatus   `json:"fellows"`
	Rows    []*ledger.RunnerRow      `json:"rows"`
	Leaving []protocol.LeavingRunner `json:"leaving"`
	// RunnerListAgeMs is the age in ms of the platform's list at the primary, or -1.
	RunnerListAgeMs int64          `json:"platformAgeMs"`
	Routers         []RouterStatus `json:"routers"`
}

// RouterStatus is the state of a router's lease at the primary.
type RouterStatus struct {
	Name string `json:"name"`
	// LeaseLeftMs is the remaining time of the lease; negative if it has expired.
	// Acknowledged is the token of the proposal that the router last acknowledged.
	LeaseLeftMs  int64  `json:"heldMs"`
	Acknowledged string `json:"acked,omitempty"`
}

// DescriptionReply is the current revision, as far as this controller knows, and the
// history. It is authoritative only if it comes from an active primary.
type DescriptionReply struct {
	Revision      ledger.Revision
	Authoritative bool
	Primary       string
	History       []ledger.HistoryEntry
}

// ReplyBody marks Status as a protocol.Reply.
func (Status) ReplyBody() {}

// ReplyBody marks DescriptionReply as a protocol.Reply.
func (DescriptionReply) ReplyBody() {}

// replyDescription replies with the current revision. The primary does not take it from its
// ledger, because the ledger may contain a revision that is not committed yet.
func (a *application) replyDescription(request DescriptionRequest) {
	revision := a.state().Revision
	if a.host.IsPrimary() {
		revision = a.proposals.current
	}
	a.host.Respond(request.ID, DescriptionReply{
		Revision: revision, Authoritative: a.host.Serves(), Primary: a.host.Record().Primary,
		History: append([]ledger.HistoryEntry{}, a.state().History...),
	})
}

// replyStatus replies with the status.
func (a *application) replyStatus(request StatusRequest) {
	self, member := a.host.Self(), a.host.MemberStatus()
	status := Status{
		Site: a.settings.Site, Name: self.Name, Part: self.Part, Incarnation: self.Incarnation,
		Role: member.Role, Active: a.host.Serves(), Orders: a.mayOrder(), DiskBroken: member.DiskFailed,
		Retired: member.Retired, WitnessBlank: member.WitnessBlank, Record: a.host.Record(), UnresponsiveWitnesses: member.UnresponsiveWitnesses,
		Position: a.host.Position(), Revision: a.state().Revision.Number, LookUps: a.index.lookUps,
		Peers: member.Peers, Rows: a.runnerRows(), Leaving: a.primary.leavingRunners(a.state()),
		RunnerListAgeMs: -1, Routers: a.routerStatus(),
	}
	if pending := a.proposals.pending; pending != nil {
		status.Pending = pending.number
	}
	if a.host.IsPrimary() && a.primary.listReceivedMs > 0 {
		status.RunnerListAgeMs = a.host.NowMs() - a.primary.listReceivedMs
	}
	a.host.Respond(request.ID, status)
}

// runnerRows copies the ledger's rows because another goroutine reads the reply.
func (a *application) runnerRows() []*ledger.RunnerRow {
	var rows []*ledger.RunnerRow
	for _, row := range a.state().Copy().Rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Runner < rows[j].Runner })
	return rows
}

func (a *application) routerStatus() []RouterStatus {
	var routers []RouterStatus
	for router, lease := range a.proposals.leases {
		routers = append(routers, RouterStatus{router.Name, lease.untilMs - a.host.NowMs(), lease.acknowledged})
	}
	sort.Slice(routers, func(i, j int) bool { return routers[i].Name < routers[j].Name })
	return routers
}
