package modelcheck

import (
	"encoding/json"
	"slices"
)

// Role names a member by what it is when a step of a scenario happens.
type Role uint8

// The roles that a step of a scenario may name.
const (
	// Primary is the member that is the primary.
	Primary Role = iota
	// Replica is the first other member that the primary's record lists as a
	// replica.
	Replica
	// Outsider is the first member that the primary's record does not list as a
	// replica.
	Outsider
)

// ScenarioStep is a write, or a fault of a member, at a time.
type ScenarioStep struct {
	// AtMs counts from the beginning of the schedule.
	AtMs  int64
	Write bool
	Role  Role
	Fault Fault
	// Optional says that a schedule may end before the step.
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
	// Name is what the command line knows it by.
	Name        string
	Description string
	Steps       []ScenarioStep
	// WindowMs is when the window begins within which schedules may deviate.
	WindowMs int64
	// Bootstrap says that all members start for the first time, with empty disks.
	Bootstrap bool
}

// settledMs is when a cluster that was started from its disks has a primary and
// no change of its record under way.
const settledMs = 200

// The faults of scenarios.
var (
	crashAndReturn   = Fault{Kind: Crash, Ms: returnMs, Return: WithDisk}
	crashAndLoseDisk = Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}
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
		Name: "primary crashes", Description: "the primary crashes and comes back with its disk",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Primary, Fault: crashAndReturn},
		},
	},
	{
		Name: "primary crashes, writes", Description: "the primary crashes in a stream of writes",
		WindowMs: settledMs,
		Steps: append([]ScenarioStep{
			{AtMs: settledMs + 100, Role: Primary, Fault: crashAndReturn},
		}, writesEach(950, settledMs+90, settledMs+8000)...),
	},
	{
		Name: "replica wiped, writes", Description: "a replica comes back with an empty disk in a stream of writes",
		WindowMs: settledMs + returnMs,
		Steps: append([]ScenarioStep{
			{AtMs: settledMs, Role: Replica, Fault: crashAndLoseDisk},
		}, writesEach(950, settledMs+90, settledMs+8000)...),
	},
	{
		Name: "primary wiped", Description: "the primary crashes and comes back with an empty disk",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Primary, Fault: crashAndLoseDisk},
		},
	},
	{
		Name: "replica wiped", Description: "a replica crashes and comes back with an empty disk",
		WindowMs: settledMs + returnMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs, Role: Replica, Fault: crashAndLoseDisk},
			{AtMs: settledMs + 400, Write: true},
			{AtMs: settledMs + 800, Write: true},
		},
	},
	{
		Name: "outsider wiped", Description: "a member that is not a recorded replica comes back with an empty disk",
		WindowMs: settledMs + returnMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs, Role: Outsider, Fault: crashAndLoseDisk},
			{AtMs: settledMs + 400, Write: true},
			{AtMs: settledMs + 800, Write: true},
		},
	},
	{
		Name: "replica leaves", Description: "a replica stops as planned, for good",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Replica, Fault: Fault{Kind: Leave}},
		},
	},
	{
		Name: "primary leaves", Description: "the primary stops as planned, for good",
		WindowMs: settledMs,
		Steps: []ScenarioStep{
			{AtMs: settledMs - 50, Write: true},
			{AtMs: settledMs, Role: Primary, Fault: Fault{Kind: Leave}},
		},
	},
	{
		Name: "rotation", Description: "primary and replica lose their disks in turn, each as soon as that may be",
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
		Name: "busy", Description: "a replica stops as planned while writes go on",
		WindowMs: settledMs,
		Steps: append([]ScenarioStep{
			{AtMs: settledMs, Role: Replica, Fault: Fault{Kind: Leave}},
		}, writesEach(300, settledMs, settledMs+8000)...),
	},
}

// writesEach gives a write at each interval, from a time until another.
func writesEach(intervalMs, fromMs, untilMs int64) []ScenarioStep {
	var steps []ScenarioStep
	for atMs := fromMs; atMs < untilMs; atMs += intervalMs {
		steps = append(steps, ScenarioStep{AtMs: atMs, Write: true, Optional: true})
	}
	return steps
}

const (
	// retryStepMs is after how long a step is tried again.
	retryStepMs = 50
	// maxStepWaitMs is for how long it is.
	maxStepWaitMs = 60_000
)

// FindScenario finds a scenario by name.
func FindScenario(name string) (scenario Scenario, isKnown bool) {
	i := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return Scenarios[i], true
}

// scheduleScenario puts a scenario's steps into the queue.
func (c *cluster) scheduleScenario(s Scenario) {
	for _, step := range s.Steps {
		if !step.Write {
			c.noteFaultUntil(startMs + step.AtMs)
		}
		body := &action{
			description: step.String(), isOptional: step.Optional,
			run: func() { c.runScenarioStep(step) },
		}
		c.push(&event{atMs: c.nowMs + step.AtMs, body: body})
	}
}

// runScenarioStep lets a step happen. A fault waits until a member has the role
// and may be lost; one that can't happen any more is left out.
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
		c.beginStop(i, step.Fault)
		return
	}
	c.exitProcess(i, step.Fault)
}

// memberInRole finds a member that has a role now, or -1.
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
