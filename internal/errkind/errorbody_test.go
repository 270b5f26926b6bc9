package errkind

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The response says when to come back, and whether the request has run.
func TestErrorBodySaysWhenToRetryAndWhetherItRan(t *testing.T) {
	cases := []struct {
		about  string
		answer ErrorBody
		after  string
		ran    string
	}{
		{"the kind's own time", ErrorBody{Kind: NoConfig}, "2", "no"},
		{"an estimated one, rounded up", ErrorBody{Kind: PlacementTimeout, RetryMs: 12_001}, "13", "no"},
		{"none where a retry is no use", ErrorBody{Kind: UnknownModel}, "", "no"},
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
