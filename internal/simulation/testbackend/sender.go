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

// Mix is how often a service is asked, and what it may name.
type Mix struct {
	Service  string
	PerSec   float64
	Telling  bool
	Models   []string
	Adapters map[string][]string
}

// MixOf spreads a description's services over a rate: the small repeatable
// ones at one pace, the others at another.
func MixOf(d *description.Description, smallPerSec, otherPerSec float64) []Mix {
	var mix []Mix
	for _, s := range d.Services {
		m := Mix{Service: s.Name, PerSec: otherPerSec, Telling: s.Telling, Models: s.Models, Adapters: map[string][]string{}}
		if s.Repeatable {
			m.PerSec = smallPerSec
		}
		for _, a := range d.Adapters {
			m.Adapters[a.Model] = append(m.Adapters[a.Model], a.Name)
		}
		mix = append(mix, m)
	}
	return mix
}

// Sender asks services of routers and takes down what it gets.
type Sender struct {
	Name    string
	Routers []string
	Mix     []Mix
	Book    *invariants.Book
	NowMs   func() int64

	mu     sync.Mutex
	random *rand.Rand
	count  int
	kinds  map[string]map[string]int
	out    *httpclient.Transport
	avoid  map[string]int64
	under  sync.WaitGroup
	stop   chan struct{}
}

const underMost = 512

// NewSender makes a sender whose choices follow from the seed.
func NewSender(name string, routers []string, mix []Mix, book *invariants.Book, nowMs func() int64, seed int64) *Sender {
	return &Sender{
		Name: name, Routers: routers, Mix: mix, Book: book, NowMs: nowMs,
		random: rand.New(rand.NewSource(seed)), kinds: map[string]map[string]int{},
		out: httpclient.New(), avoid: map[string]int64{}, stop: make(chan struct{}),
	}
}

// Join adds a thread for each service to the crew.
func (s *Sender) Join(c *threads.Group) {
	var once sync.Once
	places := make(chan struct{}, underMost)
	for _, mix := range s.Mix {
		c.Duty(func() error {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / mix.PerSec))
			defer ticker.Stop()
			for {
				select {
				case <-s.stop:
					return nil
				case <-ticker.C:
				}
				select {
				case places <- struct{}{}:
				default:
					s.tally(mix.Service, "not sent: too many under way")
					continue
				}
				s.under.Add(1)
				threads.Side(func() {
					defer s.under.Done()
					defer func() { <-places }()
					s.One(mix)
				})
			}
		}, func() { once.Do(func() { close(s.stop) }) })
	}
}

// For asks for a time, or until the process is told to stop, and waits until
// every answer has come.
func (s *Sender) For(length time.Duration) {
	var c threads.Group
	s.Join(&c)
	c.Signals(nil)
	timeUp := make(chan struct{})
	timer := time.AfterFunc(length, func() { close(timeUp) })
	defer timer.Stop()
	c.Until(timeUp)
	_ = c.Run()
	s.Wait()
}

// Wait waits until every answer has come.
func (s *Sender) Wait() {
	s.under.Wait()
	s.out.Close()
}

func (s *Sender) tally(service, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[service] == nil {
		s.kinds[service] = map[string]int{}
	}
	s.kinds[service][kind]++
}

// Kinds copies what was answered, by service and kind.
func (s *Sender) Kinds() map[string]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]map[string]int{}
	for service, kinds := range s.kinds {
		out[service] = map[string]int{}
		for kind, count := range kinds {
			out[service][kind] = count
		}
	}
	return out
}

// Lines gives the tally as lines of text.
func (s *Sender) Lines() []string {
	var lines []string
	for service, kinds := range s.Kinds() {
		for kind, count := range kinds {
			lines = append(lines, fmt.Sprintf("%-16s %-28s %6d", service, kind, count))
		}
	}
	sort.Strings(lines)
	return lines
}

// pick chooses a router, a model and perhaps an adapter. A few models are
// asked for most, as in real houses.
func (s *Sender) pick(mix Mix) (router, model, adapter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	id = fmt.Sprintf("%s-%d", s.Name, s.count)
	router = s.choose()
	if len(mix.Models) > 0 {
		spread := s.random.Float64()
		model = mix.Models[int(spread*spread*spread*float64(len(mix.Models)))]
		if list := mix.Adapters[model]; len(list) > 0 && s.random.Intn(4) == 0 {
			adapter = list[s.random.Intn(len(list))]
		}
	}
	return router, model, adapter, id
}

// One asks once and takes the answer down. Where a router says that it is
// stopping, or can't be reached, the same is sent to another at once: it has
// not run.
func (s *Sender) One(mix Mix) string {
	router, model, adapter, id := s.pick(mix)
	body, _ := json.Marshal(map[string]any{"id": id, "model": model, "adapter": adapter, "input": map[string]string{"text": "of " + id}})
	kind := ""
	for range s.Routers {
		s.Book.Asked(mix.Service, id)
		kind = s.send(router, mix, id, body)
		if kind != string(errkind.Stopping) && kind != notReached {
			break
		}
		router = s.elsewhere(router)
	}
	s.tally(mix.Service, kind)
	return kind
}

const (
	notReached = "router not reached"
	avoidMs    = 3000
)

// elsewhere gives another router, and keeps away from this one for a while.
func (s *Sender) elsewhere(router string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[router] = s.NowMs() + avoidMs
	return s.choose()
}

// choose picks a router that is not avoided, if there is one.
func (s *Sender) choose() string {
	var open []string
	for _, router := range s.Routers {
		if s.avoid[router] <= s.NowMs() {
			open = append(open, router)
		}
	}
	if len(open) == 0 {
		open = s.Routers
	}
	return open[s.random.Intn(len(open))]
}

func (s *Sender) send(address string, mix Mix, id string, body []byte) string {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	// Sending again is the caller's decision, never the transport's.
	answer, wrote, err := s.out.Go(ctx, http.MethodPost, "http://"+address+"/services/"+mix.Service, body, func() bool { return true })
	if err != nil && !wrote {
		s.Book.Told(s.NowMs(), mix.Service, id, notReached, true)
		return notReached
	}
	if err != nil {
		s.Book.Told(s.NowMs(), mix.Service, id, "stream broke", false)
		return "stream broke before an answer"
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		var said errkind.Answer
		text, _ := io.ReadAll(answer.Body)
		if json.Unmarshal(text, &said) != nil {
			s.Book.Wrong(s.NowMs(), mix.Service, id, "an answer that is neither the runner's nor a kind")
			return "nonsense"
		}
		s.Book.Told(s.NowMs(), mix.Service, id, string(said.Kind), said.Kind.Reply().Drop)
		return string(said.Kind)
	}
	if mix.Telling {
		return s.hear(answer.Body, mix, id)
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return "stream broke in an answer"
	}
	var said router.RunAnswer
	if json.Unmarshal(text, &said) != nil || said.Request != id || !strings.Contains(string(said.Answer), "answer to "+id+`"`) {
		s.Book.Wrong(s.NowMs(), mix.Service, id, "not the whole answer to this request")
		return "wrong"
	}
	s.Book.Told(s.NowMs(), mix.Service, id, "answered", false)
	return "answered"
}

// hear follows a telling: what looks finished must be whole.
func (s *Sender) hear(body io.Reader, mix Mix, id string) string {
	lines := bufio.NewScanner(body)
	piece, incarnation := 0, ""
	for lines.Scan() {
		var said router.RunAnswer
		if json.Unmarshal(lines.Bytes(), &said) != nil {
			// The last line of a stream that broke may be torn.
			break
		}
		if incarnation == "" {
			incarnation = said.Incarnation
		}
		if said.Request != id || said.Incarnation != incarnation {
			s.Book.Wrong(s.NowMs(), mix.Service, id, "pieces of two runs")
			return "wrong"
		}
		if said.End != nil {
			if *said.End != piece {
				s.Book.Wrong(s.NowMs(), mix.Service, id, "the end mark does not fit the pieces")
				return "wrong"
			}
			return "answered"
		}
		if said.Piece != piece+1 {
			s.Book.Wrong(s.NowMs(), mix.Service, id, "a piece was skipped or repeated")
			return "wrong"
		}
		piece++
	}
	if lines.Err() == nil {
		s.Book.Wrong(s.NowMs(), mix.Service, id, "a telling looked finished without its end mark")
		return "wrong"
	}
	return "telling broke off"
}
