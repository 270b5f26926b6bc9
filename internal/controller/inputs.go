// Package controller is what a controller does where a service map is in use: it
// takes maps, tells them to the routers, keeps the ledger of the runners that
// the platform lists, and orders loads and unloads.
package controller

import "myrtlewinch/internal/config"

// Inputs of operators.
type (
	// SubmitConfig is a service map, or a change of named items, to be taken on
	// top of the version that it was built on.
	SubmitConfig struct {
		ID          uint64
		BaseVersion uint64
		Text        string
		Partial     bool
	}
	// ReadConfig asks for the map in force.
	ReadConfig struct{ ID uint64 }
	// ReadStatus asks for the status page.
	ReadStatus struct{ ID uint64 }
)

// Answers to operators; a refusal is a protocol.Dropped, whose Primary is then the
// address of the controller to go to, where that is known.
type (
	// ConfigAccepted says that the map is accepted and safe.
	ConfigAccepted struct{ Version uint64 }
	// ConfigText is the map in force as it was sent.
	ConfigText struct {
		Version uint64
		Text    string
	}
)

// ConfigFormat reads and writes service maps as operators write them. It only
// translates; package platform has one.
type ConfigFormat interface {
	// Parse gives the map, or every fault found.
	Parse(text []byte) (*config.Configuration, []string)
	// ApplyChange brings a change of named items into a whole text and gives the
	// new whole text.
	ApplyChange(text, change []byte) ([]byte, []string)
}
