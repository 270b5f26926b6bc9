// Package wire holds what the site's processes say to each other, and the
// effects that state machines return.
package wire

// Place is where a daemon is to be found.
type Place struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Part        string `json:"part"`
	Incarnation string `json:"incarnation"`
}

// The parts of a site.
const (
	Controller = "controller"
	Router     = "router"
)
