package tracelog

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLogKeepsTheLatestLines(t *testing.T) {
	l := New(2)
	qt.Assert(t, l.Last(), qt.Equals, "")
	for i := range 5 {
		l.Addf(int64(i), "line %d", i)
	}
	qt.Assert(t, l.Last(), qt.Equals, "       4 line 4")
	qt.Assert(t, l.String(), qt.Equals, "       3 line 3\n       4 line 4")
}
