package config

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func soundMap() *Map {
	return &Map{
		Version: 3,
		Routes: []Route{
			{Name: "one", Host: "a.example", Prefix: "/x/", GiveUpMs: 1000, Split: []Share{{"alpha", 90}, {"beta", 10}}},
			{Name: "two", Host: "a.example", Prefix: "/x/y/", GiveUpMs: 1000, Split: []Share{{"beta", 1}, {"alpha", 0}}},
			{Name: "three", Host: "b.example", Prefix: "/", GiveUpMs: 1, Split: []Share{{"alpha", 1}}},
		},
		Services: []Service{{Name: "alpha"}, {Name: "beta"}},
	}
}

func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name string
		harm func(m *Map)
		want []string
	}{
		{"sound", func(*Map) {}, nil},
		{"empty", func(m *Map) { m.Routes, m.Services = nil, nil }, nil},
		{"no version", func(m *Map) { m.Version = 0 }, []string{"version: must be above 0"}},
		{"unknown service", func(m *Map) { m.Routes[0].Split[1].Service = "gamma" }, []string{`one: unknown service "gamma"`}},
		{"same place", func(m *Map) { m.Routes[1].Prefix = "/x/" }, []string{"two: has the host and prefix of one"}},
		{"same place, other case", func(m *Map) { m.Routes[1].Prefix, m.Routes[1].Host = "/x/", "A.Example" }, []string{"host and prefix of one"}},
		{"doubled route", func(m *Map) { m.Routes[2].Name = "one" }, []string{"routes[2] one: is given twice"}},
		{"doubled service", func(m *Map) { m.Services[1].Name = "alpha" }, []string{"services[1] alpha: is given twice", `"beta"`, `"beta"`}},
		{"no names", func(m *Map) { m.Routes[2].Name = ""; m.Services = append(m.Services, Service{}) }, []string{"services[2]: has no name", "routes[2]: has no name"}},
		{"no host", func(m *Map) { m.Routes[2].Host = "" }, []string{"three: has no host"}},
		{"prefix without end", func(m *Map) { m.Routes[0].Prefix = "/x" }, []string{"must begin and end with a slash"}},
		{"prefix without begin", func(m *Map) { m.Routes[0].Prefix = "x/" }, []string{"must begin and end with a slash"}},
		{"no prefix", func(m *Map) { m.Routes[0].Prefix = "" }, []string{"must begin and end with a slash"}},
		{"weights nought", func(m *Map) { m.Routes[0].Split = []Share{{"alpha", 0}, {"beta", 0}} }, []string{"one: the weights add up to 0"}},
		{"no split", func(m *Map) { m.Routes[0].Split = nil }, []string{"one: the weights add up to 0"}},
		{"weight below nought", func(m *Map) { m.Routes[0].Split[1].Weight = -10 }, []string{"weight -10 of beta is below 0"}},
		{"weight that runs over", func(m *Map) { m.Routes[0].Split[1].Weight = 1 << 62 }, []string{"of beta is above"}},
		{"no time", func(m *Map) { m.Routes[0].GiveUpMs = 0 }, []string{"given up after 0 ms"}},
		{"time below nought", func(m *Map) { m.Routes[0].GiveUpMs = -5 }, []string{"given up after -5 ms"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := soundMap()
			test.harm(m)
			faults := m.Faults()
			c.Assert(faults, qt.HasLen, len(test.want), qt.Commentf("%q", faults))
			for i, want := range test.want {
				c.Check(strings.Contains(faults[i], want), qt.IsTrue, qt.Commentf("%q in %q", want, faults[i]))
			}
		})
	}
}
