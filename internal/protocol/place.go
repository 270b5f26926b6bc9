// Package protocol holds what the site's processes say to each other, and the
// effects that state machines return.
package protocol

import "hash/fnv"

// Node is where a daemon is to be found.
type Node struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Part        string `json:"part"`
	Incarnation string `json:"incarnation"`
}

// The parts of a site.
const (
	RoleController = "controller"
	RoleRouter     = "router"
)

// DigestNodes names a list of places in its order; it is never nought.
func DigestNodes(places []Node) uint64 {
	texts := make([]string, 0, 5*len(places))
	for _, p := range places {
		texts = append(texts, p.Name, p.Address, p.Zone, p.Part, p.Incarnation)
	}
	return DigestStrings(texts)
}

// DigestStrings names a list of texts in its order; it is never nought, which says
// that nothing was told yet.
func DigestStrings(texts []string) uint64 {
	sum := fnv.New64a()
	for _, text := range texts {
		_, _ = sum.Write([]byte(text))
		_, _ = sum.Write([]byte{0})
	}
	return max(1, sum.Sum64())
}
