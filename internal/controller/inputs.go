// Package controller is what a controller does where a service map is in use: it
// takes maps, tells them to the routers, keeps the ledger of the runners that
// the platform lists, and orders loads and unloads.
package controller

// Inputs of operators.
type (
	// HandOver is a service map, or a change of named items, to be taken on
	// top of the version that it was built on.
	HandOver struct {
		ID      uint64
		BuiltOn uint64
		Text    string
		Part    bool
	}
	// Read asks for the map in force.
	Read struct{ ID uint64 }
	// Look asks for the status page.
	Look struct{ ID uint64 }
)

// Answers to operators; a refusal is a protocol.Dropped, whose Primary is then the
// address of the controller to go to, where that is known.
type (
	// Taken says that the map is accepted and safe.
	Taken struct{ Version uint64 }
	// Text is the map in force as it was sent.
	Text struct {
		Version uint64
		Text    string
	}
)

// Format reads and writes service maps as operators write them. It only
// translates; package platform has one.
type Format interface {
	// Read gives the map, or every fault found.
	Read(text []byte) (*Document, []string)
	// Change brings a change of named items into a whole text and gives the
	// new whole text.
	Change(text, change []byte) ([]byte, []string)
}
