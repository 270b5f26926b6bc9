package localcluster

import (
	"io"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/simulation/testbackend"
)

// patience is a last resort against hanging, never part of a verdict.
const patience = 90 * time.Second

func up(c *qt.C, example string) *Fleet {
	text, err := os.ReadFile("../../../examples/" + example)
	c.Assert(err, qt.IsNil)
	out := io.Discard
	if testing.Verbose() {
		out = os.Stderr
	}
	f, err := New(Options{Text: text, Data: c.TempDir(), LoadMs: 300, WorkMs: 5, Pieces: 4, Log: log.New(out)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Stop)
	c.Assert(f.Found(patience), qt.IsNil)
	c.Assert(f.HandOver("0", text, patience), qt.IsNil)
	c.Assert(f.Ready(patience), qt.IsNil)
	return f
}

// The thin whole path, at both sites' full size: founded, described, loaded,
// asked and answered over real streams.
func TestWholePath(t *testing.T) {
	for _, example := range []string{"zagreb.json", "alexandria.json"} {
		t.Run(example, func(t *testing.T) {
			c := qt.New(t)
			f := up(c, example)
			sender := testbackend.NewSender("s", f.RouterAddresses(), testbackend.MixOf(f.Description, 1, 1), f.Book, f.Clock.NowMs, 1)
			for _, mix := range sender.Mix {
				mix.Models = mix.Models[:min(2, len(mix.Models))]
				answered := 0
				for range 400 {
					if sender.One(mix) == "answered" {
						answered++
					}
					if answered == 5 {
						break
					}
				}
				c.Assert(answered, qt.Equals, 5, qt.Commentf("%s: %v", mix.Service, sender.Lines()))
			}
			c.Assert(f.Book.Breaches(), qt.HasLen, 0)
		})
	}
}
