package controller

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/process"
)

// A machine that begins anew after a defect of its disk founds no site and goes
// by the seeds as they are now, not by those of the start.
func TestBegunAnew(t *testing.T) {
	c := qt.New(t)
	listen := func() net.Listener {
		at, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { at.Close() })
		return at
	}
	set := DaemonSettings{Site: "s", Self: testSelf, Seeds: []string{"a:7"}, FirstStart: true, Data: c.TempDir()}
	doors := func(*process.Runtime) http.Handler { return http.NotFoundHandler() }
	o, err := NewDaemon(set, versionFormat{}, nil, doors, listen(), listen(), log.New(io.Discard))
	c.Assert(err, qt.IsNil)
	for _, seeds := range [][]string{{"a:7"}, {"b:7", "c:7"}} {
		o.Reseed(seeds)
		anew := o.restartSettings(set)
		c.Check(anew.Seeds, qt.DeepEquals, seeds)
		c.Check(anew.FirstStart, qt.IsFalse)
		c.Check(anew.Data, qt.Equals, set.Data)
	}
}
