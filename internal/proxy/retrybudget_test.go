package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRetryBudget(t *testing.T) {
	cases := []struct {
		about          string
		extra, routers int
		first          int
		most           int
	}{
		{"nothing earned", 58, 9, 0, 1},
		{"a fifth earned", 58, 9, 20, 5},
		{"no more than the share", 58, 9, 1000, 5},
		{"alone", 50, 1, 1000, 45},
		{"a small share", 3, 9, 1000, 1},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			b := newRetryBudget(test.extra, test.routers)
			for range test.first {
				b.deposit(0.2)
			}
			spent := 0
			for b.Withdraw() {
				spent++
			}
			c.Assert(spent, qt.Equals, test.most)
		})
	}
}

// Changes of the number of routers never fill a bucket.
func TestResizeNeverAddsTokens(t *testing.T) {
	c := qt.New(t)
	b := newRetryBudget(58, 9)
	before := b.Tokens()
	b.resize(58, 1)
	c.Assert(b.Tokens(), qt.Equals, before)
	b.resize(58, 100)
	c.Assert(b.Tokens(), qt.Equals, 1.0)
}
