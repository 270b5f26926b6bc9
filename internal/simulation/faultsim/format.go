package faultsim

import (
	"encoding/json"
	"slices"

	"myrtlewinch/internal/config"
)

// format is the simulator's format of configurations and changes: plain JSON.
type format struct{}

// configChange is a change of some routes of a configuration.
type configChange struct {
	Version uint64
	// Put adds routes, or replaces those of the same name; Remove names routes.
	Put    []config.Route
	Remove []string
}

// Parse reads a configuration, and lists every fault found.
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

// ApplyChange applies a change to the text of a configuration.
func (format) ApplyChange(text, part []byte) ([]byte, []string) {
	var m config.Configuration
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, []string{"there is no map to change"}
	}
	var change configChange
	if err := json.Unmarshal(part, &change); err != nil {
		return nil, []string{err.Error()}
	}
	m.Version = change.Version
	for _, put := range change.Put {
		m.Routes = slices.DeleteFunc(m.Routes, func(r config.Route) bool { return r.Name == put.Name })
		m.Routes = append(m.Routes, put)
	}
	m.Routes = slices.DeleteFunc(m.Routes, func(r config.Route) bool { return slices.Contains(change.Remove, r.Name) })
	return encode(m), nil
}

// encode writes a configuration or a change.
func encode[T config.Configuration | configChange](value T) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic("faultsim: a configuration can't be encoded: " + err.Error())
	}
	return text
}
