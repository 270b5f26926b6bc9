package localcluster

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A submission whose outcome got lost is found to be in force by the next try,
// although its base is stale by then. Another description is still rejected.
func TestSubmitDescriptionThatIsInForce(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, "alexandria.json")
	text := cluster.options.Text
	c.Assert(cluster.SubmitDescription("0", text, patience), qt.IsNil)

	other := bytes.Replace(text, []byte("{"), []byte("{ "), 1)
	err := cluster.SubmitDescription("0", other, 0)
	c.Assert(err, qt.ErrorMatches, `(?s).*status 412.*stale base.*`)
}
