package errkind

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// What a caller is told of when to come back, and whether it has run.
func TestAnswer(t *testing.T) {
	cases := []struct {
		about  string
		answer Answer
		after  string
		ran    string
	}{
		{"the kind's own time", Answer{Kind: NoWord}, "2", "no"},
		{"one that was worked out, rounded up", Answer{Kind: NoTurn, RetryMs: 12_001}, "13", "no"},
		{"none where coming back is no use", Answer{Kind: UnknownModel}, "", "no"},
		{"none where it may have run", Answer{Kind: OutcomeUnknown}, "", "unknown"},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			w := httptest.NewRecorder()
			test.answer.Write(w)
			qt.Assert(t, w.Code, qt.Equals, test.answer.Kind.Reply().Status)
			qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, test.after)
			var said Answer
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &said), qt.IsNil)
			qt.Assert(t, said.Ran, qt.Equals, test.ran)
		})
	}
}
