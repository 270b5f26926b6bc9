package localcluster

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/simulation/testbackend"
)

// TestLossesForReal kills daemons of a site on real streams and disks: the
// primary, then all. The verdict speaks only of what must hold at the end.
func TestLossesForReal(t *testing.T) {
	c := qt.New(t)
	f := up(c, "alexandria.json")
	second := strings.Replace(string(f.options.Text), `"secondGoes": 10`, `"secondGoes": 9`, 1)
	c.Assert(f.HandOver("1", []byte(second), patience), qt.IsNil)
	// The primary is gone right after it accepted, and its disk with it.
	f.Controllers[0].Kill()
	c.Assert(os.RemoveAll(f.Controllers[0].Settings.Data), qt.IsNil)
	third := strings.Replace(second, `"secondGoes": 9`, `"secondGoes": 8`, 1)
	c.Assert(f.HandOver("2", []byte(third), patience), qt.IsNil)
	// It comes back empty, and is taken in as backup or witness again.
	c.Assert(f.Restart(f.Controllers[0]), qt.IsNil)
	c.Assert(f.until(patience, func() error {
		var s consensus.Status
		if err := read(f.Controllers[0], &s); err != nil {
			return err
		}
		if s.WitnessBlank || s.Revision != 3 {
			return errors.Newf("not taken in: blank %v, revision %d", s.WitnessBlank, s.Revision)
		}
		return nil
	}), qt.IsNil)
	// Everything is lost at once and started again, from the disks alone.
	all := append(append([]*Part{}, f.Controllers...), f.Routers...)
	for _, part := range all {
		part.Kill()
	}
	for _, part := range all {
		c.Assert(f.Restart(part), qt.IsNil)
	}
	c.Assert(f.Ready(patience), qt.IsNil)
	c.Assert(f.until(patience, func() error {
		for _, part := range f.Controllers {
			status, text, err := Ask(http.MethodGet, part.Settings.HTTP, "/description", "", nil)
			if err == nil && status == http.StatusOK {
				c.Assert(string(text), qt.Equals, third, qt.Commentf("what was accepted last is in force"))
				return nil
			}
		}
		return errors.New("nobody knows what is in force")
	}), qt.IsNil)
	_, past, err := Ask(http.MethodGet, f.Controllers[0].Settings.HTTP, "/history", "", nil)
	c.Assert(err, qt.IsNil)
	var history struct {
		Revisions []struct {
			Number uint64 `json:"number"`
		} `json:"revisions"`
	}
	c.Assert(json.Unmarshal(past, &history), qt.IsNil)
	c.Assert(history.Revisions, qt.HasLen, 3)
	sender := testbackend.NewSender("s", f.RouterAddresses(), testbackend.MixOf(f.Description, 1, 1), f.Book, f.Clock.NowMs, 1)
	answered := 0
	for range 200 {
		if sender.One(sender.Mix[3]) == "answered" {
			answered++
		}
	}
	c.Assert(answered > 0, qt.IsTrue, qt.Commentf("%v", sender.Lines()))
	c.Assert(f.Book.Breaches(), qt.HasLen, 0)
}
