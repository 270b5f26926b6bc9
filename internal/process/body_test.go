package process

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
)

// blockedMachine handles an input only once it is told to. started gets a value when it begins.
type blockedMachine struct{ started, proceed chan struct{} }

func (m blockedMachine) Step(_ int64, input protocol.Input) protocol.Effects {
	if _, isTick := input.(protocol.Tick); !isTick {
		m.started <- struct{}{}
		<-m.proceed
	}
	return protocol.Effects{}
}

// The memory of a body counts until the machine has handled the input that refers to it, even if
// its request has ended.
func TestBodiesCountWhileTheirInputIsQueued(t *testing.T) {
	const bodyBytes = 1 << 20
	c := qt.New(t)
	peers, web := listenLocally(c), listenLocally(c)
	account := memory.NewAccount(memory.LimitFor(0))
	machine := blockedMachine{make(chan struct{}, 2), make(chan struct{}, 2)}
	var runtime *Runtime
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, kind := runtime.ReadBody(w, r, bodyBytes)
		c.Check(string(kind), qt.Equals, "")
		defer body.Close()
		late, cancel := context.WithCancel(context.Background())
		cancel()
		_, ok := runtime.CallWithBody(late, body, func(uint64) protocol.Input { return protocol.Envelope{} })
		c.Check(ok, qt.IsFalse)
	})
	runtime = New(Options{Clock: NewClock(), Log: log.New(io.Discard), TickMs: 1000, Account: account}, machine, nil, peers, web, handler)
	c.Cleanup(runTasks(runtime))
	c.Cleanup(func() { close(machine.proceed) })

	response, err := http.Post("http://"+web.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("a", bodyBytes)))
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	<-machine.started
	c.Assert(account.Used() >= bodyBytes, qt.IsTrue, qt.Commentf("%d taken", account.Used()))
	c.Assert(runtime.Submit(protocol.Envelope{}), qt.IsTrue)
	machine.proceed <- struct{}{}
	<-machine.started
	c.Assert(account.Used() < bodyBytes, qt.IsTrue, qt.Commentf("%d taken after it was handled", account.Used()))
}
