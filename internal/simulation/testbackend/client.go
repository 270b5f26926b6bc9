package testbackend

import (
	"fmt"
	"maps"
	"math/rand"
	"sort"
	"sync"
	"time"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/simulation/invariants"
	"myrtlewinch/internal/threads"
)

const (
	// maxInFlight bounds the requests of one client that wait for a response.
	maxInFlight = 512
	// avoidRouterMs is how long a client avoids a router that could not be reached or
	// was shutting down.
	avoidRouterMs = 3000
	// requestTimeout is longer than any service's deadline.
	requestTimeout = 90 * time.Second
)

// Outcome is how a request ended for its client: one of the constants below, or the
// error kind in the router's response.
type Outcome string

// The outcomes besides the error kinds.
const (
	OutcomeCompleted Outcome = "answered"
	// OutcomeNotSent: the client had too many requests in flight.
	OutcomeNotSent Outcome = "not sent: too many under way"
	// OutcomeRouterUnreachable: nothing was written, so the request has not run.
	OutcomeRouterUnreachable Outcome = "router not reached"
	// OutcomeBrokenBeforeResponse, OutcomeBrokenInResponse and OutcomeBrokenInStream:
	// the connection broke, so the client cannot know whether the request ran.
	OutcomeBrokenBeforeResponse Outcome = "stream broke before an answer"
	OutcomeBrokenInResponse     Outcome = "stream broke in an answer"
	OutcomeBrokenInStream       Outcome = "stream broke off"
	// OutcomeMalformed and OutcomeInvalid violate a rule: an error response that cannot
	// be decoded, and a response that is not the runner's complete one to this request.
	OutcomeMalformed Outcome = "nonsense"
	OutcomeInvalid   Outcome = "wrong"
)

// Client sends requests for services to several routers, counts the outcomes and
// reports its observations to a checker. Set the exported fields before it starts.
type Client struct {
	// Name is the prefix of the IDs of its requests.
	Name string
	// Routers are the HTTP addresses of the routers.
	Routers   []string
	Workloads []Workload
	Checker   *invariants.Checker
	// NowMs returns the time for the checker's observations.
	NowMs func() int64

	transport *httpclient.Client
	inFlight  sync.WaitGroup
	stop      chan struct{}

	mu        sync.Mutex
	random    *rand.Rand
	submitted int
	outcomes  map[string]map[Outcome]int
	// avoidUntilMs holds, by router, the time until which the client avoids the router.
	avoidUntilMs map[string]int64
}

// NewClient returns a client whose random choices depend only on the seed.
func NewClient(name string, routers []string, workloads []Workload, checker *invariants.Checker, nowMs func() int64, seed int64) *Client {
	return &Client{
		Name: name, Routers: routers, Workloads: workloads, Checker: checker, NowMs: nowMs,
		transport:    httpclient.New(),
		stop:         make(chan struct{}),
		random:       rand.New(rand.NewSource(seed)),
		outcomes:     map[string]map[Outcome]int{},
		avoidUntilMs: map[string]int64{},
	}
}

// AddTasks adds a goroutine for each workload to a group.
func (c *Client) AddTasks(group *threads.Group) {
	var once sync.Once
	slots := make(chan struct{}, maxInFlight)
	for _, workload := range c.Workloads {
		run := func() error {
			c.runWorkload(workload, slots)
			return nil
		}
		group.Add(run, func() { once.Do(func() { close(c.stop) }) })
	}
}

// runWorkload sends requests at the workload's rate until the client stops.
func (c *Client) runWorkload(workload Workload, slots chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / workload.RequestsPerSec))
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.sendIfSlotFree(workload, slots)
		}
	}
}

// sendIfSlotFree sends a request in a goroutine of its own, unless too many are
// in flight.
func (c *Client) sendIfSlotFree(workload Workload, slots chan struct{}) {
	select {
	case slots <- struct{}{}:
	default:
		c.count(workload.Service, OutcomeNotSent)
		return
	}
	c.inFlight.Add(1)
	threads.Go(func() {
		defer c.inFlight.Done()
		defer func() { <-slots }()
		c.SendOne(workload)
	})
}

// RunFor sends requests for the given duration, or until a signal stops the process,
// and waits until all requests have ended.
func (c *Client) RunFor(duration time.Duration) {
	var group threads.Group
	c.AddTasks(&group)
	group.StopOnSignal(nil)
	timeUp := make(chan struct{})
	timer := time.AfterFunc(duration, func() { close(timeUp) })
	defer timer.Stop()
	group.StopWhen(timeUp)
	_ = group.Run()
	c.Wait()
}

// Wait waits until all requests have ended, and closes the connections.
func (c *Client) Wait() {
	c.inFlight.Wait()
	c.transport.Close()
}

// SendOne sends one request and counts its outcome. If a router is shutting down or
// cannot be reached, the request has not run, and the client sends it to another router
// at once.
func (c *Client) SendOne(workload Workload) Outcome {
	router, request := c.nextRequest(workload)
	var outcome Outcome
	for range c.Routers {
		c.Checker.RequestSubmitted(workload.Service, request.ID)
		outcome = c.send(router, workload, request)
		if outcome != Outcome(errkind.ShuttingDown) && outcome != OutcomeRouterUnreachable {
			break
		}
		router = c.avoidRouter(router)
	}
	c.count(workload.Service, outcome)
	return outcome
}

// nextRequest chooses a router at random and generates a request.
func (c *Client) nextRequest(workload Workload) (router string, request clientRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted++
	request.ID = fmt.Sprintf("%s-%d", c.Name, c.submitted)
	request.Input.Text = "of " + request.ID
	router = c.chooseRouter()
	request.Model, request.Adapter = workload.chooseModel(c.random)
	return router, request
}

// avoidRouter avoids a router for avoidRouterMs, and returns the router to try next.
func (c *Client) avoidRouter(router string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntilMs[router] = c.NowMs() + avoidRouterMs
	return c.chooseRouter()
}

// chooseRouter chooses a random router that is not avoided, or any router if all are
// avoided. The caller must hold the lock.
func (c *Client) chooseRouter() string {
	var candidates []string
	for _, router := range c.Routers {
		if c.avoidUntilMs[router] <= c.NowMs() {
			candidates = append(candidates, router)
		}
	}
	if len(candidates) == 0 {
		candidates = c.Routers
	}
	return candidates[c.random.Intn(len(candidates))]
}

func (c *Client) count(service string, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes[service] == nil {
		c.outcomes[service] = map[Outcome]int{}
	}
	c.outcomes[service][outcome]++
}

// Outcomes returns a copy of the counts of outcomes, by service.
func (c *Client) Outcomes() map[string]map[Outcome]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]map[Outcome]int, len(c.outcomes))
	for service, counts := range c.outcomes {
		copied[service] = maps.Clone(counts)
	}
	return copied
}

// OutcomeLines returns the counts of outcomes as sorted lines of text.
func (c *Client) OutcomeLines() []string {
	var lines []string
	for service, counts := range c.Outcomes() {
		for outcome, count := range counts {
			lines = append(lines, fmt.Sprintf("%-16s %-28s %6d", service, outcome, count))
		}
	}
	sort.Strings(lines)
	return lines
}
