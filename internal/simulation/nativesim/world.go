// Package nativesim simulates a whole site with the native interface in
// virtual time: the daemons' own state machines on a seeded network and seeded
// disks, with stubs for runners, platform, clients and operators. It injects
// faults and checks the rules of package invariants against what clients,
// runners and operators observe. Runs with the same seed are identical.
package nativesim

import (
	"fmt"
	"math/rand"
	"sort"
	"strings"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/disk"
	"myrtlewinch/internal/simulation/eventqueue"
	"myrtlewinch/internal/simulation/invariants"
	"myrtlewinch/internal/simulation/network"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/simulation/tracelog"
)

const (
	startMs = 1_000_000
	// tickMs is how often daemons get a Tick.
	tickMs        = 50
	maxTraceLines = 400
	// seedCount is how many controllers the daemons know by address from the
	// start, and how many witnesses a bootstrap names.
	seedCount = 3
	// anyRole stands for daemons of every role.
	anyRole = ""
)

// The endpoints of the network besides daemons and runners.
const (
	platformEndpoint = "platform"
	operatorEndpoint = "operator"
	clientsEndpoint  = "clients"
)

// exampleSites are the sites that the descriptions under examples name.
var exampleSites = []string{"zagreb", "alexandria"}

// World is a complete site in virtual time.
type World struct {
	Seed    int64
	Checker *invariants.Checker
	// DescriptionText is the description that the site begins with; Description
	// is the same text, parsed.
	DescriptionText string
	Description     *description.Description
	// Random is the source of all random numbers. Another order of the draws
	// changes what each seed does.
	Random *rand.Rand
	// Network counts the messages between daemons.
	Network NetworkCounters
	// Bugs break the system on purpose; set them before RunScenario.
	Bugs Bugs

	events *eventqueue.Queue
	links  *network.Network
	trace  *tracelog.Log
	// nodes holds the daemons by name, nodeAt their names by address.
	nodes  map[string]*node
	nodeAt map[string]string
	// seeds are the addresses of the first controllers.
	seeds    []string
	runners  map[string]*runner
	platform *testbackend.Platform
	operator operator
	clients  clients
	// recovering holds the controllers whose fault has not ended, or which have
	// not had the time to catch up after it.
	recovering map[string]bool
	// submissions numbers the descriptions of submitNext, moves the addresses of
	// nextAddress.
	submissions, moves int
	// acceptStaleRevisions is true while runners run requests under any revision.
	acceptStaleRevisions bool
	// countBytes makes Network count bytes, which costs time.
	countBytes bool
	// reportedCapacity replaces the capacity that runners report, if above 0.
	reportedCapacity int64
}

// New returns the world of the described site, with its daemons and runners
// started. The site is not bootstrapped.
func New(text string, seed int64) *World {
	d := readDescription(text)
	w := &World{
		Seed:            seed,
		Checker:         invariants.New(d.Store.LoadsPer10s, d.RetryAllowance),
		DescriptionText: text,
		Description:     d,
		Random:          rand.New(rand.NewSource(seed)),
		events:          eventqueue.New(startMs),
		trace:           tracelog.New(maxTraceLines),
		nodes:           map[string]*node{},
		nodeAt:          map[string]string{},
		runners:         map[string]*runner{},
		platform:        testbackend.NewPlatform(),
		operator:        newOperator(),
		clients:         newClients(d),
		recovering:      map[string]bool{},
	}
	w.links = network.New(w.events, w.Random, drawLatencyMs)
	w.addNodes()
	for _, r := range d.Runners {
		w.runners[r.Name] = &runner{name: r.Name, capacity: r.Capacity, loadMs: defaultLoadMs}
		w.StartRunner(r.Name)
	}
	for _, name := range w.nodeNames(anyRole) {
		w.nodes[name].seeds = w.seeds
		w.Start(name)
	}
	return w
}

// readDescription parses the description of one of the example sites.
func readDescription(text string) *description.Description {
	var site string
	for _, name := range exampleSites {
		if strings.Contains(text, `"`+name+`"`) {
			site = name
		}
	}
	d, faults := description.Read([]byte(text), site)
	if len(faults) > 0 {
		panic(fmt.Sprintf("nativesim: the description is not valid: %v", faults))
	}
	return d
}

func (w *World) addNodes() {
	for i, member := range w.Description.Controllers {
		n := w.addNode(member, protocol.RoleController)
		n.disk = disk.New(member.Name)
		if i < seedCount {
			w.seeds = append(w.seeds, n.address)
		}
	}
	for _, member := range w.Description.Routers {
		w.addNode(member, protocol.RoleRouter)
	}
}

// nodeNames returns the sorted names of the daemons of a role, or of anyRole.
func (w *World) nodeNames(role string) []string {
	var names []string
	for name, n := range w.nodes {
		if role == anyRole || n.role == role {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// otherEndpoints returns all endpoints except the runners and the given ones.
func (w *World) otherEndpoints(except ...string) []string {
	excluded := map[string]bool{}
	for _, name := range except {
		excluded[name] = true
	}
	var names []string
	for _, name := range append(w.nodeNames(anyRole), platformEndpoint, operatorEndpoint, clientsEndpoint) {
		if !excluded[name] {
			names = append(names, name)
		}
	}
	return names
}

// smallService returns the name of the first idempotent service. Idempotent
// services are the small ones and get the most requests.
func (w *World) smallService() string {
	for _, service := range w.Description.Services {
		if service.Idempotent {
			return service.Name
		}
	}
	return ""
}

func (w *World) tracef(format string, args ...any) {
	w.trace.Addf(w.events.NowMs(), format, args...)
}

// Trace returns the latest lines of the trace.
func (w *World) Trace() string { return w.trace.String() }

// Run advances virtual time and runs the events that are due.
func (w *World) Run(ms int64) { w.events.RunFor(ms) }
