package modelcheck

import (
	"encoding/json"
	"slices"
)

// Role selects the member of a scenario step by its role at the time of the step.
type Role uint8

// The roles that a step of a scenario may name.
const (
	// Primary is the member that is the primary.
	Primary Role = iota
	// Replica is the first other member that the primary's record lists as a
	// replica.
	Replica
	// NonReplica is the first member that the primary's record does not list as a
	// replica.
	NonReplica
)

// ScenarioStep is a write, or a fault of a member, at a point in time.
type ScenarioStep struct {
	// AtMs counts from the start of the schedule.
	AtMs  int64
	Write bool
	Role  Role
	Fault Fault
	// Optional is true if a run may end before the step.
	Optional bool
}

func (s ScenarioStep) String() string {
	if s.Write {
		return "scenario: write"
	}
	return "scenario: " + s.Fault.String()
}

// Scenario is what happens in every schedule of a check.
type Scenario struct {
	// Name identifies it on the command line.
	Name        string
	Description string
	Steps       []ScenarioStep
	// WindowMs is when the window starts within which schedules may deviate.
	WindowMs int64
	// Bootstrap is true if all members start for the first time, with empty disks.
	Bootstrap bool
}

// settledMs is when a cluster that was started from its disks has a primary and no
// change of its epoch record in progress.
const settledMs = 200

// The faults of scenarios.
var (
	crashAndReturn   = Fault{Kind: Crash, Ms: restartMs, Restart: WithDisk}
	crashAndLoseDisk = Fault{Kind: Crash, Ms: restartMs, Restart: WithoutDisk}
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{
		Name: "steady", Description: "a settled cluster takes a write",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs + 100, Write: true},
		},
	},
	{
		Name: "start", Description: "all members start from their disks",
		WindowMs: 0,
		Steps: []ScenarioStep{
			{AtMs: 150, Write: true},
		},
	},
	{
		Name: "founding", Description: "all members start for the first time and bootstrap the site",
		Bootstrap: true,
	},
	{
		Name: "primary crashes", Description: "the primary crashes and restarts with its disk",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Primary, Fault: crashAndReturn},
		},
	},
	{
		Name: "primary crashes, writes", Description: "the primary crashes during a stream of writes",
		WindowMs: settledMs,
		Steps: append([]ScenarioStep{
			{AtMs: settledMs + 100, Role: Primary, Fault: crashAndReturn},
		}, writesEvery(950, settledMs+90, settledMs+8000)...),
	},
	{
		Name: "replica wiped, writes", Description: "a replica restarts with an empty disk during a stream of writes",
		WindowMs: settledMs + restartMs,
		Steps: append([]ScenarioStep{
			{AtMs: settledMs, Role: Replica, Fault: crashAndLoseDisk},
		}, writesEvery(950, settledMs+90, settledMs+8000)...),
	},
	{
		Name: "primary wiped", Description: "the primary crashes and restarts with an empty disk",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Primary, Fault: crashAndLoseDisk},
		},
	},
	{
		Name: "replica wiped", Description: "a replica crashes and restarts with an empty disk",
		WindowMs: settledMs + restartMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs, Role: Replica, Fault: crashAndLoseDisk},
			{AtMs: settledMs + 400, Write: true},
			{AtMs: settledMs + 800, Write: true},
		},
	},
	{
		Name: "outsider wiped", Description: "a member that the record does not list as a replica restarts with an empty disk",
		WindowMs: settledMs + restartMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs, Role: NonReplica, Fault: crashAndLoseDisk},
			{AtMs: settledMs + 400, Write: true},
			{AtMs: settledMs + 800, Write: true},
		},
	},
	{
		Name: "replica leaves", Description: "a replica stops as planned and does not restart",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Replica, Fault: Fault{Kind: Leave}},
		},
	},
	{
		Name: "primary leaves", Description: "the primary stops as planned and does not restart",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Primary, Fault: Fault{Kind: Leave}},
		},
	},
	{
		Name: "rotation", Description: "primary and replica lose their disks in turn, each as soon as allowed",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Primary, Fault: crashAndLoseDisk},
			{AtMs: settledMs + 50, Role: Replica, Fault: crashAndLoseDisk},
			{AtMs: settledMs + 100, Role: Primary, Fault: crashAndLoseDisk},
			{AtMs: settledMs + 150, Role: Replica, Fault: crashAndLoseDisk},
		},
	},
	{
		Name: "busy", Description: "a replica stops as planned while writes continue",
		WindowMs: settledMs,
		Steps: append([]ScenarioStep{
			{AtMs: settledMs, Role: Replica, Fault: Fault{Kind: Leave}},
		}, writesEvery(300, settledMs, settledMs+8000)...),
	},
}

// writesEvery returns one optional write per interval between two times.
func writesEvery(intervalMs, fromMs, untilMs int64) []ScenarioStep {
	var steps []ScenarioStep
	for atMs := fromMs; atMs < untilMs; atMs += intervalMs {
		steps = append(steps, ScenarioStep{AtMs: atMs, Write: true, Optional: true})
	}
	return steps
}

const (
	// retryStepMs is the delay after which a step that is not possible yet is retried.
	retryStepMs = 50
	// maxStepWaitMs is how long a step is retried before it is skipped.
	maxStepWaitMs = 60_000
)

// FindScenario returns the scenario with a name.
func FindScenario(name string) (scenario Scenario, isKnown bool) {
	i := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return Scenarios[i], true
}

// scheduleScenario adds a scenario's steps to the queue.
func (c *cluster) scheduleScenario(s Scenario) {
	for _, step := range s.Steps {
		if !step.Write {
			c.recordFaultEnd(startMs + step.AtMs)
		}
		body := &action{
			description: step.String(), isOptional: step.Optional,
			run: func() { c.runScenarioStep(step) },
		}
		c.push(&event{atMs: c.nowMs + step.AtMs, body: body})
	}
}

// runScenarioStep executes a step. A fault waits until a member has the role and
// may be lost; a fault that can no longer happen is skipped.
func (c *cluster) runScenarioStep(step ScenarioStep) {
	if step.Write {
		c.submitWrite()
		return
	}
	isTooLate := c.nowMs > startMs+step.AtMs+maxStepWaitMs
	if isTooLate || c.permanentlyLost() >= c.scope.Losses {
		return
	}
	i := c.memberInRole(step.Role)
	if i < 0 || c.lostCount() >= c.scope.Losses {
		c.scheduleAction(retryStepMs, step.String(), func() { c.runScenarioStep(step) })
		return
	}
	c.logf("SCENARIO %s at %s", step.Fault, c.members[i].node.Name)
	if step.Fault.Kind == Leave {
		c.beginPlannedStop(i, step.Fault)
		return
	}
	c.exitProcess(i, step.Fault)
}

// memberInRole returns the index of the first member that has a role now, or -1.
func (c *cluster) memberInRole(role Role) int {
	primary := c.primary()
	if primary < 0 || role == Primary {
		return primary
	}
	var stored storedRecord
	if json.Unmarshal([]byte(c.members[primary].disk[recordKey]), &stored) != nil {
		return -1
	}
	return slices.IndexFunc(c.members, func(m *member) bool {
		isOther := m != c.members[primary] && !m.isDown
		return isOther && stored.Record.HasReplica(m.id()) == (role == Replica)
	})
}
