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
		answer ErrorBody
		after  string
		ran    string
	}{
		{"the kind's own time", ErrorBody{Kind: NoConfig}, "2", "no"},
		{"one that was worked out, rounded up", ErrorBody{Kind: PlacementTimeout, RetryMs: 12_001}, "13", "no"},
		{"none where coming back is no use", ErrorBody{Kind: UnknownModel}, "", "no"},
		{"none where it may have run", ErrorBody{Kind: OutcomeUnknown}, "", "unknown"},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			w := httptest.NewRecorder()
			test.answer.Write(w)
			qt.Assert(t, w.Code, qt.Equals, test.answer.Kind.Response().Status)
			qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, test.after)
			var said ErrorBody
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &said), qt.IsNil)
			qt.Assert(t, said.Ran, qt.Equals, test.ran)
		})
	}
}
