package localcluster

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/threads"
)

// asking asks a site's commonest models all the time until it is stopped.
func asking(c *qt.C, f *Fleet) (sender *testbackend.Sender, stop func()) {
	sender = testbackend.NewSender("s", f.RouterAddresses(), testbackend.MixOf(f.Description, 20, 3), f.Book, f.Clock.NowMs, 1)
	for i := range sender.Mix {
		mix := &sender.Mix[i]
		mix.Models, mix.Adapters = mix.Models[:min(2, len(mix.Models))], nil
	}
	var asking threads.Group
	sender.Join(&asking)
	done, ended := make(chan struct{}), make(chan error, 1)
	asking.Until(done)
	threads.Side(func() { ended <- asking.Run() })
	return sender, func() {
		close(done)
		c.Assert(<-ended, qt.IsNil)
		sender.Wait()
	}
}

// TestRollingRestartForReal stops and starts every daemon as planned, one
// after the other, under traffic on real streams. Each request is answered, or
// dropped so that it may be sent again; none is lost or has an unknown end.
func TestRollingRestartForReal(t *testing.T) {
	c := qt.New(t)
	f := up(c, "alexandria.json")
	sender, stop := asking(c, f)
	for _, part := range append(append([]*Part{}, f.Controllers...), f.Routers...) {
		part.Leave()
		c.Assert(f.Restart(part), qt.IsNil)
		c.Assert(f.Ready(patience), qt.IsNil)
	}
	stop()
	c.Assert(f.Book.Breaches(), qt.HasLen, 0)
	for service, kinds := range sender.Kinds() {
		for kind, count := range kinds {
			well := kind == "answered" || errkind.Kind(kind).Reply().Drop
			c.Assert(well, qt.IsTrue, qt.Commentf("%s: %d of %s", service, count, kind))
		}
	}
	c.Assert(sender.Kinds()["page"]["answered"] > 0, qt.IsTrue)
}
