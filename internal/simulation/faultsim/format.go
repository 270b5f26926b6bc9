package faultsim

import (
	"encoding/json"
	"slices"

	"myrtlewinch/internal/config"
)

// format is the drill's own writing of service maps, plain JSON.
type format struct{}

// configChange is a change of named items in that writing.
type configChange struct {
	Version uint64
	Put     []config.Route
	Remove  []string
}

// Parse gives the map, or every fault found.
func (format) Parse(text []byte) (*config.Configuration, []string) {
	var m config.Configuration
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, []string{err.Error()}
	}
	if faults := m.Faults(); len(faults) > 0 {
		return nil, faults
	}
	m.BuildIndex()
	return &m, nil
}

// ApplyChange brings a change into a whole text.
func (format) ApplyChange(text, part []byte) ([]byte, []string) {
	var m config.Configuration
	var c configChange
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, []string{"there is no map to change"}
	}
	if err := json.Unmarshal(part, &c); err != nil {
		return nil, []string{err.Error()}
	}
	m.Version = c.Version
	for _, put := range c.Put {
		m.Routes = slices.DeleteFunc(m.Routes, func(r config.Route) bool { return r.Name == put.Name })
		m.Routes = append(m.Routes, put)
	}
	m.Routes = slices.DeleteFunc(m.Routes, func(r config.Route) bool { return slices.Contains(c.Remove, r.Name) })
	return encodeConfig(m), nil
}

// encodeConfig writes a map.
func encodeConfig(m config.Configuration) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic("drill: a map can't be written: " + err.Error())
	}
	return text
}
