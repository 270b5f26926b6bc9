// Package protocol defines the messages between the daemons of a site, the outbound
// calls to runners and to the platform, and the effects that state machines return.
package protocol

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
)

// Node is a daemon and its address.
type Node struct {
	// Name is unique among the daemons of the site with the same Part.
	Name string `json:"name"`
	// Address is the IP:port at which the daemon receives messages from peers.
	Address string `json:"address"`
	// Zone is the failure domain of the daemon's host.
	Zone string `json:"zone"`
	// Part is the daemon's role: RoleController or RoleRouter.
	Part string `json:"part"`
	// Incarnation identifies the data folder of a controller, or the process of a
	// router. It distinguishes a daemon from an earlier one with the same name.
	Incarnation string `json:"incarnation"`
}

// The values of Node.Part.
const (
	RoleController = "controller"
	RoleRouter     = "router"
)

// digestBytes is the number of bytes of the SHA-256 of a text that Digest uses.
const digestBytes = 8

// Digest returns a hash of a text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// DigestNodes returns a hash of a list of nodes, which depends on their order. It is
// never 0.
func DigestNodes(nodes []Node) uint64 {
	texts := make([]string, 0, 5*len(nodes))
	for _, node := range nodes {
		texts = append(texts, node.Name, node.Address, node.Zone, node.Part, node.Incarnation)
	}
	return DigestStrings(texts)
}

// DigestStrings returns a hash of a list of texts, which depends on their order. It is
// never 0, because 0 stands for a list that was not received yet.
func DigestStrings(texts []string) uint64 {
	sum := fnv.New64a()
	for _, text := range texts {
		_, _ = sum.Write([]byte(text))
		_, _ = sum.Write([]byte{0})
	}
	return max(1, sum.Sum64())
}
