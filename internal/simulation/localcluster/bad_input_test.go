package localcluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// TestBadInputIsRejectedWithoutEffect hands bad input to real doors: each is named and has no effect.
func TestBadInputIsRejectedWithoutEffect(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	edge, core := cluster.Routers[0].Settings.HTTP, cluster.Controllers[0].Settings.HTTP
	whole := string(cluster.options.Text)
	cases := []struct {
		about, method, address, path, base, body string
		status                                   int
		kind                                     errkind.Kind
		detail                                   string
	}{
		{"unknown service", "POST", edge, "/services/tea", "", `{}`, 404, errkind.UnknownService, "tea"},
		{"unknown model", "POST", edge, "/services/desk", "", `{"model":"m"}`, 404, errkind.UnknownModel, "m"},
		{"model of another service", "POST", edge, "/services/desk", "", `{"model":"specimen-1"}`, 422, errkind.ModelNotAllowed, "specimen-1"},
		{"unknown adapter", "POST", edge, "/services/desk", "", `{"model":"label-1","adapter":"a"}`, 404, errkind.UnknownAdapter, "a"},
		{"adapter of another model", "POST", edge, "/services/desk", "", `{"model":"label-1","adapter":"label-2-hand-1"}`, 422, errkind.ModelNotAllowed, "label-2"},
		{"bad JSON", "POST", edge, "/services/desk", "", `{`, 400, errkind.BadRequest, ""},
		{"unknown field", "POST", edge, "/services/desk", "", `{"colour":1}`, 400, errkind.BadRequest, "colour"},
		{"text after the end", "POST", edge, "/services/page", "", `{} x`, 400, errkind.BadRequest, ""},
		{"too large for the service", "POST", edge, "/services/page", "", `{"input":"` + strings.Repeat("x", 70_000) + `"}`, 413, errkind.TooLarge, "65536"},
		{"wrong method", "GET", edge, "/services/page", "", ``, 405, errkind.WrongMethod, ""},
		{"no such page", "GET", edge, "/tea", "", ``, 404, errkind.UnknownPage, ""},
		{"stale base", "PUT", core, "/description", "7", whole, 412, errkind.StaleBase, ""},
		{"no base", "PUT", core, "/description", "", whole, 428, errkind.MissingBase, "If-Match"},
		{"odd base", "PUT", core, "/description", "x", whole, 400, errkind.BadRequest, "x"},
		{"faulty", "PUT", core, "/description", "1", strings.Replace(whole, `"size": 22`, `"size": 0, "colour": 1`, 1), 422, errkind.FaultyDescription, ""},
		{"faulty daemon", "PATCH", core, "/description", "1", `{"store":{"loadsPer10s":0}}`, 422, errkind.FaultyDescription, ""},
		{"too large", "PUT", core, "/description", "1", whole + strings.Repeat(" ", 1<<20), 413, errkind.TooLarge, ""},
		{"not the primary", "PUT", cluster.Controllers[1].Settings.HTTP, "/description", "1", whole, 421, errkind.NotPrimary, ""},
		{"founded already", "POST", core, "/found", "", `{"witnesses":["core-1","core-2","core-3"],"backup":"core-2"}`, 409, errkind.AlreadyBootstrapped, ""},
		{"wrong method at the core", "DELETE", core, "/description", "", ``, 405, errkind.WrongMethod, ""},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			status, text, err := Call(test.method, test.address, test.path, test.base, []byte(test.body))
			c.Assert(err, qt.IsNil)
			c.Assert(status, qt.Equals, test.status, qt.Commentf("%s", text))
			var said errkind.ErrorBody
			c.Assert(json.Unmarshal(text, &said), qt.IsNil)
			c.Assert(said.Kind, qt.Equals, test.kind)
			c.Assert(said.Detail, qt.Contains, test.detail)
			c.Assert(said.Ran, qt.Equals, "no")
		})
	}
	status, text, err := Call(http.MethodGet, core, "/description", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, 200)
	c.Assert(string(text), qt.Equals, whole, qt.Commentf("nothing that was refused took effect"))
	// What is no message of this site is counted and has no effect.
	stream, err := net.Dial("tcp", cluster.Controllers[0].Settings.Address)
	c.Assert(err, qt.IsNil)
	_, err = stream.Write([]byte("\xff\xff\xff\xff and more than fits"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(stream)
	c.Assert(err == nil || strings.Contains(err.Error(), "reset"), qt.IsTrue, qt.Commentf("an oversized frame ends the stream: %v", err))
	for _, frame := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x04oops"} {
		stream, err := net.Dial("tcp", cluster.Controllers[0].Settings.Address)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(stream, frame)
		c.Assert(err, qt.IsNil)
		_, _ = io.ReadAll(stream)
		_ = stream.Close()
	}
	c.Assert(cluster.retryFor(patience, func() error {
		var counts map[string]uint64
		_, text, err := Call(http.MethodGet, core, "/counters", "", nil)
		if err == nil && json.Unmarshal(text, &counts) == nil && counts["malformed"] < 3 {
			err = errors.Newf("malformed: %d", counts["malformed"])
		}
		return err
	}), qt.IsNil)
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
}

// misbehavingRunner is a runner that holds everything and answers as it is told to.
type misbehavingRunner struct {
	inner  http.Handler
	answer func(w http.ResponseWriter, request string)
}

func (s *misbehavingRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/run" || s.answer == nil {
		s.inner.ServeHTTP(w, r)
		return
	}
	var call struct {
		Request string `json:"request"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.answer(w, call.Request)
}

// TestMisbehavingRunnerNeverReachesClient: whatever a runner sends, a client gets the runner's own
// whole answer to its own request, or a kind of defect, or a broken stream.
func TestMisbehavingRunnerNeverReachesClient(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	// One page runner remains, and it is strange.
	odd := &misbehavingRunner{inner: cluster.Runners[9].Server}
	at, err := listen()
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: odd}
	served := make(chan error, 1)
	threads.Go(func() { served <- server.Serve(at) })
	c.Cleanup(func() { _ = server.Close(); <-served })
	odd.answer = func(w http.ResponseWriter, request string) {
		fmt.Fprintf(w, `{"request":"another","incarnation":"first-scan-1","answer":"secret"}`)
	}
	for _, name := range []string{"scan-2", "scan-3"} {
		cluster.Platform.Remove(name)
	}
	cluster.Platform.Put(protocol.ListedRunner{Name: "scan-1", Address: at.Addr().String(), Incarnation: "first-scan-1"})
	ask := func() (int, string, error) {
		status, text, err := Call(http.MethodPost, cluster.Routers[0].Settings.HTTP, "/services/page", "", []byte(`{}`))
		return status, string(text), err
	}
	// Wait until the table knows only the strange one.
	c.Assert(cluster.retryFor(patience, func() error {
		status, text, err := ask()
		if err == nil && status != 502 {
			err = errors.Newf("%d %s", status, text)
		}
		return err
	}), qt.IsNil)
	cases := []struct {
		about  string
		answer func(w http.ResponseWriter, request string)
		kind   errkind.Kind
	}{
		{"for another request", odd.answer, errkind.BrokenResponse},
		{"no JSON", func(w http.ResponseWriter, _ string) { fmt.Fprint(w, "<html>secret</html>") }, errkind.BrokenResponse},
		{"of another incarnation", func(w http.ResponseWriter, request string) {
			fmt.Fprintf(w, `{"request":%q,"incarnation":"x","answer":"secret"}`, request)
		}, errkind.BrokenResponse},
		{"too much", func(w http.ResponseWriter, request string) {
			fmt.Fprintf(w, `{"request":%q,"incarnation":"first-scan-1","answer":"secret%s"}`, request, strings.Repeat("x", 9<<20))
		}, errkind.BrokenResponse},
		{"torn", func(w http.ResponseWriter, request string) {
			w.Header().Set("Content-Length", "5000")
			fmt.Fprintf(w, `{"request":%q,"incarnation":"first-scan-1","answer":"secret`, request)
		}, errkind.OutcomeUnknown},
		{"an odd status", func(w http.ResponseWriter, _ string) { w.WriteHeader(500) }, errkind.BrokenResponse},
		{"a redirect", func(w http.ResponseWriter, _ string) {
			w.Header().Set("Location", "http://"+cluster.Runners[0].Address+"/run")
			w.WriteHeader(307)
		}, errkind.BrokenResponse},
		{"a stream that breaks", func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }, errkind.OutcomeUnknown},
	}
	for _, test := range cases {
		odd.answer = test.answer
		status, text, err := ask()
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, 502, qt.Commentf("%s: %s", test.about, text))
		var said errkind.ErrorBody
		c.Assert(json.Unmarshal([]byte(text), &said), qt.IsNil)
		c.Assert(said.Kind, qt.Equals, test.kind, qt.Commentf(test.about))
		c.Assert(said.Ran, qt.Equals, "unknown")
		c.Assert(strings.Contains(text, "secret"), qt.IsFalse, qt.Commentf(test.about))
	}
}

// TestBrokenStreamNeverLooksFinished: a telling that breaks off never looks finished.
func TestBrokenStreamNeverLooksFinished(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "zagreb.json")
	for _, r := range cluster.Runners {
		r.Server.BreakStreams = true
	}
	client := testbackend.NewClient("s", cluster.RouterAddresses(), testbackend.WorkloadsOf(cluster.Description, 1, 1), cluster.Checker, cluster.Clock.NowMs, 1)
	for _, workload := range client.Workloads {
		if !workload.Streaming {
			continue
		}
		workload.Models, workload.Adapters = workload.Models[:1], nil
		for range 10 {
			c.Assert(client.SendOne(workload), qt.Equals, testbackend.OutcomeBrokeInStream)
		}
	}
	c.Assert(cluster.Checker.Violations(), qt.HasLen, 0)
}
