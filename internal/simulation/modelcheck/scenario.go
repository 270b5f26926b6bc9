package modelcheck

import (
	"encoding/json"
	"slices"

	"myrtlewinch/internal/protocol"
)

// Role names a member by its part at the time.
type Role uint8

// The roles that a step of a scenario may name.
const (
	// Primary is the member that is active.
	Primary Role = iota
	// Replica is the first other member of the primary's record that holds a copy.
	Replica
	// Outsider is the first member that holds no recorded copy.
	Outsider
)

// ScenarioStep is a write, or a fault at a member, at a time.
type ScenarioStep struct {
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
	Name  string
	About string
	Steps []ScenarioStep
	// WindowMs is when the window of deviations begins.
	WindowMs int64
	// Founding says that all members start for the first time, with empty disks.
	Founding bool
}

// settledMs is when a cluster that was started from its disks serves and has
// no change of its record under way.
const settledMs = 200

// Scenarios lists what may be asked for.
var Scenarios = []Scenario{
	{Name: "steady", About: "a settled cluster takes a write", WindowMs: settledMs, Steps: []ScenarioStep{
		{AtMs: settledMs + 100, Write: true},
	}},
	{Name: "start", About: "all members start from their disks", WindowMs: 0, Steps: []ScenarioStep{
		{AtMs: 150, Write: true},
	}},
	{Name: "founding", About: "all members start for the first time and found the site", Founding: true},
	{Name: "primary crashes", About: "the primary crashes and comes back with its disk", WindowMs: settledMs, Steps: []ScenarioStep{
		{AtMs: settledMs - 50, Write: true},
		{AtMs: settledMs, Role: Primary, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithDisk}},
	}},
	{Name: "primary crashes, writes", About: "the primary crashes in a stream of writes", WindowMs: settledMs, Steps: append([]ScenarioStep{
		{AtMs: settledMs + 100, Role: Primary, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithDisk}},
	}, writesEach(950, settledMs+90, settledMs+8000)...)},
	{Name: "replica wiped, writes", About: "a replica comes back with an empty disk in a stream of writes", WindowMs: settledMs + returnMs, Steps: append([]ScenarioStep{
		{AtMs: settledMs, Role: Replica, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}},
	}, writesEach(950, settledMs+90, settledMs+8000)...)},
	{Name: "primary wiped", About: "the primary crashes and comes back with an empty disk", WindowMs: settledMs, Steps: []ScenarioStep{
		{AtMs: settledMs - 50, Write: true},
		{AtMs: settledMs, Role: Primary, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}},
	}},
	{Name: "replica wiped", About: "a replica crashes and comes back with an empty disk", WindowMs: settledMs + returnMs, Steps: []ScenarioStep{
		{AtMs: settledMs, Role: Replica, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}},
		{AtMs: settledMs + 400, Write: true},
		{AtMs: settledMs + 800, Write: true},
	}},
	{Name: "outsider wiped", About: "a member without a recorded copy comes back with an empty disk", WindowMs: settledMs + returnMs, Steps: []ScenarioStep{
		{AtMs: settledMs, Role: Outsider, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}},
		{AtMs: settledMs + 400, Write: true},
		{AtMs: settledMs + 800, Write: true},
	}},
	{Name: "replica leaves", About: "a replica stops as planned, for good", WindowMs: settledMs, Steps: []ScenarioStep{
		{AtMs: settledMs - 50, Write: true},
		{AtMs: settledMs, Role: Replica, Fault: Fault{Kind: Leave}},
	}},
	{Name: "primary leaves", About: "the primary stops as planned, for good", WindowMs: settledMs, Steps: []ScenarioStep{
		{AtMs: settledMs - 50, Write: true},
		{AtMs: settledMs, Role: Primary, Fault: Fault{Kind: Leave}},
	}},
	{Name: "rotation", About: "primary and replica lose their disks in turn, each as soon as that may be", WindowMs: settledMs, Steps: []ScenarioStep{
		{AtMs: settledMs - 50, Write: true},
		{AtMs: settledMs, Role: Primary, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}},
		{AtMs: settledMs + 50, Role: Replica, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}},
		{AtMs: settledMs + 100, Role: Primary, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}},
		{AtMs: settledMs + 150, Role: Replica, Fault: Fault{Kind: Crash, Ms: returnMs, Return: WithoutDisk}},
	}},
	{Name: "busy", About: "a replica stops as planned while writes go on", WindowMs: settledMs, Steps: append([]ScenarioStep{
		{AtMs: settledMs, Role: Replica, Fault: Fault{Kind: Leave}},
	}, writesEach(300, settledMs, settledMs+8000)...)},
}

// writesEach gives a write at each interval.
func writesEach(intervalMs, fromMs, untilMs int64) []ScenarioStep {
	var steps []ScenarioStep
	for atMs := fromMs; atMs < untilMs; atMs += intervalMs {
		steps = append(steps, ScenarioStep{AtMs: atMs, Write: true, Optional: true})
	}
	return steps
}

const (
	// waitMs is how long a step waits before it is tried again.
	waitMs = 50
	// waitMostMs is how long it waits in all.
	waitMostMs = 60_000
)

// gone counts the members that are lost for good.
func (c *cluster) gone() int {
	count := 0
	for _, m := range c.members {
		if m.lostMs >= forGood {
			count++
		}
	}
	return count
}

// FindScenario finds a scenario by name.
func FindScenario(name string) (Scenario, bool) {
	i := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return Scenarios[i], true
}

// plan puts a scenario's steps into the queue.
func (c *cluster) plan(s Scenario) {
	for _, step := range s.Steps {
		if !step.Write {
			c.heal(startMs + step.AtMs)
		}
		c.push(&event{atMs: c.nowMs + step.AtMs, kind: actionEvent, about: step.String(), optional: step.Optional, action: func() { c.play(step) }})
	}
}

// play plays a step. A fault waits until there is a member of that role, and as
// long as it would lose more members than may be lost; one that can't happen any
// more is left out.
func (c *cluster) play(step ScenarioStep) {
	if step.Write {
		c.write()
		return
	}
	if c.gone() >= c.scope.Losses || c.nowMs > startMs+step.AtMs+waitMostMs {
		return
	}
	i := c.inRole(step.Role)
	if i < 0 || c.lost() >= c.scope.Losses {
		c.after(waitMs, step.String(), func() { c.play(step) })
		return
	}
	c.note("SCENARIO %s at %s", step.Fault, c.members[i].place.Name)
	if step.Fault.Kind == Leave {
		c.leave(i, step.Fault)
		return
	}
	c.exit(i, step.Fault)
}

// inRole finds a member by its part, or -1.
func (c *cluster) inRole(role Role) int {
	primary := c.primary()
	if primary < 0 || role == Primary {
		return primary
	}
	var remembered struct{ Record protocol.EpochRecord }
	if json.Unmarshal([]byte(c.members[primary].keys["record"]), &remembered) != nil {
		return -1
	}
	return slices.IndexFunc(c.members, func(m *member) bool {
		return m != c.members[primary] && !m.down && remembered.Record.HasReplica(m.seat()) == (role == Replica)
	})
}
