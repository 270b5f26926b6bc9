// Package protocol holds the messages between the daemons of a site, the calls
// out to runners and to the platform, and the effects that state machines return.
package protocol

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
)

// Node is a daemon and where it is found.
type Node struct {
	// Name is unique among the daemons of its Part at the site.
	Name string `json:"name"`
	// Address is the IP:port for messages of peers.
	Address string `json:"address"`
	// Zone is the failure domain of its machine.
	Zone string `json:"zone"`
	// Part is RoleController or RoleRouter.
	Part string `json:"part"`
	// Incarnation names the data folder of a controller, or the process of a
	// router. It distinguishes a replaced daemon from the one before it.
	Incarnation string `json:"incarnation"`
}

// The values of Node.Part.
const (
	RoleController = "controller"
	RoleRouter     = "router"
)

// digestBytes is how much of the SHA-256 of a text Digest keeps.
const digestBytes = 8

// Digest identifies a text by a hash of it.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// DigestNodes identifies a list of nodes in its order. It is never 0.
func DigestNodes(nodes []Node) uint64 {
	texts := make([]string, 0, 5*len(nodes))
	for _, node := range nodes {
		texts = append(texts, node.Name, node.Address, node.Zone, node.Part, node.Incarnation)
	}
	return DigestStrings(texts)
}

// DigestStrings identifies a list of texts in its order. It is never 0, which
// means that no list was received yet.
func DigestStrings(texts []string) uint64 {
	sum := fnv.New64a()
	for _, text := range texts {
		_, _ = sum.Write([]byte(text))
		_, _ = sum.Write([]byte{0})
	}
	return max(1, sum.Sum64())
}
