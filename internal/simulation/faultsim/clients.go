package faultsim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/proxy"
)

// clients send requests to the routers, each of an uneven share.
type clients struct {
	on      bool
	number  int
	log     []*request
	eachMs  int64
	favour  int
	rare    bool
	endings map[string]int
}

func newClients() clients { return clients{eachMs: 25, endings: map[string]int{}} }

// request is one try of a client.
type request struct {
	w      *World
	try    string
	path   string
	router string
	life   int
	sentMs int64
	leftMs int64
	asked  proxy.Asked
	// again counts the refusals before it; ended is how it ended.
	again  int
	ended  string
	pieces int
	served bool
	p      *passage
}

// begin lets clients send.
func (c *clients) begin(w *World) {
	if !c.on {
		c.on = true
		c.next(w)
	}
}

func (c *clients) next(w *World) {
	if !c.on {
		return
	}
	w.after(1+w.random.Int63n(2*c.eachMs), func() { c.next(w) })
	routers := w.names("router")
	up := slices.DeleteFunc(slices.Clone(routers), func(name string) bool { n := w.nodes[name]; return !n.up || n.leaving })
	if len(up) == 0 {
		return
	}
	// The first router gets more than its share.
	at := max(0, w.random.Intn(len(up)+1)-1)
	path := "/safe/x"
	switch draw := w.random.Intn(100); {
	case draw < 25:
	case draw < 45:
		path = "/unsafe/x"
	case draw < 65:
		path = "/resume/x"
	case draw < 75:
		path = "/once/x"
	case draw < 90:
		path = "/mark/x"
	default:
		path = fmt.Sprintf("/only-%d/x", w.operators.newest)
	}
	c.send(w, up[at], path, 0)
}

// send makes one try at a router.
func (c *clients) send(w *World, router, path string, again int) {
	n := w.nodes[router]
	if !n.up || n.leaving && again == 0 {
		return
	}
	c.number++
	r := &request{
		w: w, try: fmt.Sprintf("t%d", c.number), path: path, router: router, life: n.life, sentMs: w.NowMs(), leftMs: 2500, again: again,
	}
	r.asked = proxy.Asked{Try: r.try}
	if r.streams() {
		r.leftMs = 5000
		r.asked.Model = modelName(c.model(w))
		if r.asked.Model == modelName(0) && w.random.Intn(2) == 0 {
			r.asked.Adapter = fmt.Sprintf("a%d", 1+w.random.Intn(adapters))
		}
		r.asked.PromptTokens, r.asked.OutTokens = 200+w.random.Int63n(1500), 50
		r.asked.Parts = []proxy.Part{{ID: fmt.Sprint("p", w.random.Intn(5)), Tokens: 100}, {ID: r.try, Tokens: 100}}
	}
	r.asked.LeftMs = r.leftMs
	c.log = append(c.log, r)
	w.Book.asked(r)
	life := n.life
	w.pass("clients", router, func() {
		if !n.up || n.life != life {
			r.end("connection broke")
			return
		}
		n.ids++
		p := &passage{w: w, n: n, life: life, id: n.ids, c: r, asked: r.asked}
		r.p = p
		n.passages[p.id] = p
		w.put(n, life, proxy.Request{ID: p.id, Host: host, Path: path, Asked: r.asked})
	}, func() { r.end("connection broke") })
	w.after(r.leftMs+400, r.leave)
}

// model draws what is asked for: a few most of the time, and those change.
func (c *clients) model(w *World) int {
	if c.rare || w.random.Intn(10) == 0 {
		return w.random.Intn(models)
	}
	return (c.favour + w.random.Intn(2)) % models
}

func (r *request) streams() bool { return r.path == "/resume/x" || r.path == "/once/x" }

// hear carries something from the router to the client.
func (r *request) hear(from string, arrive func()) {
	r.w.pass(from, "clients", arrive, func() { r.end("connection broke") })
}

// hearPiece takes a piece of a stream; one connection keeps its order, so it
// is checked as it is passed on.
func (r *request) hearPiece(piece int) {
	if piece != r.pieces+1 {
		r.w.Book.breach("ORDER", r.w.NowMs(), "%s: piece %d comes after %d", r.try, piece, r.pieces)
	}
	r.pieces = piece
}

// end is how the try ended for its client; each ends once.
func (r *request) end(how string) {
	if r.ended != "" {
		if how != "connection broke" && r.ended != "gone" && r.ended != "connection broke" {
			r.w.Book.breach("ANSWER", r.w.NowMs(), "%s ended as %q after %q", r.try, how, r.ended)
		}
		return
	}
	r.ended = how
	r.w.clients.endings[how]++
	if how == "answered" {
		r.served = true
		if r.streams() && r.pieces != pieces {
			r.w.Book.breach("ORDER", r.w.NowMs(), "%s looks complete after %d pieces", r.try, r.pieces)
		}
	}
}

// refused is an answer of the router's own.
func (r *request) refused(kind errkind.Kind, retryMs int64) {
	if r.ended != "" {
		r.end("refused")
		return
	}
	r.end("refused: " + string(kind))
	reply := kind.Reply()
	r.w.Book.refused(r, kind)
	if reply.Status != 503 {
		return
	}
	// Who has no time left has no use for it.
	if r.w.NowMs()-r.sentMs >= r.leftMs {
		return
	}
	if retryMs <= 0 {
		r.w.Book.breach("ANSWER", r.w.NowMs(), "%s was refused as %q without a word on when to come back", r.try, kind)
		return
	}
	if r.again < 2 && r.w.clients.on {
		r.w.after(retryMs, func() {
			up := r.w.names("router")
			r.w.clients.send(r.w, up[r.w.random.Intn(len(up))], r.path, r.again+1)
		})
	}
}

// leave is the client giving up.
func (r *request) leave() {
	if r.ended != "" {
		return
	}
	w := r.w
	if n := w.nodes[r.router]; r.p != nil && !r.p.over && !r.p.sent && n.well() && w.touch.calm(n.name, r.sentMs) {
		w.Book.breach("ANSWER", w.NowMs(), "%s (%s) got no answer from %s in its time and is not under way", r.try, r.path, r.router)
	}
	r.end("gone")
	if r.p != nil {
		p := r.p
		p.atRouter(func() { p.gone() })
	}
}
