package testbackend

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/simulation/invariants"
	"myrtlewinch/internal/threads"
)

// Workload is how often a service is asked, and what it may name.
type Workload struct {
	Service        string
	RequestsPerSec float64
	Streaming      bool
	Models         []string
	Adapters       map[string][]string
}

// WorkloadsOf spreads a description's services over a rate: the small repeatable
// ones at one pace, the others at another.
func WorkloadsOf(d *description.Description, smallPerSec, otherPerSec float64) []Workload {
	var workload []Workload
	for _, s := range d.Services {
		m := Workload{Service: s.Name, RequestsPerSec: otherPerSec, Streaming: s.Telling, Models: s.Models, Adapters: map[string][]string{}}
		if s.Repeatable {
			m.RequestsPerSec = smallPerSec
		}
		for _, a := range d.Adapters {
			m.Adapters[a.Model] = append(m.Adapters[a.Model], a.Name)
		}
		workload = append(workload, m)
	}
	return workload
}

// Client asks services of routers and takes down what it gets.
type Client struct {
	Name      string
	Routers   []string
	Workloads []Workload
	Checker   *invariants.Checker
	NowMs     func() int64

	mu           sync.Mutex
	random       *rand.Rand
	submitted    int
	outcomes     map[string]map[string]int
	transport    *httpclient.Client
	avoidUntilMs map[string]int64
	inFlight     sync.WaitGroup
	stop         chan struct{}
}

const maxInFlight = 512

// NewClient makes a client whose choices follow from the seed.
func NewClient(name string, routers []string, workload []Workload, checker *invariants.Checker, nowMs func() int64, seed int64) *Client {
	return &Client{
		Name: name, Routers: routers, Workloads: workload, Checker: checker, NowMs: nowMs,
		random: rand.New(rand.NewSource(seed)), outcomes: map[string]map[string]int{},
		transport: httpclient.New(), avoidUntilMs: map[string]int64{}, stop: make(chan struct{}),
	}
}

// AddTasks adds a thread for each service to the crew.
func (c *Client) AddTasks(group *threads.Group) {
	var once sync.Once
	places := make(chan struct{}, maxInFlight)
	for _, workload := range c.Workloads {
		group.Add(func() error {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / workload.RequestsPerSec))
			defer ticker.Stop()
			for {
				select {
				case <-c.stop:
					return nil
				case <-ticker.C:
				}
				select {
				case places <- struct{}{}:
				default:
					c.count(workload.Service, "not sent: too many under way")
					continue
				}
				c.inFlight.Add(1)
				threads.Go(func() {
					defer c.inFlight.Done()
					defer func() { <-places }()
					c.SendOne(workload)
				})
			}
		}, func() { once.Do(func() { close(c.stop) }) })
	}
}

// RunFor asks for a time, or until the process is told to stop, and waits until
// every answer has come.
func (c *Client) RunFor(length time.Duration) {
	var group threads.Group
	c.AddTasks(&group)
	group.StopOnSignal(nil)
	timeUp := make(chan struct{})
	timer := time.AfterFunc(length, func() { close(timeUp) })
	defer timer.Stop()
	group.StopWhen(timeUp)
	_ = group.Run()
	c.Wait()
}

// Wait waits until every answer has come.
func (c *Client) Wait() {
	c.inFlight.Wait()
	c.transport.Close()
}

func (c *Client) count(service, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes[service] == nil {
		c.outcomes[service] = map[string]int{}
	}
	c.outcomes[service][kind]++
}

// Outcomes copies what was answered, by service and kind.
func (c *Client) Outcomes() map[string]map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]map[string]int{}
	for service, kinds := range c.outcomes {
		out[service] = map[string]int{}
		for kind, count := range kinds {
			out[service][kind] = count
		}
	}
	return out
}

// OutcomeLines gives the tally as lines of text.
func (c *Client) OutcomeLines() []string {
	var lines []string
	for service, kinds := range c.Outcomes() {
		for kind, count := range kinds {
			lines = append(lines, fmt.Sprintf("%-16s %-28s %6d", service, kind, count))
		}
	}
	sort.Strings(lines)
	return lines
}

// nextRequest chooses a router, a model and perhaps an adapter. A few models are
// asked for most, as in real houses.
func (c *Client) nextRequest(workload Workload) (router, model, adapter, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted++
	id = fmt.Sprintf("%s-%d", c.Name, c.submitted)
	router = c.chooseRouter()
	if len(workload.Models) > 0 {
		spread := c.random.Float64()
		model = workload.Models[int(spread*spread*spread*float64(len(workload.Models)))]
		if list := workload.Adapters[model]; len(list) > 0 && c.random.Intn(4) == 0 {
			adapter = list[c.random.Intn(len(list))]
		}
	}
	return router, model, adapter, id
}

// SendOne asks once and takes the answer down. Where a router says that it is
// stopping, or can't be reached, the same is sent to another at once: it has
// not run.
func (c *Client) SendOne(workload Workload) string {
	router, model, adapter, id := c.nextRequest(workload)
	body, _ := json.Marshal(map[string]any{"id": id, "model": model, "adapter": adapter, "input": map[string]string{"text": "of " + id}})
	kind := ""
	for range c.Routers {
		c.Checker.RequestSubmitted(workload.Service, id)
		kind = c.send(router, workload, id, body)
		if kind != string(errkind.ShuttingDown) && kind != outcomeNotReached {
			break
		}
		router = c.avoidRouter(router)
	}
	c.count(workload.Service, kind)
	return kind
}

const (
	outcomeNotReached = "router not reached"
	avoidMs           = 3000
)

// avoidRouter gives another router, and keeps away from this one for a while.
func (c *Client) avoidRouter(router string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntilMs[router] = c.NowMs() + avoidMs
	return c.chooseRouter()
}

// chooseRouter picks a router that is not avoided, if there is one.
func (c *Client) chooseRouter() string {
	var open []string
	for _, router := range c.Routers {
		if c.avoidUntilMs[router] <= c.NowMs() {
			open = append(open, router)
		}
	}
	if len(open) == 0 {
		open = c.Routers
	}
	return open[c.random.Intn(len(open))]
}

func (c *Client) send(address string, workload Workload, id string, body []byte) string {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	// Sending again is the caller's decision, never the transport'c.
	answer, wrote, err := c.transport.Do(ctx, http.MethodPost, "http://"+address+"/services/"+workload.Service, body, func() bool { return true })
	if err != nil && !wrote {
		c.Checker.RequestEnded(c.NowMs(), workload.Service, id, outcomeNotReached, true)
		return outcomeNotReached
	}
	if err != nil {
		c.Checker.RequestEnded(c.NowMs(), workload.Service, id, "stream broke", false)
		return "stream broke before an answer"
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		var said errkind.ErrorBody
		text, _ := io.ReadAll(answer.Body)
		if json.Unmarshal(text, &said) != nil {
			c.Checker.InvalidAnswer(c.NowMs(), workload.Service, id, "an answer that is neither the runner's nor a kind")
			return "nonsense"
		}
		c.Checker.RequestEnded(c.NowMs(), workload.Service, id, string(said.Kind), said.Kind.Response().NotExecuted)
		return string(said.Kind)
	}
	if workload.Streaming {
		return c.readStream(answer.Body, workload, id)
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return "stream broke in an answer"
	}
	var said router.RunResponse
	if json.Unmarshal(text, &said) != nil || said.Request != id || !strings.Contains(string(said.Answer), "answer to "+id+`"`) {
		c.Checker.InvalidAnswer(c.NowMs(), workload.Service, id, "not the whole answer to this request")
		return "wrong"
	}
	c.Checker.RequestEnded(c.NowMs(), workload.Service, id, "answered", false)
	return "answered"
}

// readStream follows a telling: what looks finished must be whole.
func (c *Client) readStream(body io.Reader, workload Workload, id string) string {
	lines := bufio.NewScanner(body)
	piece, incarnation := 0, ""
	for lines.Scan() {
		var said router.RunResponse
		if json.Unmarshal(lines.Bytes(), &said) != nil {
			// The last line of a stream that broke may be torn.
			break
		}
		if incarnation == "" {
			incarnation = said.Incarnation
		}
		if said.Request != id || said.Incarnation != incarnation {
			c.Checker.InvalidAnswer(c.NowMs(), workload.Service, id, "pieces of two runs")
			return "wrong"
		}
		if said.End != nil {
			if *said.End != piece {
				c.Checker.InvalidAnswer(c.NowMs(), workload.Service, id, "the end mark does not fit the pieces")
				return "wrong"
			}
			return "answered"
		}
		if said.Chunk != piece+1 {
			c.Checker.InvalidAnswer(c.NowMs(), workload.Service, id, "a piece was skipped or repeated")
			return "wrong"
		}
		piece++
	}
	if lines.Err() == nil {
		c.Checker.InvalidAnswer(c.NowMs(), workload.Service, id, "a telling looked finished without its end mark")
		return "wrong"
	}
	return "telling broke off"
}
