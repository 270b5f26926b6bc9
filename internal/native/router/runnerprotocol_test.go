package router

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestStreamCheck(t *testing.T) {
	line := func(rest string) string { return `{"request":"q","incarnation":"i",` + rest + `}` }
	cases := []struct {
		about string
		lines []string
		takes []bool
		ended bool
	}{
		{"whole", []string{line(`"piece":1,"text":"a"`), line(`"piece":2`), line(`"end":2`)}, []bool{true, true, true}, true},
		{"empty", []string{line(`"end":0`)}, []bool{true}, true},
		{"skips", []string{line(`"piece":1`), line(`"piece":3`)}, []bool{true, false}, false},
		{"repeats", []string{line(`"piece":1`), line(`"piece":1`)}, []bool{true, false}, false},
		{"ends too soon", []string{line(`"piece":1`), line(`"end":2`)}, []bool{true, false}, false},
		{"goes on after the end", []string{line(`"end":0`), line(`"piece":1`)}, []bool{true, false}, true},
		{"another request", []string{`{"request":"p","incarnation":"i","piece":1}`}, []bool{false}, false},
		{"another run", []string{line(`"piece":1`), `{"request":"q","incarnation":"j","piece":2}`}, []bool{true, false}, false},
		{"not JSON", []string{`oops`}, []bool{false}, false},
		{"two on a line", []string{line(`"piece":1`) + line(`"piece":2`)}, []bool{false}, false},
		{"a plain answer", []string{line(`"answer":{}`)}, []bool{false}, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			telling := StreamCheck{Request: "q", Incarnation: "i"}
			for i, text := range test.lines {
				c.Assert(telling.Accept([]byte(text)), qt.Equals, test.takes[i], qt.Commentf("line %d", i))
			}
			c.Assert(telling.Complete(), qt.Equals, test.ended)
		})
	}
}

func TestValidResponse(t *testing.T) {
	cases := []struct {
		about, text string
		whole       bool
	}{
		{"whole", `{"request":"q","incarnation":"i","answer":{"ok":1}}`, true},
		{"torn", `{"request":"q","incarnation":"i","answer":{"ok"`, false},
		{"another request", `{"request":"p","incarnation":"i","answer":{}}`, false},
		{"another incarnation", `{"request":"q","incarnation":"j","answer":{}}`, false},
		{"two joined", `{"request":"q","incarnation":"i","answer":1}{"request":"q","incarnation":"i","answer":2}`, false},
		{"no answer in it", `{"request":"q","incarnation":"i"}`, false},
		{"a piece", `{"request":"q","incarnation":"i","piece":1}`, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			qt.Assert(t, ValidResponse([]byte(test.text), "q", "i"), qt.Equals, test.whole)
		})
	}
}
