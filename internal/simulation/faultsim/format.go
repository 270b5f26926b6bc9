package faultsim

import (
	"encoding/json"
	"slices"

	"myrtlewinch/internal/config"
)

// jsonFormat is the simulation's format of configurations and of changes of them: plain JSON.
type jsonFormat struct{}

// configChange is a change of some routes of a configuration.
type configChange struct {
	Version uint64
	// Put adds routes, or replaces the routes of the same name. Remove holds the names of routes
	// to remove.
	Put    []config.Route
	Remove []string
}

// Parse reads a configuration and returns all reasons why it is not valid, if any.
func (jsonFormat) Parse(text []byte) (*config.Configuration, []string) {
	var parsed config.Configuration
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, []string{err.Error()}
	}
	if faults := parsed.Faults(); len(faults) > 0 {
		return nil, faults
	}
	parsed.BuildIndex()
	return &parsed, nil
}

// ApplyChange applies a change to the text of a configuration. It returns the new text, or the
// reasons why the change cannot be applied.
func (jsonFormat) ApplyChange(text, part []byte) ([]byte, []string) {
	var parsed config.Configuration
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, []string{"there is no configuration to change"}
	}
	var change configChange
	if err := json.Unmarshal(part, &change); err != nil {
		return nil, []string{err.Error()}
	}
	parsed.Version = change.Version
	for _, put := range change.Put {
		parsed.Routes = slices.DeleteFunc(parsed.Routes, func(r config.Route) bool { return r.Name == put.Name })
		parsed.Routes = append(parsed.Routes, put)
	}
	parsed.Routes = slices.DeleteFunc(parsed.Routes, func(r config.Route) bool { return slices.Contains(change.Remove, r.Name) })
	return encode(parsed), nil
}

// encode returns the text of a configuration or of a change.
func encode[T config.Configuration | configChange](value T) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic("faultsim: encoding a configuration or a change failed: " + err.Error())
	}
	return text
}
